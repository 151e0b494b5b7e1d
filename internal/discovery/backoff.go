package discovery

import (
	"math/rand/v2"

	"marlstage/policy"
)

const (
	// BackoffBase is the upper bound of the backoff after the first failed watch.
	BackoffBase policy.Time = 100_000

	// MaxBackoffDoublings is how often the upper bound doubles at most.
	MaxBackoffDoublings = 4
)

// Backoff computes the delay before the next attempt to open a watch that has
// failed. It applies where the router itself retries the watch; the policy
// schedules the retries of the watches that it requests. The zero value is
// ready for use.
type Backoff struct {
	failures int // consecutive failures
}

// Next returns the delay after another failure. Its upper bound doubles with
// each failure, and jitter shortens it by up to a half, since routers that all
// retry at the same time would overload the service again. The delay is at most
// half of the drain grace, because the router counts as notified of changes
// made during an outage soon after the outage ends. A drain grace of 0 sets no
// bound.
func (b *Backoff) Next(drainGrace policy.Time) policy.Time {
	delay := BackoffBase << min(b.failures, MaxBackoffDoublings)
	if drainGrace > 0 {
		delay = min(delay, drainGrace/2)
	}
	b.failures++
	return policy.Time(float64(delay) * (0.5 + rand.Float64()/2))
}

// Reset sets the number of failures to 0, after a successful watch.
func (b *Backoff) Reset() { b.failures = 0 }
