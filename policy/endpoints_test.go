package policy

import (
	"fmt"
	"reflect"
	"testing"
)

// Draining and removed caches get no requests, and a cache that is listed in service again does.
func TestDrainingCacheGetsNoRequests(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(2)})
	h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: "c00", State: Draining}}})
	h.handle(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: []Endpoint{{ID: "c01", State: Removed}}})
	h.advance(1001 * ms)
	if s := h.request(1, "read", 1); s != nil {
		t.Fatalf("sent to %s after the drain grace", s.Cache)
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(1)})
	if s := h.request(2, "read", 1); s == nil || s.Cache != "c00" {
		t.Fatalf("a cache that is listed in service again is not used: %v", s)
	}
}

// After failures the engine watches the endpoints again with a backoff that grows and differs between routers.
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
		t.Fatal("two routers have equal backoffs")
	}
	if first[4] < 4*first[0] {
		t.Fatalf("the backoff doesn't grow: %v", first)
	}
}

// A silent watch is noticed a second before the changes that it missed count as notified; a long poll interval must
// not delay the next poll beyond the drain grace.
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
	t.Error("no poll within the drain grace")
}

// A sum in map order varies by rounding, and two equal routers would act differently.
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
			t.Fatalf("mean weight %v, before it was %v", h.engine.meanWeight, want)
		}
	}
}

// Machines come and go; memory must not grow with their names.
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
		t.Errorf("%d caches are remembered, of which 4 are listed", caches)
	}
}
