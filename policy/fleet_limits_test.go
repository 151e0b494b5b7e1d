package policy

import "testing"

// If each of many routers kept one attempt in flight at a slow cache, the sum of them would keep the cache
// slow.
func TestInitialLimitsAddUpToFleetLimit(t *testing.T) {
	const span, serviceTime = 4000 * ms, 150 * ms
	inFlightTime := Time(0) // sum over all attempts of all routers
	for _, h := range newRouterFleet(t, 1) {
		h.engine.caches["c00"].recentKeys[0][7] = true
		sentAt, start := map[int64]Time{}, h.now
		for id := int64(1); h.now < start+span; id++ {
			req := &Request{ID: id, Class: "read", Key: 7, HasKey: true, Deadline: h.now + 800*ms}
			for _, s := range sendActions(h.handle(req)) {
				sentAt[s.ID] = h.now
			}
			h.advance(50 * ms)
			for earlier := id; earlier > id-16; earlier-- {
				if at, ok := sentAt[earlier]; ok && h.now >= at+serviceTime {
					delete(sentAt, earlier)
					inFlightTime += h.now - at
					for _, s := range sendActions(h.finish(earlier, 0, Served, true)) {
						sentAt[s.ID] = h.now
					}
				}
			}
		}
	}
	if mean := float64(inFlightTime) / span; mean > 2*initialFleetLimit {
		t.Errorf("%.0f attempts of all routers were in flight at a slow cache on average, more than twice %d",
			mean, initialFleetLimit)
	}
}

// The initial limit is proportional to the weight of a cache. An equal limit would be too low for large
// caches or too high for small ones.
func TestInitialLimitScalesWithWeight(t *testing.T) {
	h := newTrafficHarness(t, 2, nil)
	endpoints := []Endpoint{{ID: "big", Weight: 6}, {ID: "small", Weight: 2}}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	big, small := h.engine.caches["big"].concurrencyLimit, h.engine.caches["small"].concurrencyLimit
	if big != 3*small {
		t.Errorf("initial limits of %v and %v for weights of 6 and 2", big, small)
	}
}

// A retry burst that is small for one router must not exceed the first attempts when all routers retry at once.
func TestFleetRetryBurstIsBounded(t *testing.T) {
	retries := 0
	for _, h := range newRouterFleet(t, 8) {
		for id := int64(1); id <= 5; id++ {
			if h.request(id, "read", uint64(id)) != nil {
				retries += len(sendActions(h.finish(id, 0, ServerError, false)))
			}
		}
	}
	if limit := maxFleetRetryBurst + manyRouters*5*retryRatio; float64(retries) > limit {
		t.Errorf("%d retries of all routers in one burst, more than %v", retries, limit)
	}
}

// Routers save time tokens for a cache while they have no requests for it. They must not be able to spend
// many of them at once when keys move to that cache.
func TestFleetTimeTokensAreBounded(t *testing.T) {
	atOnce, later := 0, 0
	for _, h := range newRouterFleet(t, 1) {
		h.advance(5000 * ms)
		h.engine.caches["c00"].recentKeys[0][7] = true
		for id := int64(1); id <= 3; id++ {
			if h.request(id, "read", 7) != nil {
				atOnce++
			}
		}
		h.advance(60 * ms)
		later += len(sendActions(h.finish(1, 0, Served, true)))
	}
	if atOnce > manyRouters || later > 0 {
		t.Errorf("%d attempts of %d routers at once, %d more 60 ms later", atOnce, manyRouters, later)
	}
}

// To one router of many, results at other caches must count less than those at the cache itself: shared
// adjustments lower a limit no further than to the initial limit, and do not raise a reduced limit.
func TestSharedAdjustmentsStopAtInitialLimit(t *testing.T) {
	engine := newRouterFleet(t, 12)[0].engine
	high, low := engine.caches["c00"], engine.caches["c01"]
	initial := engine.initialLimit(high)
	high.concurrencyLimit, low.concurrencyLimit = 3*initial, initial/4
	for range 1000 {
		engine.adjustAllLimits(false)
	}
	if high.concurrencyLimit != initial {
		t.Errorf("late attempts at other caches lowered a limit to %v, not to the initial one of %v",
			high.concurrencyLimit, initial)
	}
	for range 1000 {
		engine.adjustAllLimits(true)
	}
	if low.concurrencyLimit != initial/4 {
		t.Errorf("attempts in time at other caches raised a reduced limit to %v", low.concurrencyLimit)
	}
}

// When many replies wait for the origin, a miss that is served in time must raise a reduced limit of the
// cache again.
func TestMissInTimeRaisesCacheLimit(t *testing.T) {
	for _, miss := range []bool{true, false} {
		h := newRouterFleet(t, 8)[0]
		c := h.engine.caches[h.request(1, "read", 1).Cache]
		h.advance(h.engine.latencyThreshold + 20*ms)
		limit := c.concurrencyLimit
		h.serveFirstAttempt(1, miss)
		if rose := c.concurrencyLimit > limit; rose != miss {
			t.Errorf("miss: %v, limit rose: %v (%v to %v)", miss, rose, limit, c.concurrencyLimit)
		}
	}
}
