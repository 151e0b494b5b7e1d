package policy

import (
	"math"
	"testing"
)

// A cache becomes unhealthy after unhealthyThreshold consecutive failed checks, and healthy after one success.
func TestUnhealthyAtThresholdAndRecovery(t *testing.T) {
	results := []*Result{
		nil, // no answer
		resultPointer(ConnectFailed),
		resultPointer(ServerError),
		resultPointer(Rejected),
		resultPointer(TimedOut),
	}
	for _, result := range results {
		h := newEngineHarness(t, testSettings())
		h.handle(&EndpointsUpdate{Kind: UpdateStale, Endpoints: testEndpoints(4)})
		h.runHealthCheckRounds(unhealthyThreshold-1, "c01", result)
		if !h.engine.caches["c01"].healthy {
			t.Fatalf("%v: unhealthy after %d failures", result, unhealthyThreshold-1)
		}
		h.runHealthCheckRounds(1, "c01", result)
		if h.engine.caches["c01"].healthy {
			t.Fatalf("%v: still healthy after %d failures", result, unhealthyThreshold)
		}
		h.runHealthCheckRounds(1, "", nil)
		if c := h.engine.caches["c01"]; !c.healthy || c.failedChecks != 0 {
			t.Fatalf("%v: not healthy after a success", result)
		}
	}
}

// A failure count that reaches the threshold during a round takes effect when the round completes.
func TestHealthIsUpdatedWhenRoundCompletes(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateStale, Endpoints: testEndpoints(3)})
	h.runHealthCheckRounds(unhealthyThreshold-1, "c01", resultPointer(ServerError))
	h.advanceToHealthChecks()
	h.handle(&HealthCheckDone{Cache: "c01", Result: ServerError})
	if !h.engine.caches["c01"].healthy {
		t.Fatal("unhealthy before the round completed")
	}
	h.advance(h.engine.settings.HealthCheckTimeout() + ms)
	if h.engine.caches["c01"].healthy {
		t.Fatal("still healthy when the round completed")
	}
}

// The number of health checks grows with routers times caches, while the requests of one router do not. So a
// router sends no more health checks than its requests pay for.
func TestHealthChecksAreBudgetedByRequests(t *testing.T) {
	count := func(caches, requests int) (rounds float64) {
		h := newEngineHarness(t, testSettings())
		h.handle(&EndpointsUpdate{Endpoints: testEndpoints(caches)})
		for id := range int64(requests) {
			h.request(id+1, "read", uint64(id))
			h.serve(id+1, 0)
			span := 128 * h.engine.settings.DrainGrace / Time(requests)
			checks := healthChecks(h.advance(span))
			rounds += float64(len(checks)) / float64(caches)
		}
		return rounds
	}
	busy, limited, idle := count(5, 1280), count(50, 1280), count(5, 1)
	if busy < 125 || busy > 129 {
		t.Errorf("%v rounds in 128 drain grace periods with enough requests, want one in each", busy)
	}
	if limited < 20 || limited > 30 {
		t.Errorf("%v rounds of 50 health checks with 1280 requests, want about one per 50 requests", limited)
	}
	if idle < 1 || idle > 3 {
		t.Errorf("%v rounds of an idle router, want one in %d drain grace periods", idle, maxSkippedIntervals)
	}
}

// Caches that answer within the latency objective pass health checks even if the drain grace period is short,
// and a round completes before the next one begins.
func TestHealthCheckTimingWithShortDrainGrace(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 50 * ms
	if got := settings.HealthCheckTimeout(); got != 200*ms {
		t.Errorf("timeout of a health check is %d, want the latency objective", got)
	}
	if settings.HealthCheckInterval() <= settings.HealthCheckTimeout() {
		t.Errorf("rounds every %d, completed after %d", settings.HealthCheckInterval(), settings.HealthCheckTimeout())
	}
	settings.DrainGrace = 1000 * ms
	if settings.HealthCheckTimeout() != 500*ms || settings.HealthCheckInterval() != 1000*ms {
		t.Errorf("with a long drain grace period: timeout %d, every %d",
			settings.HealthCheckTimeout(), settings.HealthCheckInterval())
	}
}

// Under a reduced limit there are too few attempts to detect a recovery soon. A fast health check restores
// the limit.
func TestFastHealthCheckRestoresInitialLimit(t *testing.T) {
	settings := testSettings()
	settings.Routers = manyRouters
	h := newEngineHarness(t, settings)
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	c := h.engine.caches["c01"]
	h.advanceToHealthChecks()
	c.concurrencyLimit = .01
	h.handle(&HealthCheckDone{Cache: "c01", Result: Served, Elapsed: 2 * h.engine.latencyThreshold})
	if c.concurrencyLimit != .01 {
		t.Errorf("a slow health check raised the limit to %v", c.concurrencyLimit)
	}
	for len(healthChecks(h.advance(1*ms))) == 0 {
		h.earnHealthCheckRound()
	}
	h.handle(&HealthCheckDone{Cache: "c01", Result: Served, Elapsed: 5 * ms})
	if c.concurrencyLimit != h.engine.initialLimit(c) {
		t.Errorf("a fast health check left the limit at %v", c.concurrencyLimit)
	}
}

// earnHealthCheckRound raises the health check budget so that it pays for the next round.
func (h *engineHarness) earnHealthCheckRound() {
	h.engine.healthCheckBudget = float64(len(h.engine.inService))
}

// If a router has no file descriptor left for a health check, it must not count that as a failure of the cache.
func TestUnsentHealthCheckIsNotCountedAsFailure(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	h.runHealthCheckRounds(3*unhealthyThreshold, "c01", resultPointer(NotSent))
	if c := h.engine.caches["c01"]; !c.healthy || c.failedChecks > 0 {
		t.Errorf("after health checks that were not sent: healthy %v, %d failed checks", c.healthy, c.failedChecks)
	}
}

// newHealthCheckHarness returns one router of a fleet, with health checks.
func newHealthCheckHarness(t *testing.T, routers, caches int, seed uint64) *engineHarness {
	t.Helper()
	settings := testSettings()
	settings.Routers = routers
	h := newSeededHarness(t, settings, routerSeed(seed))
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(caches)})
	return h
}

// stepsPerInterval is the number of steps into which runHealthCheckIntervals divides a health check interval.
const stepsPerInterval = 10

// runHealthCheckIntervals advances the clock by health check intervals, in steps. The budget pays for every
// round. It calls checked with the caches that are checked in each step.
func (h *engineHarness) runHealthCheckIntervals(count int, checked func(step int, caches []string)) {
	for step := range count * stepsPerInterval {
		h.earnHealthCheckRound()
		actions := h.advance(h.engine.settings.HealthCheckInterval() / stepsPerInterval)
		checked(step, healthChecks(actions))
	}
}

// answerHealthChecks ends the health checks of the caches as served in time.
func (h *engineHarness) answerHealthChecks(caches []string) {
	for _, id := range caches {
		h.handle(&HealthCheckDone{Cache: id, Result: Served, Elapsed: 5 * ms, Load: noLoadReport})
	}
}

// countHealthChecks runs health check intervals without replies, and counts the health checks of one cache.
func (h *engineHarness) countHealthChecks(intervals int, cache string) int {
	count := 0
	h.runHealthCheckIntervals(intervals, func(_ int, caches []string) {
		for _, id := range caches {
			count += boolToInt(id == cache)
		}
	})
	return count
}

// Health checks from every router would load the caches of a large fleet. So all routers together check a
// cache at most maxFleetChecks times per interval.
func TestFleetHealthCheckRateIsBounded(t *testing.T) {
	const intervals = 150
	for _, routers := range []int{2, maxFleetChecks, 300, 1100, 2800} {
		checksByStep := make([]float64, intervals*stepsPerInterval) // of one cache
		total := 0.
		for i := range routers {
			h := newHealthCheckHarness(t, routers, 1, uint64(i))
			h.runHealthCheckIntervals(intervals, func(step int, caches []string) {
				checksByStep[step] += float64(len(caches))
				total += float64(len(caches))
				h.answerHealthChecks(caches)
			})
		}
		mean, want := total/intervals, min(float64(routers), maxFleetChecks)
		if mean < .85*want || mean > 1.05*want {
			t.Errorf("%d routers: %.1f health checks of a cache per interval, want about %.0f", routers, mean, want)
		}
		for end := stepsPerInterval; end <= len(checksByStep); end++ {
			sum := 0.
			for _, checks := range checksByStep[end-stepsPerInterval : end] {
				sum += checks
			}
			// The checks of the routers are spread over the interval; the bound allows five standard deviations.
			if limit := want + 5*math.Sqrt(want); sum > limit {
				t.Errorf("%d routers: %.0f health checks of a cache within an interval, more than %.0f", routers, sum, limit)
				break
			}
		}
	}
}

// In a large fleet each router checks a cache only in some rounds. A cache that becomes suspect because of an
// attempt is checked in the next round, so that a hung cache is detected soon.
func TestSuspectIsCheckedInNextRound(t *testing.T) {
	for _, result := range []Result{TimedOut, ConnectionLost, ServerError, ConnectFailed} {
		h := newHealthCheckHarness(t, 2800, 8, 3)
		h.runHealthCheckIntervals(2, func(_ int, caches []string) { h.answerHealthChecks(caches) })
		suspect := h.request(1, "read", 1).Cache
		if result == TimedOut {
			h.advance(100 * ms) // the attempt is overdue
		} else {
			h.finish(1, 0, result, true)
		}
		checks := h.countHealthChecks(2, suspect)
		if checks == 0 || h.engine.caches[suspect].failedChecks == 0 {
			t.Errorf("result %d: %d health checks of the suspect in two rounds, %d failed",
				result, checks, h.engine.caches[suspect].failedChecks)
		}
		// Its checks fail, so each round checks it until it is unhealthy. Its first reply makes it healthy again.
		h.runHealthCheckIntervals(unhealthyThreshold, func(int, []string) {})
		if h.engine.caches[suspect].healthy {
			t.Errorf("result %d: a cache that fails its health checks is healthy", result)
		}
		if again := h.countHealthChecks(4, suspect); again != 4 {
			t.Errorf("result %d: an unhealthy cache was checked %d times in four rounds", result, again)
		}
		if h.answerHealthChecks([]string{suspect}); !h.engine.caches[suspect].healthy {
			t.Errorf("result %d: a cache that answers its health check is unhealthy", result)
		}
	}
}

// In overload each router suspects each cache, and the health checks would add to the load. So checks of
// suspects become less frequent when they confirm no fault.
func TestUnconfirmedSuspicionsAreCheckedLessOften(t *testing.T) {
	h := newHealthCheckHarness(t, 2800, 1, 3)
	c := h.engine.caches["c00"]
	checks := 0
	const intervals = 120
	h.runHealthCheckIntervals(intervals, func(_ int, caches []string) {
		c.suspect = true
		checks += len(caches)
		h.answerHealthChecks(caches)
	})
	if limit := intervals*maxFleetChecks/2800 + 8; checks < 4 || checks > limit {
		t.Errorf("%d health checks of a suspect that answers them all, want 4 to %d", checks, limit)
	}
	// When the cache is no longer suspect, its next regular health check resets the count.
	h.runHealthCheckIntervals(2*2800/maxFleetChecks, func(_ int, caches []string) {
		c.suspect = false
		h.answerHealthChecks(caches)
	})
	if c.unconfirmedChecks != 0 {
		t.Errorf("%d unconfirmed checks are still counted", c.unconfirmedChecks)
	}
}
