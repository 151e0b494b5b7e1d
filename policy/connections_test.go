package policy

import "testing"

// If every router of many kept a connection to every cache, the caches' connection tables would fill up.
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
		t.Errorf("few routers closed %d of 400", closed)
	}
	if closed := countClosed(600, spread, nil); closed < 380 {
		t.Errorf("many routers closed only %d of 400", closed)
	}
	if closed := countClosed(600, oneCache, func(s *Settings) { s.ConnectionCost = .01 }); closed > 20 {
		t.Errorf("closed %d of 400 to the one cache in use", closed)
	}
	if closed := countClosed(600, spread, func(s *Settings) { s.ConnectionCost, s.HandshakeCost = 0, 0 }); closed > 0 {
		t.Errorf("closed %d where neither has a cost", closed)
	}
}
