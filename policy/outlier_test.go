package policy

import "testing"

// When the network to a zone is down, a router must not have to find out from each cache of the zone
// separately.
func TestUnreachableZoneIsSkipped(t *testing.T) {
	h := newTrafficHarness(t, 12, func(s *Settings) { s.MaxAttempts = 6 })
	h.engine.retryBudget = 0 // a retry after a failed connection does not use it
	clients := &zoneClients{engineHarness: h, zone: "a"}
	clients.failUntilUnreachable()
	if sends := clients.countSends(40); sends != 0 {
		t.Errorf("%d of 40 sent to the unreachable zone", sends)
	}
	for _, c := range h.engine.caches {
		c.concurrencyLimit = 100
	}
	h.engine.originLimit = 1e6
	h.advance(h.engine.settings.WarmupTime/4 + ms)
	if sends := clients.countSends(40); sends != 1 {
		t.Errorf("%d half-open trials, want one", sends)
	}
	clients.serveAll()
	if sends := clients.countSends(40); sends < 10 {
		t.Errorf("%d of 40 sent after the trial was served", sends)
	}
}

// zoneClients sends requests, each for a different key, and observes the attempts that go to one zone.
type zoneClients struct {
	*engineHarness
	zone    string
	lastKey uint64 // key and ID of the last request
}

// requestNext gives the engine the next request.
func (z *zoneClients) requestNext() (id int64, send *Send) {
	z.lastKey++
	id = int64(z.lastKey)
	return id, z.request(id, "read", z.lastKey)
}

// isInZone reports whether an attempt was sent to the zone.
func (z *zoneClients) isInZone(send *Send) bool {
	return send != nil && z.engine.caches[send.Cache].Zone == z.zone
}

// failUntilUnreachable fails connections to the zone until the engine considers it unreachable. The retries
// of the requests are served by other zones.
func (z *zoneClients) failUntilUnreachable() {
	z.t.Helper()
	failures := 0
	for failures < zoneFailureThreshold {
		id, send := z.requestNext()
		for attempt := 0; z.isInZone(send); attempt++ {
			failures++
			retries := sendActions(z.finish(id, attempt, ConnectFailed, false))
			if len(retries) == 0 {
				z.t.Fatal("no further attempt after a failed connection")
			}
			send = &retries[0]
		}
		if failures < zoneFailureThreshold {
			z.engine.zones[z.zone].connectFailures = failures // replies from other zones must not reset the count
		}
		z.serve(id, len(z.engine.requests[id].attempts)-1)
	}
}

// countSends gives the engine requests and counts those that are sent to the zone.
func (z *zoneClients) countSends(requests int) (sends int) {
	for range requests {
		if _, send := z.requestNext(); z.isInZone(send) {
			sends++
		}
	}
	return sends
}

// serveAll serves the attempts that are pending in the zone.
func (z *zoneClients) serveAll() {
	for id, req := range z.engine.requests {
		for i, a := range req.attempts {
			if a.pending && a.cache.Zone == z.zone {
				z.serve(id, i)
			}
		}
	}
}

// After a restart, a router may start with an old endpoint list, most of whose caches no longer exist. It
// must not use up the attempts of each request at these caches.
func TestUnreachableCacheIsSkipped(t *testing.T) {
	connectFailures, served := 0, 0
	for _, h := range newRouterFleet(t, 8) {
		for id := int64(1); id <= 60; id++ {
			h.advance(20 * ms)
			req := &Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + 800*ms}
			sends := sendActions(h.handle(req))
			for attempt := 0; len(sends) > 0; attempt++ {
				if sends[0].Cache < "c06" { // c06 and c07 are the only caches that still exist
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

// A cache whose connections failed is tried again, after a time that differs between routers.
func TestUnreachableCacheIsRetried(t *testing.T) {
	trials := map[Time]int{}
	for _, h := range newRouterFleet(t, 1) {
		c := h.engine.caches["c00"]
		for range connectFailureThreshold {
			h.engine.recordConnect(c, false)
		}
		if !h.engine.circuitOpen(c) {
			t.Fatal("the circuit of an unreachable cache is not open")
		}
		trials[(c.halfOpenAt-h.now)/(50*ms)]++
		h.now = c.halfOpenAt
		if h.handle(&TimerFired{}); h.engine.circuitOpen(c) {
			t.Fatal("no half-open trial is allowed")
		}
		if h.engine.recordConnect(c, true); h.engine.circuitOpen(c) {
			t.Fatal("the circuit is still open after a successful connection")
		}
	}
	for at, routers := range trials {
		if routers > manyRouters/4 {
			t.Errorf("%d of %d routers try again within 50 ms of %d ms", routers, manyRouters, at*50)
		}
	}
}

// If many routers only lowered their limits step by step, each of them would send several attempts to a hung
// cache. So each router ejects it at once.
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
		t.Errorf("after a reply: ejected %v, limit %v", c.ejected, c.concurrencyLimit)
	}
}
