package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// Draining and removed caches get no requests after the drain grace period. A cache that is listed in service
// again does.
func TestDrainingCacheGetsNoRequests(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(2)})
	h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: "c00", State: Draining}}})
	h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: "c01", State: Removed}}})
	h.advance(1001 * ms)
	if s := h.request(1, "read", 1); s != nil {
		t.Fatalf("sent to %s after the drain grace period", s.Cache)
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(1)})
	if s := h.request(2, "read", 1); s == nil || s.Cache != "c00" {
		t.Fatalf("a cache that is listed in service again is not used: %v", s)
	}
}

// After a failed watch the engine watches again with a backoff. The backoff grows with further failures, and
// differs between routers.
func TestWatchBackoffGrowsAndIsJittered(t *testing.T) {
	settings := testSettings()
	settings.WatchRequired = true
	watchDelays := func(seed uint64) []Time {
		h := newSeededHarness(t, settings, seed)
		h.handle(&EndpointsUpdate{Kind: UpdateStale, Endpoints: testEndpoints(2)})
		var delays []Time
		for range 5 {
			h.handle(&EndpointsUpdate{Kind: UpdateFailed})
			start := h.now
			for done := false; !done; {
				for _, a := range h.advance(1 * ms) {
					if a == (Watch{}) {
						done = true
					}
				}
			}
			delays = append(delays, h.now-start)
		}
		return delays
	}
	first, second := watchDelays(1), watchDelays(2)
	if reflect.DeepEqual(first, second) {
		t.Fatal("routers with different seeds have equal backoffs")
	}
	if first[4] < 4*first[0] {
		t.Fatalf("the backoff doesn't grow: %v", first)
	}
}

// A watch that has gone silent is detected a second before the changes that it missed count as notified. A
// long poll interval must not delay the next poll beyond the drain grace period.
func TestFirstPollAfterSilentWatchIsWithinDrainGrace(t *testing.T) {
	settings := testSettings()
	settings.WatchRequired, settings.PollInterval, settings.DrainGrace = true, 120_000*ms, 250*ms
	h := newEngineHarness(t, settings)
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(8)})
	h.handle(&EndpointsUpdate{Kind: UpdateFailed})
	for _, a := range h.advance(settings.DrainGrace) {
		if _, ok := a.(Watch); ok {
			return
		}
	}
	t.Error("no poll within the drain grace period")
}

// The sum of the weights in map order would vary by rounding, and equal routers would make different decisions.
func TestMeanWeightIsDeterministic(t *testing.T) {
	endpoints := testEndpoints(40)
	for i := range endpoints {
		endpoints[i].Weight = 1 / float64(i+3)
	}
	var want float64
	for i := range 20 {
		h := newTrafficHarness(t, 1, nil)
		h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
		if i == 0 {
			want = h.engine.meanWeight
		} else if h.engine.meanWeight != want {
			t.Fatalf("mean weight %v, in the first run %v", h.engine.meanWeight, want)
		}
	}
}

// Caches are replaced under new names over time. The memory of removed ones must be released.
func TestRemovedCachesAreForgotten(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	for i := range 200 {
		endpoints := append(testEndpoints(3), Endpoint{ID: fmt.Sprint("new", i), Weight: 1})
		h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
		if s := h.request(int64(i), "read", uint64(i)); s != nil {
			h.serve(int64(i), 0)
		}
		h.advance(1000 * ms)
	}
	if caches := len(h.engine.caches); caches > 20 {
		t.Errorf("%d caches are kept, of which 4 are listed", caches)
	}
}
