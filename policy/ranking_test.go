package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPickMatchesFullRanking compares the selected caches with those that a search of the ranking of all
// caches finds, in fleets of random states. Groups, cutoffs and cached rankings must not change a decision.
func TestPickMatchesFullRanking(t *testing.T) {
	picked, fallbacks, overloads, beyondPrefix := 0, 0, 0, 0
	for seed := range uint64(400) {
		e, rng := newRandomFleet(t, seed)
		for range 20 {
			e.now += Time(rng.IntN(200 * ms))
			e.regroupWarmedUp()
			req := randomRequest(e, rng)
			savedRNG := e.rng
			want, wantOverloaded, walked := pickByFullRanking(e, req)
			wantSpilled, wantLimited := req.spilledOver, req.originLimited
			e.rng, req.originLimited = savedRNG, false
			got, overloaded := e.selectCache(req)
			if got != want || overloaded != wantOverloaded || req.spilledOver != wantSpilled || req.originLimited != wantLimited {
				t.Fatalf("seed %d: selected %v, overloaded %t, want %v and %t", seed, nameOf(got), overloaded, nameOf(want),
					wantOverloaded)
			}
			e.rng = savedRNG
			if again, _ := e.selectCache(req); again != got {
				t.Fatalf("seed %d: selected %v at first and %v when repeated", seed, nameOf(got), nameOf(again))
			}
			picked += boolToInt(got != nil)
			fallbacks += boolToInt(got != nil && (e.circuitOpen(got) || !got.usable()))
			overloads += boolToInt(overloaded)
			beyondPrefix += boolToInt(walked > minRankedCaches)
		}
	}
	t.Logf("%d selected, %d of them fallbacks, %d overloaded, %d beyond the prefix", picked, fallbacks, overloads, beyondPrefix)
	if min(picked, fallbacks, overloads, beyondPrefix) < 100 {
		t.Error("a case occurs too rarely to be tested")
	}
}

func nameOf(c *cache) string {
	if c == nil {
		return "none"
	}
	return c.ID
}

// pickByFullRanking selects a cache by a search of the ranking of all caches in service. It also returns how
// many caches it searched.
func pickByFullRanking(e *Engine, req *request) (picked *cache, lacksCapacity bool, walked int) {
	req.spilledOver = false
	ranking := slices.Clone(e.inService)
	score := func(c *cache) float64 { return c.score(hashToUnit(req.Key ^ c.hash)) }
	slices.SortStableFunc(ranking, func(a, b *cache) int { return cmp.Compare(score(a), score(b)) })
	if replica := e.chooseReplica(req.Key); replica > 0 {
		ranking[0], ranking[replica] = ranking[replica], ranking[0]
	}
	selection := &cacheSelection{engine: e, request: req}
	for i, c := range ranking {
		if selection.considered >= maxCandidates {
			break
		}
		walked = i + 1
		if selection.consider(c) {
			return c, false, walked
		}
	}
	if selection.lacksCapacity {
		return nil, true, walked
	}
	return selection.fallback, false, walked
}

// newRandomFleet returns an engine in front of caches in random states.
func newRandomFleet(t *testing.T, seed uint64) (*Engine, *rand.Rand) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.Routers = []int{1, 2, 20, 300, 2800}[rng.IntN(5)]
	settings.HealthChecksAllowed = false
	h := newSeededHarness(t, settings, seed)
	caches, zones := 1+rng.IntN(200), 1+rng.IntN(4)
	weighted := rng.IntN(2) == 0
	var endpoints []Endpoint
	startedShare := []float64{0, 0.1, 0.5, 1}[rng.IntN(4)]
	for i := range caches {
		endpoint := Endpoint{ID: fmt.Sprintf("c%03d", i), Zone: fmt.Sprint("z", rng.IntN(zones)), Group: rng.IntN(4), Weight: 1}
		if weighted {
			endpoint.Weight = math.Exp2(6*rng.Float64() - 3)
		}
		if rng.Float64() < startedShare {
			endpoint.StartedAt = h.now - Time(rng.IntN(int(settings.WarmupTime)))
		}
		endpoints = append(endpoints, endpoint)
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	e := h.engine
	randomizeCaches(e, rng)
	for zone := range e.zones {
		if rng.IntN(3) == 0 {
			e.zones[zone].connectFailures, e.zones[zone].halfOpenAt = 5, h.now+Time(rng.IntN(5000*ms))
		}
	}
	e.goodputRatio, e.retryBudget, e.originLimit = rng.Float64(), 2*rng.Float64(), float64(rng.IntN(4))
	e.requestCounts[0] = 1000
	return e, rng
}

// randomizeCaches gives the caches random loads, limits, health and circuit states.
func randomizeCaches(e *Engine, rng *rand.Rand) {
	badShare := []float64{0, 0.1, 0.5, 1}
	refusing, unhealthy, full, used := badShare[rng.IntN(4)], badShare[rng.IntN(4)], badShare[rng.IntN(4)], badShare[rng.IntN(4)]
	for _, c := range e.inService {
		if rng.Float64() < refusing {
			c.connectFailures, c.halfOpenAt = connectFailureThreshold, e.now+Time(rng.IntN(5000*ms))
		}
		c.healthy = rng.Float64() >= unhealthy
		c.concurrencyLimit = 1 + 2*rng.Float64()
		if rng.Float64() < full {
			c.inFlight = 4
		}
		if rng.Float64() < used {
			e.updateRecentAttempts(c, func() { c.recentAttempts.Add(e.now, e.settings.OverloadTime) })
		}
		c.acceptedKeyShare = rng.Float64()
	}
}

// randomRequest returns a request for a random key, which is hot in some cases, with up to two earlier
// attempts.
func randomRequest(e *Engine, rng *rand.Rand) *request {
	class := &e.settings.Classes[rng.IntN(len(e.settings.Classes))]
	key := rng.Uint64()
	if rng.IntN(4) == 0 {
		e.keyCounts[0][key] = rng.IntN(200)
	}
	req := &request{
		Request: &Request{ID: 1, Key: key, HasKey: true, Deadline: e.now + testTimeout, Write: rng.IntN(2) == 0},
		class:   class, arrivedAt: e.now,
	}
	for range rng.IntN(3) {
		req.attempts = append(req.attempts, attempt{
			cache: e.inService[rng.IntN(len(e.inService))], sentAt: e.now, neverRan: rng.IntN(2) == 0,
			pending: rng.IntN(4) == 0, connectionReset: rng.IntN(2) == 0,
		})
	}
	return req
}

// TestGroupsFollowUpdates checks, after random updates, that each cache in service is in one group, which is
// the right one, and at its place in the order. The sums that are updated step by step must equal recomputed
// ones.
func TestGroupsFollowUpdates(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		h := newTrafficHarness(t, 20, func(s *Settings) { s.LiveWeights = seed%2 == 0 })
		for id := range int64(200) {
			h.advance(Time(rng.IntN(300 * ms)))
			if s := h.request(id, "read", rng.Uint64()); s != nil && rng.IntN(2) == 0 {
				h.finish(id, 0, []Result{Served, Rejected, ConnectFailed}[rng.IntN(3)], true)
			}
			endpoint := testEndpoints(40)[rng.IntN(40)]
			endpoint.State, endpoint.Weight = EndpointState(rng.IntN(3)), math.Exp2(float64(rng.IntN(5)))*rng.Float64()
			if rng.IntN(2) == 0 {
				endpoint.StartedAt = h.now - Time(rng.IntN(9000*ms))
			}
			kind := UpdateDelta
			if rng.IntN(20) == 0 {
				kind = UpdateSnapshot
			}
			h.handle(&EndpointsUpdate{Kind: kind, Endpoints: append(testEndpoints(rng.IntN(20)), endpoint)})
			checkGroups(t, h.engine)
		}
	}
}

// checkGroup checks one group and returns the recently accepted attempts of its caches, or 0 if they are
// warming up.
func checkGroup(t *testing.T, e *Engine, group *cacheGroup) (warmLoad float64) {
	t.Helper()
	for i, c := range group.caches {
		rightGroup := c.State == InService && c.group == group && e.groupKeyOf(c) == group.groupKey
		if !rightGroup || group.hashes[i] != c.hash || c.Weight > group.maxWeight {
			t.Fatalf("%s is in the wrong group", c.ID)
		}
		if group.warmingUp && i > 0 && group.caches[i-1].warmupFrom > c.warmupFrom {
			t.Fatalf("%s is out of order", c.ID)
		}
		if !group.warmingUp {
			warmLoad += e.recentlyAccepted(c)
		}
	}
	return warmLoad
}

func checkGroups(t *testing.T, e *Engine) {
	t.Helper()
	members, load := 0, 0.0
	for _, group := range e.groups.groups {
		members += len(group.caches)
		load += checkGroup(t, e, group)
	}
	inService := 0
	for _, c := range e.caches {
		inService += boolToInt(c.State == InService)
	}
	ordered := slices.IsSortedFunc(e.inService, func(a, b *cache) int { return cmp.Compare(a.ID, b.ID) })
	if members != inService || len(e.inService) != inService || !ordered {
		t.Fatalf("%d caches in groups, %d in inService, in order %t, want %d", members, len(e.inService), ordered, inService)
	}
	if kept := e.warmLoad.At(e.now, e.settings.OverloadTime); math.Abs(kept-load) > 1e-6 {
		t.Fatalf("load of the warm caches %v, recomputed %v", kept, load)
	}
	cached := *e.weightSums()
	e.sums.valid = false
	if recomputed := *e.weightSums(); recomputed != cached {
		t.Fatalf("sums %v, recomputed %v", cached, recomputed)
	}
}
