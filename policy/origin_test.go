package policy

import "testing"

// An origin that gets too many requests serves all of them late. So likely misses have a separate limit.
func TestLikelyMissesAreLimited(t *testing.T) {
	h := newTrafficHarness(t, 4, nil)
	for id := range int64(30) {
		if h.request(id+1, "read", uint64(id)) != nil {
			h.finish(id+1, 0, ServerError, true)
		}
	}
	if h.engine.originLimit != 1 {
		t.Fatalf("errors left the origin limit at %v", h.engine.originLimit)
	}
	h.request(100, "read", 1000)
	if s := h.request(101, "read", 1001); s != nil {
		t.Fatal("a second likely miss was sent")
	}
	for _, c := range h.engine.caches {
		c.recentKeys[0][7] = true
	}
	if s := h.request(102, "read", 7); s == nil {
		t.Fatal("a likely hit was queued because of the origin limit")
	}
	h.handle(&Request{ID: 103, Class: "once", Key: 1003, HasKey: true, Deadline: h.now + 800*ms, Write: true})
	if len(sendActions(h.actions)) == 0 {
		t.Fatal("a write was queued because of the origin limit")
	}
}

// A late likely miss counts against the origin if the cache serves its hits in time, and against the cache if
// not.
func TestLateMissLowersOriginOrCacheLimit(t *testing.T) {
	for _, onTime := range []bool{true, false} {
		h := newTrafficHarness(t, 1, nil)
		c := h.engine.caches["c00"]
		c.lastLikelyHitInTime = onTime
		limit, originLimit := c.concurrencyLimit, h.engine.originLimit
		h.request(1, "read", 7)
		h.advance(190 * ms)
		if (c.concurrencyLimit < limit) == onTime || (h.engine.originLimit < originLimit) != onTime {
			t.Errorf("hits in time %v: limit of the cache %v to %v, of the origin %v to %v",
				onTime, limit, c.concurrencyLimit, originLimit, h.engine.originLimit)
		}
	}
}

// A late likely miss at a cache that is warming up does not count against the origin. A late likely hit marks
// the cache as late until it serves a hit in time.
func TestLateMissAtWarmingUpOrLateCache(t *testing.T) {
	h := newTrafficHarness(t, 1, nil)
	c := h.engine.caches["c00"]
	c.warmupFrom, c.warmAt, c.lastSentAt = h.now-9000*ms, h.now+1000*ms, h.now
	key := uint64(1)
	for !h.engine.slowStartAllows(&request{Request: &Request{Key: key}}, c) {
		key++
	}
	originLimit := h.engine.originLimit
	if h.request(1, "read", key) == nil {
		t.Fatal("not sent")
	}
	h.advance(190 * ms)
	if h.engine.originLimit < originLimit {
		t.Error("the origin limit fell because of a cache that is warming up")
	}

	h = newTrafficHarness(t, 1, nil)
	c = h.engine.caches["c00"]
	c.recentKeys[0][7] = true
	h.request(1, "read", 7)
	h.advance(150 * ms)
	if c.lastLikelyHitInTime {
		t.Error("a cache that was late with a likely hit still counts as in time")
	}
	h.serve(1, 0)
	h.request(2, "read", 7)
	h.serve(2, 0)
	if !c.lastLikelyHitInTime {
		t.Error("a cache that served a hit in time still counts as late")
	}
}

// One router of many knows few of the cached keys, so most of its likely misses are hits. The origin limit
// weights likely misses by the share that were misses; otherwise most of the requests that it holds back
// would be hits.
func TestOriginLimitCountsExpectedMisses(t *testing.T) {
	sentAfter := func(miss bool) (sent int) {
		h := newTrafficHarness(t, 8, nil)
		for id := range int64(400) {
			if h.request(id+1, "read", uint64(id)) != nil {
				h.serveFirstAttempt(id+1, miss)
			}
		}
		h.engine.originLimit = 2
		for id := range int64(20) {
			if h.request(id+1000, "read", uint64(id+1000)) != nil {
				sent++
			}
		}
		return sent
	}
	if hits, misses := sentAfter(false), sentAfter(true); misses != 2 || hits < 10 {
		t.Errorf("under an origin limit of 2, %d likely misses are sent where all had been misses, %d where none had been",
			misses, hits)
	}
}

// Misses that are slow without any overload must not reduce the origin limit until no misses are sent.
func TestFewMissesMayTakeLatencyObjective(t *testing.T) {
	for _, test := range []struct {
		originLimit float64
		after       Time
		falls       bool
	}{
		{20, 150 * ms, true}, // over two per cache and router: an attempt is late after missObjectiveShare
		{4, 150 * ms, false},
		{4, 210 * ms, true},
	} {
		h := newTrafficHarness(t, 8, nil) // one of two routers, whose share is four likely misses
		h.engine.originLimit = test.originLimit
		h.request(1, "read", 7)
		h.advance(test.after)
		if (h.engine.originLimit < test.originLimit) != test.falls {
			t.Errorf("origin limit %v after %d ms: %v", test.originLimit, test.after/ms, h.engine.originLimit)
		}
	}
	h := newTrafficHarness(t, 8, nil)
	h.engine.originLimit = 1
	for id := range int64(50) { // each reply takes 3/4 of the latency objective
		h.request(id+1, "read", uint64(id))
		h.advance(150 * ms)
		h.serveFirstAttempt(id+1, true)
	}
	if h.engine.originLimit <= 1 {
		t.Errorf("replies within the latency objective left the origin limit at %v", h.engine.originLimit)
	}
}

// To one router of many nearly every request is a likely miss. If a cache hangs while the origin serves
// misses of another cache, the limit of the cache must fall and not the origin limit.
func TestSilentCacheLimitFallsWhileOriginServes(t *testing.T) {
	for _, serves := range []bool{true, false} {
		h := newTrafficHarness(t, 8, nil)
		silent := h.request(1, "read", 1).Cache
		other := int64(2)
		for h.request(other, "read", uint64(other)).Cache == silent {
			h.serve(other, 0)
			other++
		}
		limit, originLimit := h.engine.caches[silent].concurrencyLimit, h.engine.originLimit
		h.advance(50 * ms)
		if serves {
			h.serveFirstAttempt(other, true)
		}
		h.advance(100 * ms)
		if lowered := h.engine.caches[silent].concurrencyLimit < limit; lowered != serves {
			t.Errorf("origin serves others: %v, limit of the silent cache lowered: %v", serves, lowered)
		}
		if lowered := h.engine.originLimit < originLimit; lowered == serves {
			t.Errorf("origin serves others: %v, origin limit lowered: %v", serves, lowered)
		}
	}
}
