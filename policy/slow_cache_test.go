package policy

import (
	"math/rand"
	"slices"
	"testing"
)

const (
	slowCacheCores    = 4
	slowCacheKeys     = 64
	slowCacheDuration = 30_000 * ms
	slowCacheInterval = 15 * ms // time between two requests
)

// slowCacheSimulation simulates one router in front of one overloaded cache. Its hits take about serviceTime,
// or longer if more of them are in flight than it has cores.
type slowCacheSimulation struct {
	harness     *engineHarness
	rng         *rand.Rand
	cache       *cache
	serviceTime Time
	pending     []slowAttempt
	served      int
	onTime      int // requests served within the latency objective
}

// slowAttempt is an attempt in flight at a slowCache.
type slowAttempt struct {
	id      int64
	attempt int
	sentAt  Time
	doneAt  Time
}

// Hits that take more than half of the latency objective without any load must not count as overload.
// Otherwise the cache's limit would fall until it served almost nothing.
func TestSlowHitsDoNotCountAsOverload(t *testing.T) {
	for _, serviceTime := range []Time{40 * ms, 75 * ms, 110 * ms, 130 * ms} {
		rate, onTime := simulateSlowCache(t, serviceTime)
		capacity := min(slowCacheCores/(1.05*float64(serviceTime)/1e6), 1e6/slowCacheInterval)
		t.Logf("%d ms per hit: %.1f per second within the latency objective, capacity %.1f; %.2f of the replies",
			serviceTime/ms, rate, capacity, onTime)
		if rate < .6*capacity {
			t.Errorf("%d ms per hit: %.1f per second within the latency objective, capacity %.1f",
				serviceTime/ms, rate, capacity)
		}
		if onTime < .75 {
			t.Errorf("%d ms per hit: %.2f of the replies came within the latency objective, so the cache is overloaded",
				serviceTime/ms, onTime)
		}
	}
}

// simulateSlowCache runs the simulation for slowCacheDuration. It returns the hits per second within the
// latency objective, and their share of all replies.
func simulateSlowCache(t *testing.T, serviceTime Time) (rate, onTime float64) {
	h := newTrafficHarness(t, 1, nil)
	s := &slowCacheSimulation{harness: h, rng: rand.New(rand.NewSource(1)), cache: h.engine.caches["c00"], serviceTime: serviceTime}
	for key := range uint64(slowCacheKeys) {
		s.cache.recentKeys[0][key] = true
	}
	id := int64(0)
	for start := h.now; h.now < start+slowCacheDuration; {
		s.startAttempts(h.advance(1 * ms))
		if (h.now-start)%slowCacheInterval == 0 {
			id++
			s.startAttempts(h.handle(&Request{ID: id, Class: "read", Key: uint64(id % slowCacheKeys), HasKey: true,
				Deadline: h.now + testTimeout}))
		}
		s.finishDueAttempts()
	}
	return float64(s.onTime) / (slowCacheDuration / 1e6), float64(s.onTime) / float64(s.served)
}

// startAttempts starts the attempts of the Send actions among actions.
func (s *slowCacheSimulation) startAttempts(actions []Action) {
	h := s.harness
	for _, send := range sendActions(actions) {
		slowdown := max(1, float64(s.cache.inFlight)/slowCacheCores)
		doneAt := h.now + Time(float64(s.serviceTime)*slowdown*(0.75+0.6*s.rng.Float64()))
		attempt := len(h.engine.requests[send.ID].attempts) - 1
		s.pending = append(s.pending, slowAttempt{id: send.ID, attempt: attempt, sentAt: h.now, doneAt: doneAt})
	}
}

// finishDueAttempts ends the attempts that are done by now. The engine may send others as a result.
func (s *slowCacheSimulation) finishDueAttempts() {
	h := s.harness
	objective := h.engine.classes["read"].LatencyObjective
	for i := 0; i < len(s.pending); i++ {
		done := s.pending[i]
		if h.now < done.doneAt {
			continue
		}
		s.pending = slices.Delete(s.pending, i, i+1)
		i--
		elapsed := h.now - done.sentAt
		s.served++
		s.onTime += boolToInt(elapsed <= objective)
		s.startAttempts(h.handle(&AttemptDone{ID: done.id, Attempt: done.attempt, Result: Served, Elapsed: elapsed, Final: true,
			Load: noLoadReport}))
	}
}
