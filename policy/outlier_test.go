package policy

import "testing"

// A router must not have to learn from each cache separately that the links to their zone are down.
func TestUnreachableZoneIsSkipped(t *testing.T) {
	h := newTrafficHarness(t, 12, func(s *Settings) { s.MaxAttempts = 6 })
	h.engine.retryBudget = 0 // an attempt without a connection needs none of it
	failures, key := 0, uint64(0)
	for failures < zoneFailureThreshold { // zone a is unreachable
		key++
		s := h.request(int64(key), "read", key)
		for n := 0; s != nil && h.engine.caches[s.Cache].Zone == "a"; n++ {
			failures++
			if got := sendActions(h.finish(int64(key), n, ConnectFailed, false)); len(got) == 0 {
				t.Fatal("no further attempt after a failed connection")
			} else {
				s = &got[0]
			}
		}
		if failures < zoneFailureThreshold {
			h.engine.zones["a"].connectFailures = failures // replies from zone b must not reset the count of zone a
		}
		h.serve(int64(key), len(h.engine.requests[int64(key)].attempts)-1)
	}
	sentToZone := func() (n int) {
		for range 40 {
			key++
			if s := h.request(int64(key), "read", key); s != nil && h.engine.caches[s.Cache].Zone == "a" {
				n++
			}
		}
		return n
	}
	if n := sentToZone(); n != 0 {
		t.Errorf("%d of 40 sent to the unreachable zone", n)
	}
	for _, c := range h.engine.caches {
		c.concurrencyLimit = 100
	}
	h.engine.originLimit = 1e6
	h.advance(h.engine.settings.WarmupTime/4 + ms)
	if n := sentToZone(); n != 1 {
		t.Errorf("%d trials, want one", n)
	}
	for id, req := range h.engine.requests {
		for i, a := range req.attempts {
			if a.pending && a.cache.Zone == "a" {
				h.serve(id, i)
			}
		}
	}
	if n := sentToZone(); n < 10 {
		t.Errorf("%d of 40 sent after the trial was served", n)
	}
}

// After a restart most of an old endpoint list may be gone. A router must not use up the attempts of each request
// at caches that do not exist any more.
func TestUnreachableCacheIsSkipped(t *testing.T) {
	connectFailures, served := 0, 0
	for _, h := range newRouterFleet(t, 8) {
		for id := int64(1); id <= 60; id++ {
			h.advance(20 * ms)
			req := &Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + 800*ms}
			sends := sendActions(h.handle(req))
			for attempt := 0; len(sends) > 0; attempt++ {
				if sends[0].Cache < "c06" { // the others do not exist any more
					connectFailures++
					sends = sendActions(h.finish(id, attempt, ConnectFailed, false))
				} else {
					served++
					h.serve(id, attempt)
					sends = nil
				}
			}
		}
	}
	if perCache := float64(connectFailures) / manyRouters / 6; perCache > connectFailureThreshold+1.5 {
		t.Errorf("each router tried each unreachable cache %.1f times within 1.2 s", perCache)
	}
	if served < manyRouters*20 {
		t.Errorf("only %d of %d requests found a cache", served, manyRouters*60)
	}
}

// A cache whose connections failed is tried again, and not by all routers at once.
func TestUnreachableCacheIsRetried(t *testing.T) {
	trials := map[Time]int{}
	for _, h := range newRouterFleet(t, 1) {
		c := h.engine.caches["c00"]
		for range connectFailureThreshold {
			h.engine.noteConnect(c, false)
		}
		if !h.engine.circuitOpen(c) {
			t.Fatal("an unreachable cache is not skipped")
		}
		trials[(c.halfOpenAt-h.now)/(50*ms)]++
		h.now = c.halfOpenAt
		if h.handle(&TimerFired{}); h.engine.circuitOpen(c) {
			t.Fatal("no half-open trial")
		}
		if h.engine.noteConnect(c, true); h.engine.circuitOpen(c) {
			t.Fatal("skipped although it was reached")
		}
	}
	for at, n := range trials {
		if n > manyRouters/4 {
			t.Errorf("%d of %d routers try again within 50 ms of %d ms", n, manyRouters, at*50)
		}
	}
}

// Many routers that halve their limits step by step would each send a hung cache one attempt after the other, so
// each of them ejects it at once.
func TestFleetEjectsSilentCacheAtOnce(t *testing.T) {
	atSilent, elsewhere := 0, 0
	for _, h := range newRouterFleet(t, 8) {
		c := h.engine.caches["c03"]
		h.engine.eject(c)
		for id := int64(1); id <= 300; id++ {
			h.advance(10 * ms)
			if s := h.request(id, "read", uint64(id)); s != nil && s.Cache == "c03" {
				atSilent++
				h.finish(id, 0, ServerError, true)
			} else if s != nil {
				elsewhere++
				h.serve(id, 0)
			}
		}
	}
	if atSilent > manyRouters {
		t.Errorf("%d attempts of %d routers went to a silent cache within 3 s", atSilent, manyRouters)
	}
	if elsewhere < manyRouters*250 {
		t.Errorf("only %d of %d requests were sent elsewhere", elsewhere, manyRouters*300)
	}
	h := newRouterFleet(t, 2)[0]
	c := h.engine.caches["c00"]
	h.engine.eject(c)
	for key := int64(1); c.ejected && key < 400; key++ {
		h.engine.caches["c01"].healthy = false // so that c00 is used although it is ejected
		h.advance(100 * ms)
		if s := h.request(key, "read", uint64(key)); s != nil {
			h.serve(key, 0)
		}
	}
	if c.ejected || c.concurrencyLimit < h.engine.initialLimit(c)/2 {
		t.Errorf("after a reply ejected is %v, the limit %v", c.ejected, c.concurrencyLimit)
	}
}
