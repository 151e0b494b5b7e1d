package discovery

import (
	"testing"

	"marlstage/policy"
)

// TestBackoffDoublesWithJitter checks that delays double up to half of the drain grace, that jitter makes them
// differ, and that Reset starts again from the base.
func TestBackoffDoublesWithJitter(t *testing.T) {
	const drainGrace policy.Time = 1_000_000
	delays := map[policy.Time]bool{}
	var backoff Backoff
	for round := range 20 {
		backoff.Reset()
		for i := range 8 {
			longest := min(BackoffBase<<min(i, MaxBackoffDoublings), drainGrace/2)
			delay := backoff.Next(drainGrace)
			delays[delay] = true
			if delay < longest/2 || delay > longest {
				t.Errorf("delay %d of round %d is %d us, want %d to %d", i, round, delay, longest/2, longest)
			}
		}
	}
	if len(delays) < 20*8/2 {
		t.Errorf("only %d of %d delays differ", len(delays), 20*8)
	}
}

// TestBackoffIsBounded checks the bound on the number of doublings, which applies where the drain grace is 0 or long.
func TestBackoffIsBounded(t *testing.T) {
	const longest = BackoffBase << MaxBackoffDoublings
	for name, drainGrace := range map[string]policy.Time{"none": 0, "long": 10 * longest} {
		var backoff Backoff
		for range MaxBackoffDoublings {
			backoff.Next(drainGrace)
		}
		for range 100 {
			if delay := backoff.Next(drainGrace); delay < longest/2 || delay > longest {
				t.Errorf("drain grace %s: delay %d us, want %d to %d", name, delay, longest/2, longest)
			}
		}
	}
}
