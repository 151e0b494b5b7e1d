package policy

import (
	"fmt"
	"testing"
)

// TestHealthChecksAtOnceAreBounded checks that a router before thousands of caches never checks all at once,
// and yet checks each of them. A round of thousands of dials kept a router from its requests.
func TestHealthChecksAtOnceAreBounded(t *testing.T) {
	const caches = 1000
	for name, c := range map[string]struct {
		requests int // in an interval
		burst    int // checks at once
	}{
		"few requests":  {0, minCheckBurst},
		"many requests": {700, 700},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Routers, settings.HealthCheckCost = 1, 1e-6 // each request pays for many checks
			h := newEngineHarness(t, settings)
			var endpoints []Endpoint
			for i := range caches {
				endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("c%04d", i), Weight: 1})
			}
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
			h.engine.healthCheckBudget = caches
			checked, atOnce := map[string]int{}, 0
			h.observe = func(actions []Action) {
				sent := healthChecks(actions)
				atOnce = max(atOnce, len(sent))
				for _, cache := range sent {
					checked[cache]++
				}
			}
			id := int64(0)
			rounds := 1 + (caches+c.burst-1)/c.burst
			for range rounds {
				for range c.requests {
					id++
					h.request(id, "read", uint64(id))
				}
				h.advance(settings.HealthCheckInterval())
			}
			if atOnce != c.burst {
				t.Errorf("%d checks at once, want %d", atOnce, c.burst)
			}
			if len(checked) != caches {
				t.Errorf("%d of %d caches are checked in %d rounds", len(checked), caches, rounds)
			}
		})
	}
}
