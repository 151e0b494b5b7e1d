package policy

import (
	"math"
	"math/rand"
	"testing"
)

// Routers that learn of the endpoints in different orders place every key at the same cache.
func TestPlacementIgnoresEndpointOrder(t *testing.T) {
	endpoints := testEndpoints(9)
	shuffled := append([]Endpoint(nil), endpoints...)
	rand.New(rand.NewSource(1)).Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	first, second := newEngineHarness(t, testSettings()), newEngineHarness(t, testSettings())
	first.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	for _, endpoint := range shuffled {
		second.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{endpoint}})
	}
	for key := range uint64(300) {
		id := int64(key)
		x, y := first.request(id, "read", key), second.request(id, "read", key)
		if x == nil || y == nil || x.Cache != y.Cache {
			t.Fatalf("key %d: %v and %v", key, x, y)
		}
		first.serve(id, 0)
		second.serve(id, 0)
	}
}

// An unhealthy cache is skipped, but used when no cache is healthy.
func TestUnhealthyCacheIsSkippedUnlessAllAre(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(6)})
	h.engine.requestCounts[1] = 1000 // so that the key is not hot
	primary := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	h.engine.caches[primary].healthy = false
	if s := h.request(2, "read", 42); s == nil || s.Cache == primary {
		t.Fatalf("unhealthy cache not skipped: %v", s)
	}
	h.serve(2, 0)
	for _, c := range h.engine.caches {
		c.healthy = false
	}
	if s := h.request(3, "read", 42); s == nil || s.Cache != primary {
		t.Fatalf("with all caches unhealthy, want the primary, got %v", s)
	}
}

// Requests without a key are spread over all caches.
func TestRequestWithoutKeyIsPlaced(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	used := map[string]bool{}
	for id := range int64(60) {
		s := sendActions(h.handle(&Request{ID: id + 1, Class: "read", Deadline: h.now + 800*ms}))
		if len(s) != 1 || s[0].ID != id+1 {
			t.Fatalf("got %v", h.actions)
		}
		used[s[0].Cache] = true
		h.serve(id+1, 0)
	}
	if len(used) != 3 {
		t.Fatalf("requests without a key reach %v", used)
	}
}

// A single hot key would overload its primary, so it is replicated while it is hot.
func TestHotKeyIsReplicated(t *testing.T) {
	h := newTrafficHarness(t, 10, nil)
	used := map[string]int{}
	for id := range int64(400) {
		key := uint64(id)
		if id%3 == 0 {
			key = 5
		}
		if s := h.request(id+1, "read", key); s != nil && key == 5 {
			used[s.Cache]++
		}
		h.serve(id+1, 0)
	}
	if len(used) < 4 {
		t.Fatalf("a third of the traffic went to %v", used)
	}
	h.advance(5 * h.engine.countWindow())
	if replicas := h.engine.replicaCount(5); replicas != 1 {
		t.Fatalf("still replicated on %d caches when no longer hot", replicas)
	}
}

// A key that spills over to another cache misses there and loads the origin. So spillover requires spare
// capacity of the origin, or uses the retry budget.
func TestSpilloverUsesRetryBudget(t *testing.T) {
	h := newTrafficHarness(t, 4, nil)
	primary := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	h.engine.caches[primary].concurrencyLimit, h.engine.caches[primary].timeTokens = 0.2, -1e9
	h.engine.retryBudget = 5
	if s := h.request(2, "read", 42); s == nil || s.Cache == primary {
		t.Fatalf("no spillover with retry budget: %v", s)
	}
	h.engine.retryBudget = 0
	for _, c := range h.engine.caches {
		c.recentKeys = [2]map[uint64]bool{{}, {}}
	}
	h.engine.originLimit, h.engine.missesInFlight = 9, 5 // over half is used, so the origin has no spare capacity
	if s := h.request(3, "read", 42); s != nil {
		t.Fatalf("spillover without retry budget: %v", s)
	}
	h.engine.missesInFlight = 0
	if s := h.request(4, "read", 42); s == nil {
		t.Fatal("no spillover though the origin idles")
	}
}

// An unhealthy primary must not count as lacking capacity. Without retry budget its keys would otherwise be
// rejected.
func TestUnhealthyPrimaryIsNotOverload(t *testing.T) {
	h := newTrafficHarness(t, 4, nil)
	primary := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	c := h.engine.caches[primary]
	c.healthy, c.concurrencyLimit, c.lastSentAt = false, minLimit, h.now
	h.engine.retryBudget, h.engine.originLimit, h.engine.missesInFlight = 0, 9, 5
	if s := h.request(2, "read", 42); s == nil || s.Cache == primary {
		t.Fatalf("got %v, want another cache", s)
	}
}

// Live weights fall as the load rises. They must not move keys with every endpoint update.
func TestLiveWeightsDoNotMoveKeys(t *testing.T) {
	for _, live := range []bool{true, false} {
		h := newTrafficHarness(t, 8, func(s *Settings) { s.LiveWeights = live })
		moved := 0
		for key := range uint64(200) {
			endpoints := testEndpoints(8)
			for i := range endpoints {
				endpoints[i].Weight = 2
			}
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
			primary := primaryOf(h.engine, key)
			for i := range endpoints {
				endpoints[i].Weight /= float64(1 + (int(key)+i)%3) // live weights vary with the load
			}
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
			if primaryOf(h.engine, key) != primary {
				moved++
			}
		}
		if live && moved > 0 || !live && moved == 0 {
			t.Errorf("live %v: %d of 200 keys moved", live, moved)
		}
	}
}

// primaryOf returns the ID of the primary cache of a key.
func primaryOf(engine *Engine, key uint64) string {
	return engine.rankCaches(key, 1)[0].ID
}

// One router of many sees few requests, so a key that it sees twice may look hot by chance. If all routers then
// replicated it, it would miss everywhere.
func TestFleetReplicatesOnlyClearlyHotKeys(t *testing.T) {
	rareKeyCaches, hotKeyCaches := map[string]bool{}, map[string]bool{}
	for _, h := range newRouterFleet(t, 40) {
		id := int64(0)
		request := func(key uint64, caches map[string]bool) {
			id++
			h.advance(400 * ms)
			if s := h.request(id, "read", key); s != nil {
				caches[s.Cache] = true
				h.serve(id, 0)
			}
		}
		for n := range 20 {
			key := uint64(n) + 100
			if n%10 == 0 {
				key = 7
			}
			request(key, map[string]bool{})
		}
		request(7, rareKeyCaches)
		for range 20 {
			request(8, hotKeyCaches)
		}
	}
	if len(rareKeyCaches) > 1 {
		t.Errorf("a key seen three times went to %d caches", len(rareKeyCaches))
	}
	if len(hotKeyCaches) < 10 {
		t.Errorf("a key with half of all requests went to %d caches", len(hotKeyCaches))
	}
}

// updateWeight has an endpoint update set one cache to the given share of its weight.
func (h *engineHarness) updateWeight(cache string, share float64) {
	endpoints := testEndpoints(len(h.engine.inService))
	for i := range endpoints {
		if endpoints[i].ID == cache {
			endpoints[i].Weight *= share
		}
	}
	h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: endpoints})
}

// Routers move keys away from an overloaded cache when its live weight falls. Otherwise each of many routers
// would send it at least one more attempt to learn of the overload.
func TestFleetMovesKeysOffOverloadedCache(t *testing.T) {
	const primary = "c03"
	harnesses := newRouterFleet(t, 8)
	for _, h := range harnesses {
		h.engine.settings.LiveWeights = true
	}
	id := int64(0)
	primaryShare := func() float64 {
		requests, sent := 0, 0
		for _, h := range harnesses {
			for key := uint64(1); key <= 40; key++ {
				if primaryOf(h.engine, key) != primary {
					continue
				}
				h.now += 50 * ms
				requests++
				h.engine.keyCounts, h.engine.requestCounts = [2]map[uint64]int{{}, {}}, [2]int{}
				id++
				if s := h.request(id, "read", key); s != nil {
					if s.Cache == primary {
						sent++
					}
					h.serve(id, 0)
				}
			}
		}
		return float64(sent) / float64(requests)
	}
	if got := primaryShare(); got < .95 {
		t.Fatalf("%.2f of a cache's requests went there before it was overloaded", got)
	}
	for _, h := range harnesses {
		h.updateWeight(primary, .05) // 19 requests in flight per core
	}
	if got := primaryShare(); got > .3 {
		t.Errorf("%.2f of an overloaded cache's requests still went there", got)
	}
	for _, h := range harnesses {
		h.updateWeight(primary, 1)
		h.advance(10000 * ms)
		h.updateWeight(primary, 1)
	}
	if got := primaryShare(); got < .95 {
		t.Errorf("%.2f of a cache's requests went there after the overload", got)
	}
}

// The removal of a cache moves only the keys whose primary it was.
func TestRemovedCacheMovesOnlyItsKeys(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	endpoints := testEndpoints(4)
	for i := range endpoints {
		endpoints[i].Weight = float64(1 + i%3)
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	before := map[uint64]string{}
	for key := range uint64(1000) {
		before[key] = primaryOf(h.engine, key)
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints[1:]})
	for key, primary := range before {
		after := primaryOf(h.engine, key)
		if primary == endpoints[0].ID && after == primary || primary != endpoints[0].ID && after != primary {
			t.Fatalf("key %d: primary %s without %s, %s before", key, after, endpoints[0].ID, primary)
		}
	}
}

// The share of the keys whose primary is a given cache is proportional to its weight.
func TestKeysFollowWeights(t *testing.T) {
	const keys = 20_000
	h := newEngineHarness(t, testSettings())
	endpoints := testEndpoints(3)
	endpoints[1].Weight, endpoints[2].Weight = 2, 5
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	primaries := map[string]float64{}
	for key := range uint64(keys) {
		primaries[primaryOf(h.engine, key)]++
	}
	for _, endpoint := range endpoints {
		if share, want := primaries[endpoint.ID]/keys, endpoint.Weight/8; math.Abs(share-want) > 0.02 {
			t.Errorf("%s is the primary of %.3f of the keys, want about %.3f", endpoint.ID, share, want)
		}
	}
}
