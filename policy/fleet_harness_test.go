package policy

import "testing"

// manyRouters is the size of the fleets of newRouterFleet.
const manyRouters = 80

// newRouterFleet returns the harnesses of a fleet of routers that were started together, without health checks.
// Tests give all of them equal traffic and add up their actions, as all routers may act at the same time.
func newRouterFleet(t *testing.T, caches int) []*engineHarness {
	t.Helper()
	settings := testSettings()
	settings.Routers, settings.HealthChecksAllowed = manyRouters, false
	harnesses := make([]*engineHarness, manyRouters)
	for i := range harnesses {
		harnesses[i] = newSeededHarness(t, settings, routerSeed(uint64(i)))
		harnesses[i].handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(caches)})
	}
	return harnesses
}
