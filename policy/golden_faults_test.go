package policy_test

import (
	"fmt"

	"marlstage/policy"
)

// listedEndpoints returns the endpoint list.
func (t *goldenTimeline) listedEndpoints() []policy.Endpoint {
	var endpoints []policy.Endpoint
	for _, cache := range t.caches {
		if cache.listed.State != policy.Removed {
			endpoints = append(endpoints, cache.listed)
		}
	}
	return endpoints
}

// deliver gives the engine an endpoint update, if it watches.
func (t *goldenTimeline) deliver(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	if t.watching && !t.discoveryDown {
		t.handle(&policy.EndpointsUpdate{Kind: kind, Endpoints: endpoints})
	}
}

// watch answers a Watch action after 20 ms.
func (t *goldenTimeline) watch() {
	t.after(float64(20*millisecond), func() {
		if t.discoveryDown {
			t.watching = false
			t.handle(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
			return
		}
		t.watching = true
		t.deliver(policy.UpdateSnapshot, t.listedEndpoints())
	})
}

// announceChange notifies the engine of a change to one cache server, after a random delay of discovery.
func (t *goldenTimeline) announceChange(cache *goldenCache) {
	t.after(float64(t.rng.IntN(500))*float64(millisecond), func() {
		t.deliver(policy.UpdateDelta, []policy.Endpoint{cache.listed})
	})
}

// updateWeights delivers live weights, lowered by the current load, and schedules the next update.
func (t *goldenTimeline) updateWeights() {
	var changed []policy.Endpoint
	for _, cache := range t.caches {
		if cache.listed.State == policy.Removed {
			continue
		}
		load := t.rng.ExpFloat64() * (0.3 + float64(cache.inFlight)/3)
		if t.overloaded {
			load += 20 + 4*t.rng.Float64()
		}
		cache.listed.Weight = cache.nominalWeight / (1 + load)
		changed = append(changed, cache.listed)
	}
	if len(changed) > 0 {
		t.deliver(policy.UpdateDelta, changed)
	}
	t.after(float64(second)*(0.5+t.rng.Float64()), t.updateWeights)
}

// injectFault causes a random fault or change and schedules the next one.
func (t *goldenTimeline) injectFault() {
	cache := t.caches[t.rng.IntN(len(t.caches))]
	duration := t.rng.ExpFloat64() * 4 * float64(second)
	switch t.rng.IntN(11) {
	case 0, 1, 2, 3:
		t.breakCache(cache, goldenFault(1+t.rng.IntN(int(goldenFaultCount)-1)), duration)
	case 4:
		t.breakZone(cache.listed.Zone, duration)
	case 5:
		t.originDown = true
		t.after(duration, func() { t.originDown = false })
	case 6:
		t.setState(cache, policy.Draining)
		t.after(duration, func() { t.setState(cache, policy.Removed) })
	case 7:
		t.restart(cache)
	case 8:
		t.announceChange(t.addCache(fmt.Sprintf("cache-new-%d", len(t.caches))))
	case 9:
		t.stopDiscovery(duration)
	case 10:
		rate := t.rate
		t.rate = min(400, t.rate*(1+3*t.rng.Float64()))
		t.after(duration, func() { t.rate = rate })
	}
	if t.rng.IntN(10) == 0 {
		t.deliver(policy.UpdateSnapshot, t.listedEndpoints())
	}
	t.after(t.rng.ExpFloat64()*t.meanFaultInterval*float64(second), t.injectFault)
}

// breakZone makes all cache servers of a zone unreachable for a time.
func (t *goldenTimeline) breakZone(zone string, duration float64) {
	for _, cache := range t.caches {
		if cache.listed.Zone == zone {
			t.breakCache(cache, faultUnreachable, duration)
		}
	}
}

// stopDiscovery makes discovery unreachable for a time, which ends the watch if the settings require one.
func (t *goldenTimeline) stopDiscovery(duration float64) {
	t.discoveryDown = true
	if t.watching && t.settings.WatchRequired {
		t.watching = false
		t.handle(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
	}
	t.after(duration, func() { t.discoveryDown = false })
}

// breakCache gives a cache server a fault for a time.
func (t *goldenTimeline) breakCache(cache *goldenCache, fault goldenFault, duration float64) {
	cache.fault = fault
	if fault == faultSlow {
		cache.slowdown = 2 + 4*t.rng.Float64()
	}
	t.after(duration, func() { cache.fault, cache.slowdown = faultNone, 1 })
}

// setState changes the state of a listed cache server.
func (t *goldenTimeline) setState(cache *goldenCache, state policy.EndpointState) {
	if cache.listed.State != policy.Removed {
		cache.listed.State = state
		t.announceChange(cache)
	}
}

// restart restarts the process of a cache server, which then stores no keys.
func (t *goldenTimeline) restart(cache *goldenCache) {
	if !t.restartable {
		return
	}
	cache.listed.State, cache.listed.StartedAt = policy.InService, t.now
	cache.storedKeys, cache.fault = map[uint64]bool{}, faultNone
	t.announceChange(cache)
}
