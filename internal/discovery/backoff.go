package discovery

import (
	"math/rand/v2"

	"marlstage/policy"
)

const (
	// BackoffBase is the longest backoff after the first failed watch.
	BackoffBase policy.Time = 100_000

	// MaxBackoffDoublings bounds how often the backoff doubles.
	MaxBackoffDoublings = 4
)

// Backoff is the delay before a watch is opened again after a failure. It is
// for watches that the policy did not ask for: those are retried at the
// policy's own pace. The zero value is ready for use.
type Backoff struct {
	failures int // in a row
}

// Next returns the delay after one more failure. It doubles with each, and
// takes a random part of that, since routers that all retry at once would
// overload the service again. It stays well within the drain grace: what
// changed during an outage counts as notified soon after it ends. A drain
// grace of 0 sets no bound.
func (b *Backoff) Next(drainGrace policy.Time) policy.Time {
	delay := BackoffBase << min(b.failures, MaxBackoffDoublings)
	if drainGrace > 0 {
		delay = min(delay, drainGrace/2)
	}
	b.failures++
	return policy.Time(float64(delay) * (0.5 + rand.Float64()/2))
}

// Reset starts over, after a watch that succeeded.
func (b *Backoff) Reset() { b.failures = 0 }
