package router

import (
	"testing"
	"time"
)

// harnessFor returns a harness for the event loop of a running router.
func harnessFor(t *testing.T, router *runningRouter) *loopHarness {
	return &loopHarness{t: t, loop: router.srv.loop}
}

// waitUntilOutOfService waits until the router has applied a list in which the cache accepts no requests.
func (h *loopHarness) waitUntilOutOfService(cache string) {
	h.t.Helper()
	waitUntil(h.t, cache+" is out of service", func() (out bool) {
		h.do(func() { out = !h.loop.pools[cache].inService })
		return out
	})
}

// TestListFromOldDiscoveryAfterMove checks that a drain reported by the old service after SIGHUP is applied
// while the new service is silent. The call to the new service then still continues from the version that it
// first requested, even after a failure.
func TestListFromOldDiscoveryAfterMove(t *testing.T) {
	for mode, want := range map[string]string{"subscribe": "/discovery/hosts?after=1&wait_ms=3000", "automatic": "/discovery/hosts"} {
		t.Run(mode, func(t *testing.T) {
			old, oldCalls := newFakeDiscovery(t)
			moved, calls := newFakeDiscovery(t)
			router := startRouter(t, testConfig(t, old, func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode },
				endpointJSON("c1", "127.0.0.1:1", "in_service")))
			held := receive(t, oldCalls, "call")
			router.srv.MoveDiscovery(moved)
			silent := receive(t, calls, "call at the new address")
			held.reply <- endpointListJSON(9, false, endpointJSON("c1", "127.0.0.1:1", "terminating"))
			harnessFor(t, router).waitUntilOutOfService("c1")
			silent.reply <- "" // fails
			if c := receive(t, calls, "call after a failure"); c.query != want {
				t.Errorf("call %s, want %s", c.query, want)
			}
		})
	}
}

// TestListFromFirstReplacedDiscovery checks that a drain reported by the first service after several moves in
// a row is applied while the new services are silent.
func TestListFromFirstReplacedDiscovery(t *testing.T) {
	old, oldCalls := newFakeDiscovery(t)
	silent := newHangingDiscovery(t, "")
	router := startRouter(t, testConfig(t, old, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	held := receive(t, oldCalls, "call")
	for range maxReplacedWatches {
		router.srv.MoveDiscovery(silent.addr)
		receive(t, silent.calls, "call at the new address")
	}
	go func() { held.reply <- endpointListJSON(9, false, endpointJSON("c1", "127.0.0.1:1", "terminating")) }()
	harnessFor(t, router).waitUntilOutOfService("c1")
}

// TestListReadBeforeMove checks that a list that has been read but not applied yet is applied after one move,
// and after two in a row.
func TestListReadBeforeMove(t *testing.T) {
	for _, moves := range []int{1, 2} {
		old, oldCalls := newFakeDiscovery(t)
		moved, calls := newFakeDiscovery(t)
		router := startRouter(t, testConfig(t, old, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
		harness := harnessFor(t, router)
		held := receive(t, oldCalls, "call")
		stalled, resume := make(chan struct{}), make(chan struct{})
		harness.loop.post(func() {
			close(stalled)
			<-resume
			for range moves {
				cfg := *harness.loop.cfg
				cfg.Discovery = moved
				harness.loop.moveDiscovery(&cfg)
			}
		})
		receive(t, stalled, "stall of the event loop")
		held.reply <- endpointListJSON(9, false, endpointJSON("c1", "127.0.0.1:1", "terminating"))
		receive(t, oldCalls, "next call, which follows the list")
		close(resume)
		receive(t, calls, "call at the new address")
		harness.waitUntilOutOfService("c1")
	}
}

// TestOldCallEndsOnceNewDiscoveryAnswers checks that the first list of the new service ends the old call.
func TestOldCallEndsOnceNewDiscoveryAnswers(t *testing.T) {
	old := newHangingDiscovery(t, "")
	moved, calls := newFakeDiscovery(t)
	router := startRouter(t, testConfig(t, old.addr, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	receive(t, old.calls, "call")
	router.srv.MoveDiscovery(moved)
	first := receive(t, calls, "call at the new address")
	select {
	case <-old.ended:
		t.Error("the old call ended before the new service had answered")
	default:
	}
	first.reply <- endpointListJSON(2, false, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	receive(t, old.ended, "end of the old call")
}

// TestOldCallEndsInTime checks that the old call ends when changes count as notified if the new service stays
// silent.
func TestOldCallEndsInTime(t *testing.T) {
	old, moved := newHangingDiscovery(t, ""), newHangingDiscovery(t, "")
	loop := newStoppedLoop(t, nil)
	cfg := *loop.cfg
	cfg.Discovery = old.addr
	loop.moveDiscovery(&cfg)
	receive(t, old.calls, "call")
	cfg.Discovery = moved.addr
	loop.moveDiscovery(&cfg)
	receive(t, moved.calls, "call at the new address")
	started := time.Now()
	loop.now += moveRetryPeriod
	loop.runDueTimers()
	receive(t, old.ended, "end of the old call")
	if elapsed := time.Since(started); elapsed > 2*time.Second {
		t.Errorf("the old call ended only after %v, by its own timeout", elapsed)
	}
}

// TestLateListOfOldDiscovery checks that a list of the old service is dropped once the new one has delivered
// a list.
func TestLateListOfOldDiscovery(t *testing.T) {
	old, oldCalls := newFakeDiscovery(t)
	moved, calls := newFakeDiscovery(t)
	router := startRouter(t, testConfig(t, old, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	harness := harnessFor(t, router)
	held := receive(t, oldCalls, "call")
	router.srv.MoveDiscovery(moved)
	first := receive(t, calls, "call at the new address")
	stalled, resume := make(chan struct{}), make(chan struct{})
	harness.loop.post(func() {
		close(stalled)
		<-resume
	})
	receive(t, stalled, "stall of the event loop")
	first.reply <- endpointListJSON(2, false)
	receive(t, calls, "next call, which follows the list of the new service")
	held.reply <- endpointListJSON(9, true)
	receive(t, oldCalls, "next call, which follows the list of the old service")
	close(resume)
	harness.do(func() {
		if l := harness.loop; l.endpointsVersion != 2 || !l.pools["c1"].inService {
			t.Errorf("the list of the old service was applied: version %d", l.endpointsVersion)
		}
	})
}
