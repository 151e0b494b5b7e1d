package policy

import "testing"

// If every router of a large fleet kept a connection to every cache, the caches would run out of connections.
func TestIdleConnectionsAreClosedIfKeepingCostsMore(t *testing.T) {
	countClosed := func(routers int, key func(id int64) uint64, change func(*Settings)) (closed int) {
		h := newTrafficHarness(t, 20, func(s *Settings) {
			s.Routers, s.ConnectionCost, s.HandshakeCost = routers, .05, .05
			if change != nil {
				change(s)
			}
		})
		for id := range int64(400) {
			h.request(id+1, "read", key(id))
			h.serve(id+1, 0)
			for _, a := range h.actions {
				if _, ok := a.(CloseIdleConnections); ok {
					closed++
				}
			}
		}
		return closed
	}
	spread := func(id int64) uint64 { return uint64(id) }
	engine := newTrafficHarness(t, 20, nil).engine
	var samePrimary []uint64 // keys of one cache, none of them hot
	for key := uint64(1); len(samePrimary) < 100; key++ {
		if primaryOf(engine, key) == "c00" {
			samePrimary = append(samePrimary, key)
		}
	}
	oneCache := func(id int64) uint64 { return samePrimary[id%100] }
	if closed := countClosed(3, spread, nil); closed > 40 {
		t.Errorf("with few routers, connections were closed after %d of 400 requests", closed)
	}
	if closed := countClosed(600, spread, nil); closed < 380 {
		t.Errorf("with many routers, connections were closed after only %d of 400 requests", closed)
	}
	if closed := countClosed(600, oneCache, func(s *Settings) { s.ConnectionCost = .01 }); closed > 20 {
		t.Errorf("connections to the only cache in use were closed after %d of 400 requests", closed)
	}
	if closed := countClosed(600, spread, func(s *Settings) { s.ConnectionCost, s.HandshakeCost = 0, 0 }); closed > 0 {
		t.Errorf("connections that cost nothing were closed after %d of 400 requests", closed)
	}
}
