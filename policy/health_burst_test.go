package policy

import (
	"fmt"
	"testing"
)

// TestHealthChecksAtOnceAreBounded checks that a router in front of many caches never checks all of them at
// once, but does check each of them. A round of thousands of dials delayed the requests of the router.
func TestHealthChecksAtOnceAreBounded(t *testing.T) {
	const caches = 1000
	for name, c := range map[string]struct {
		requests int // requests per health check interval
		burst    int // health checks that are sent at once
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
				t.Errorf("%d of %d caches were checked in %d rounds", len(checked), caches, rounds)
			}
		})
	}
}
