package policy

import "testing"

// If each router kept one attempt in flight at a slow cache, all of them together would keep it slow.
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

// The initial limit is in proportion to a cache's weight, so that neither large nor small caches are misjudged.
func TestInitialLimitScalesWithWeight(t *testing.T) {
	h := newTrafficHarness(t, 2, nil)
	endpoints := []Endpoint{{ID: "big", Weight: 6}, {ID: "small", Weight: 2}}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	big, small := h.engine.caches["big"].concurrencyLimit, h.engine.caches["small"].concurrencyLimit
	if big != 3*small {
		t.Errorf("initial limits of %v and %v for weights of 6 and 2", big, small)
	}
}

// A retry burst that is small for one router must not outnumber the first attempts when all routers have one.
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

// Time tokens that routers save for a cache while they have no keys for it must not be spent by all of them at
// once when keys move there.
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

// To one router of many, verdicts on other caches must not outweigh what it learnt of a cache itself: they lower
// a limit to the initial one at most, and do not raise a reduced one.
func TestSharedAdjustmentsStopAtInitialLimit(t *testing.T) {
	engine := newRouterFleet(t, 12)[0].engine
	high, low := engine.caches["c00"], engine.caches["c01"]
	initial := engine.initialLimit(high)
	high.concurrencyLimit, low.concurrencyLimit = 3*initial, initial/4
	for range 1000 {
		engine.adjustAllLimits(false)
	}
	if high.concurrencyLimit != initial {
		t.Errorf("bad verdicts on other caches took a limit to %v, not to the initial one of %v",
			high.concurrencyLimit, initial)
	}
	for range 1000 {
		engine.adjustAllLimits(true)
	}
	if low.concurrencyLimit != initial/4 {
		t.Errorf("good verdicts on other caches took a reduced limit to %v", low.concurrencyLimit)
	}
}

// Where many replies wait for the origin, a miss that is served in time must let a reduced limit grow again.
func TestMissOnTimeRaisesCacheLimit(t *testing.T) {
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
