package policy

import "testing"

// A cache that is warming up cannot handle its full share of the requests. Its share of the keys must grow
// with time.
func TestWarmupShareGrows(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	endpoints := testEndpoints(4)
	endpoints[2].StartedAt = h.now
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	countSends := func() int {
		sends := 0
		for key := range uint64(4000) {
			id := int64(h.now) + int64(key)
			if s := h.request(id, "read", key); s != nil && s.Cache == "c02" {
				sends++
			}
			h.serve(id, 0)
		}
		return sends
	}
	early := countSends()
	h.advance(5000 * ms)
	middle := countSends()
	h.advance(6000 * ms)
	full := countSends()
	if early == 0 || early > full*3/10 {
		t.Fatalf("sends at the start of the warm-up: %d, when warm: %d", early, full)
	}
	if middle < early*2 || middle > full*7/10 {
		t.Fatalf("sends over the warm-up: %d, %d, when warm: %d", early, middle, full)
	}
}

// Slow start admits a part of the keys of a cache that is warming up. If these have more requests than
// others, the cache must still get no more than its share.
func TestWarmingUpCacheGetsItsShareAtMost(t *testing.T) {
	h := newTrafficHarness(t, 5, nil)
	endpoints := testEndpoints(5)
	endpoints[3].StartedAt = h.now
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	admitted := func(key uint64) bool { // reports whether slow start admits the key at c03, which is its primary
		return primaryOf(h.engine, key) == "c03" && unitInterval(mix(mix(key)+1)) < h.engine.settings.WarmupStartShare
	}
	sent, key := 0, uint64(0)
	for id := range int64(600) {
		key++
		if id%3 == 0 {
			for !admitted(key) {
				key++
			}
		}
		if s := h.request(id+1, "read", key); s != nil && s.Cache == "c03" {
			sent++
		}
		h.serve(id+1, 0)
	}
	if sent == 0 || sent > 600/5/2 {
		t.Fatalf("a cache that is warming up got %d of 600, its full share is 120", sent)
	}
}

// During faults most attempts are retries or for hot keys. These would overload caches that are warming up.
func TestWarmingUpCacheGetsNoRetriesOrHotKeys(t *testing.T) {
	h := newTrafficHarness(t, 5, nil)
	endpoints := testEndpoints(5)
	endpoints[3].StartedAt = h.now
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	c := h.engine.caches["c03"]
	key := uint64(1)
	for unitInterval(mix(mix(key)+1)) >= h.engine.settings.WarmupStartShare {
		key++
	}
	req := &request{Request: &Request{Key: key, Deadline: h.now + 1e6}, class: &Class{}}
	if !h.engine.slowStartAllows(req, c) {
		t.Fatal("a first attempt is not admitted")
	}
	req.attempts = []attempt{{cache: h.engine.caches["c01"], neverRan: true}}
	if h.engine.slowStartAllows(req, c) {
		t.Error("a retry is admitted")
	}
	req.attempts = nil
	h.engine.keyCounts[0][key], h.engine.requestCounts[0] = 30, 100
	if h.engine.slowStartAllows(req, c) {
		t.Error("a hot key is admitted")
	}
}

// Routers agree in part on which requests for a key go to a cache that is warming up. Otherwise some would
// send all requests for a repeated key to it and others none, and two caches would fetch the key.
func TestWarmingUpCacheGetsItsShareOfKey(t *testing.T) {
	const routers = 300
	for _, test := range []struct {
		seen      int // requests for the key among 600
		low, high int // bounds of the number of routers that send the next one to the cache that is warming up
	}{{1, routers, routers}, {2, routers / 3, routers * 6 / 10}, {6, routers / 10, routers / 5}, {60, 0, routers / 20}} {
		sent := 0
		for router := range routers {
			engine := newWarmingUpHarness(t, routers, router).engine
			key := uint64(1)
			for unitInterval(mix(mix(key)+1)) >= engine.settings.WarmupStartShare {
				key++ // until slow start admits the key at any time of the warm-up
			}
			engine.requestCounts[0], engine.keyCounts[0][key] = 600, test.seen
			req := &request{Request: &Request{Key: key, Deadline: 2e9}, class: &Class{}}
			sent += boolToInt(engine.slowStartAllows(req, engine.caches["c03"]))
		}
		if sent < test.low || sent > test.high {
			t.Errorf("a key seen %d times: %d of %d routers send it to a cache that is warming up, want %d to %d",
				test.seen, sent, routers, test.low, test.high)
		}
	}
}

// The listed start of a cache may be in the future, or be listed repeatedly or late. In neither case may a
// warm cache lose its keys or a cache that is warming up get too many.
func TestWarmupFollowsAnnouncedStarts(t *testing.T) {
	const announced = 1000 * ms // time of the first update, from the start of the clock
	for _, test := range []struct {
		name   string
		starts []Time // start in each update, one update per second, from announced on
		warmAt Time   // end of the warm-up; 0 if the cache is warm at the end of the test
	}{
		{"in the future", []Time{announced + 60000*ms}, announced + 10000*ms},
		{
			"in the future, repeated",
			[]Time{announced + 60000*ms, announced + 60000*ms, announced + 60000*ms},
			announced + 10000*ms,
		},
		{"repeated", []Time{announced, announced, announced, announced}, announced + 10000*ms},
		{"late", []Time{announced - 4000*ms}, announced + 6000*ms},
		{"late, when it is warm", []Time{announced - 11000*ms}, 0},
		{"then an older one", []Time{announced, announced - 8000*ms}, announced + 10000*ms},
		{"then a newer one", []Time{announced, announced + 1000*ms}, announced + 11000*ms},
	} {
		h := newTrafficHarness(t, 3, nil)
		endpoints, clockStart := testEndpoints(3), h.now
		h.now += announced
		for _, start := range test.starts {
			endpoints[1].StartedAt = clockStart + start
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
			h.now += 1000 * ms
		}
		c := h.engine.caches["c01"]
		if got := c.warmAt - clockStart; got != test.warmAt && (test.warmAt > 0 || c.warmAt > h.now) {
			t.Errorf("start %s: warm-up ends at %d ms, want %d", test.name, got/ms, test.warmAt/ms)
		}
	}
}

// In overload each router gets more requests than the caches can serve. A cache that is warming up must get
// its share of the requests that can be served, not of all requests.
func TestWarmingUpCacheGetsLessInOverload(t *testing.T) {
	for _, seen := range []int{1, 6} {
		normal, overload := countWarmingUpSends(t, Served, seen), countWarmingUpSends(t, Rejected, seen)
		if overload > normal/2 || overload < normal/5 {
			t.Errorf("keys seen %d times: sent %d times when warm caches serve a quarter, %d when they serve all", seen, overload, normal)
		}
	}
	if normal, lost := countWarmingUpSends(t, Served, 1), countWarmingUpSends(t, ConnectionLost, 1); lost != normal {
		t.Errorf("sent %d times when connections were lost, %d when not", lost, normal)
	}
}

// countWarmingUpSends counts how often routers would send keys to a cache that is warming up, after three of
// four attempts at warm caches ended with result. Each key was seen the given number of times among 600
// requests.
func countWarmingUpSends(t *testing.T, result Result, seen int) (sent int) {
	t.Helper()
	const routers, keys = 300, 20
	for router := range routers {
		engine := newWarmingUpHarness(t, routers, router).engine
		req := &request{Request: &Request{Key: 1, Deadline: 2e9}, class: &Class{LatencyObjective: 600 * ms}}
		for id := range 10 * goodputWindow {
			attemptResult := result
			if id%4 == 0 {
				attemptResult = Served
			}
			engine.updateGoodput(&attempt{cache: engine.caches["c00"], sentAt: testStart}, req, attemptResult)
		}
		engine.now = testStart + 5000*ms
		for counted := 0; counted < keys; req.Key++ {
			// A repeated key counts only if slow start admits it at any time of the warm-up.
			if seen > 1 && unitInterval(mix(mix(req.Key)+1)) >= .2 {
				continue
			}
			counted++
			engine.requestCounts[0], engine.keyCounts[0][req.Key] = 600, seen
			sent += boolToInt(engine.slowStartAllows(req, engine.caches["c03"]))
		}
	}
	return sent
}

// newWarmingUpHarness returns one of many routers in front of 200 caches, of which c03 has just started.
func newWarmingUpHarness(t *testing.T, routers, router int) *engineHarness {
	t.Helper()
	h := newSeededHarness(t, slowStartSettings(routers), routerSeed(uint64(router)))
	endpoints := testEndpoints(200)
	endpoints[3].StartedAt = h.now
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	return h
}

// slowStartSettings returns settings for tests of slow start in fleets, without health checks.
func slowStartSettings(routers int) Settings {
	s := testSettings()
	s.Routers, s.HealthChecksAllowed, s.OverloadMultiple = routers, false, 3
	s.WarmupTime, s.WarmupStartShare, s.OverloadTime, s.DrainGrace = 9000*ms, .31, 1500*ms, 1500*ms
	return s
}

// Attempts that warm caches reject must not count as their load, or caches that are warming up would get a
// share of them.
func TestRejectionsDoNotRaiseWarmingUpShare(t *testing.T) {
	count := func(rejected int) (admitted int) {
		h := newTrafficHarness(t, 2, nil)
		endpoints := testEndpoints(2)
		endpoints[1].StartedAt = h.now
		h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
		warm, starting := h.engine.caches["c00"], h.engine.caches["c01"]
		for id := range 20 + rejected {
			req := &Request{ID: int64(id), Class: "read", Key: uint64(id), HasKey: true, Deadline: h.now + testTimeout}
			sent := &request{Request: req, class: h.engine.classes["read"], arrivedAt: h.now}
			h.engine.requests[req.ID] = sent
			h.engine.sendAttempt(sent, warm)
			result := Served
			if id >= 20 {
				result = Rejected
			}
			h.finish(req.ID, 0, result, true)
		}
		first := &request{Request: &Request{Key: 1, Deadline: h.now + 1e6}, class: &Class{}}
		for unitInterval(mix(mix(first.Key)+1)) >= h.engine.slowStartShare(starting) || primaryOf(h.engine, first.Key) != "c01" {
			first.Key++
		}
		for admitted < 1000 && h.engine.slowStartAllows(first, starting) {
			starting.recentAttempts.Add(h.now, h.engine.settings.OverloadTime)
			admitted++
		}
		return admitted
	}
	if normal, overload := count(0), count(200); normal == 0 || overload > normal {
		t.Errorf("%d attempts are admitted without rejections by the warm cache, %d with rejections", normal, overload)
	}
}
