package policy

import (
	"math"
	"testing"
)

// Each of many routers learns of an overload from every cache separately, and client retries that it forwards
// would sustain the overload. So the admission ratio falls when nothing is served in time, and recovers by
// itself over time.
func TestFleetAdmitsWhatIsServedInTime(t *testing.T) {
	harnesses := newRouterFleet(t, 40)
	sentShare := func(firstID int64, answered bool) float64 {
		admitted := 0
		for _, h := range harnesses {
			for id := firstID; id < firstID+100; id++ {
				if s := h.request(id, "read", uint64(id)); s != nil {
					admitted++
					if answered {
						h.serve(id, 0)
					}
				}
				h.advance(20 * ms)
			}
		}
		return float64(admitted) / float64(100*len(harnesses))
	}
	if got := sentShare(1000, true); got < .95 {
		t.Fatalf("%.2f of the requests were admitted while all were served in time", got)
	}
	sentShare(2000, false)
	atOnce := 0
	for _, h := range harnesses {
		for id := int64(3000); id < 3050; id++ {
			h.request(id, "read", uint64(id))
			atOnce += countFinalAnswers(h.actions)
		}
	}
	if atOnce < len(harnesses)*20 {
		t.Errorf("%d of %d requests were rejected at once when none had been served for 2 s", atOnce, len(harnesses)*50)
	}
	for _, h := range harnesses {
		if h.advance(30000 * ms); h.engine.currentAdmission() < 1 {
			t.Fatal("a router without requests for 30 s still admits only some of the keys")
		}
	}
}

// Queueing a request whose key no cache accepts would have no use, and would let client retries accumulate.
func TestKeyWithoutAcceptingCacheIsRejectedAtOnce(t *testing.T) {
	rejected := 0
	for _, h := range newRouterFleet(t, 8) {
		h.engine.settings.LiveWeights = true
		endpoints := testEndpoints(8)
		for range 20 {
			for i := range endpoints {
				endpoints[i].Weight /= 2
			}
			h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: endpoints})
		}
		for id := int64(1); id <= 10; id++ {
			if h.request(id, "read", uint64(id)); countFinalAnswers(h.actions) == 1 {
				rejected++
			}
		}
	}
	if rejected < 10*manyRouters*8/10 {
		t.Errorf("%d of %d requests were rejected at once while all caches were overloaded", rejected, 10*manyRouters)
	}
}

// Requests that are rejected at once must not add to the health check budget. Client retries would otherwise
// cause the most health checks when the fleet is overloaded.
func TestImmediateRejectsEarnNoHealthChecks(t *testing.T) {
	h := newRouterFleet(t, 8)[0]
	h.engine.admissionRatio, h.engine.admissionRatioAt = 0, h.now
	before := h.engine.healthCheckBudget
	for id := int64(1); id <= 50; id++ {
		h.request(id, "read", uint64(id))
	}
	if h.engine.healthCheckBudget != before {
		t.Errorf("50 requests rejected at once earned %v health checks", h.engine.healthCheckBudget-before)
	}
}

// A slow origin makes all replies late for a while. If almost no requests were admitted meanwhile, the caches
// would no longer hold the requested keys when the origin recovers.
func TestAdmissionRatioHasMinimum(t *testing.T) {
	sent := 0
	for _, h := range newRouterFleet(t, 40) {
		for range 200 {
			h.engine.updateAdmission(false)
		}
		for id := int64(1); id <= 20; id++ {
			if h.request(id, "read", uint64(id)) != nil {
				sent++
				h.serve(id, 0)
			}
		}
	}
	if sent < 20*manyRouters/10 {
		t.Errorf("%d of %d requests were admitted after a time in which all replies were late", sent, 20*manyRouters)
	}
}

// After a restart of caches, all keys that they have lost are requested from the origin at once and the
// misses are late. The routers must not reject hits because of late misses.
func TestLateMissesWhileWarmingUpDoNotLowerAdmission(t *testing.T) {
	for _, test := range []struct {
		warmingUp, hits bool
		want            bool // nearly all keys are still admitted
	}{{true, true, true}, {false, true, false}, {true, false, false}} {
		sum := 0.0
		for _, h := range newRouterFleet(t, 40) {
			endpoints := testEndpoints(40)
			for i := range endpoints {
				if test.warmingUp && i%2 == 0 {
					endpoints[i].StartedAt = h.now
				}
			}
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
			h.engine.originLimit = math.Inf(1) // so that only admission applies
			for _, c := range h.engine.inService {
				c.concurrencyLimit = math.Inf(1)
			}
			for id := int64(1); id <= 100; id++ {
				if h.request(id, "read", uint64(id)) != nil && test.hits && id%2 == 0 {
					h.serve(id, 0) // every second request is a hit; the others wait for the origin
				}
				h.advance(20 * ms)
			}
			sum += h.engine.currentAdmission()
		}
		if mean := sum / manyRouters; mean > .9 != test.want {
			t.Errorf("warming up %v, hits on time %v: %.2f of the keys are admitted", test.warmingUp, test.hits, mean)
		}
	}
}
