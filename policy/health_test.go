package policy

import (
	"math"
	"testing"
)

// prober returns a router of a fleet of so many, told of so many caches, whose requests pay for every round.
func prober(t *testing.T, routers, caches int, seed uint64) *bench {
	t.Helper()
	s := settings()
	s.Routers = routers
	r, err := New(s, seed*7919+1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, r: r, now: 1e9}
	b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: fleet(caches)})
	return b
}

// intervals lets n intervals go by in steps and calls told with the probes of each step.
func (b *bench) intervals(n int, told func(step int, caches []string)) {
	const steps = 10 // an interval
	for i := range n * steps {
		b.spare()
		told(i, probes(b.advance(b.r.settings.HealthCheckInterval()/steps)))
	}
}

// pong answers probes.
func (b *bench) pong(caches []string) {
	for _, id := range caches {
		b.feed(&HealthCheckDone{Cache: id, Result: Served, Elapsed: 5 * ms, Load: LoadReport{Utilization: -1}})
	}
}

// The danger: probes grow with routers times caches, and take the caches' time.
func TestFleetsProbesAtACacheAreBounded(t *testing.T) {
	const span = 150
	for _, routers := range []int{2, maxFleetChecks, 300, 1100, 2800} {
		at := make([]float64, span*10) // probes of one cache, by step
		total := 0.
		for i := range routers {
			b := prober(t, routers, 1, uint64(i))
			b.intervals(span, func(step int, caches []string) {
				at[step] += float64(len(caches))
				total += float64(len(caches))
				b.pong(caches)
			})
		}
		mean, want := total/span, min(float64(routers), maxFleetChecks)
		if mean < .85*want || mean > 1.05*want {
			t.Errorf("%d routers: %.1f probes of a cache in an interval, want about %.0f", routers, mean, want)
		}
		for i := 10; i <= len(at); i++ {
			sum := 0.
			for _, n := range at[i-10 : i] {
				sum += n
			}
			// Routers are spread over the interval, and no step of it holds more than chance has it.
			if most := want + 5*math.Sqrt(want); sum > most {
				t.Errorf("%d routers: %.0f probes of a cache within an interval, more than %.0f", routers, sum, most)
				break
			}
		}
	}
}

// The danger: a cache that hangs is noticed when its turn among hundreds has come.
func TestSuspectIsProbedInTheNextRound(t *testing.T) {
	for _, result := range []Result{TimedOut, ConnectionLost, ServerError, ConnectFailed} {
		b := prober(t, 2800, 8, 3)
		b.intervals(2, func(_ int, caches []string) { b.pong(caches) })
		to := b.ask(1, "read", 1).Cache
		if result == TimedOut {
			b.advance(100 * ms) // overdue
		} else {
			b.answer(1, 0, result, true)
		}
		seen := 0
		b.intervals(2, func(_ int, caches []string) {
			for _, id := range caches {
				seen += boolToInt(id == to)
			}
		})
		if seen == 0 || b.r.caches[to].failedChecks == 0 {
			t.Errorf("result %d: %d probes of the suspect in two rounds, %d failed", result, seen, b.r.caches[to].failedChecks)
		}
		// It fails them: each round probes it, it is marked, and its first answer puts it back.
		b.intervals(unhealthyThreshold, func(int, []string) {})
		if b.r.caches[to].healthy {
			t.Errorf("result %d: a cache that fails its probes is healthy", result)
		}
		again := 0
		b.intervals(4, func(_ int, caches []string) {
			for _, id := range caches {
				again += boolToInt(id == to)
			}
		})
		if again != 4 {
			t.Errorf("result %d: an unhealthy cache was probed %d times in four rounds", result, again)
		}
		if b.pong([]string{to}); !b.r.caches[to].healthy {
			t.Errorf("result %d: a cache that answers its probe is unhealthy", result)
		}
	}
}

// The danger: in a crowd each cache is suspect to each router, and their probes add to it.
func TestVainSuspicionsAreProbedLessAndLess(t *testing.T) {
	b := prober(t, 2800, 1, 3)
	c := b.r.caches["c00"]
	n := 0
	const span = 120
	b.intervals(span, func(_ int, caches []string) {
		c.suspect = true
		n += len(caches)
		b.pong(caches)
	})
	if most := span*maxFleetChecks/2800 + 8; n < 4 || n > most {
		t.Errorf("%d probes of a suspect that answers them all, want 4 to %d", n, most)
	}
	// One that earns no more doubts has a clean record after its ordinary probe.
	b.intervals(2*2800/maxFleetChecks, func(_ int, caches []string) {
		c.suspect = false
		b.pong(caches)
	})
	if c.unconfirmedChecks != 0 {
		t.Errorf("%d vain suspicions are remembered", c.unconfirmedChecks)
	}
}
