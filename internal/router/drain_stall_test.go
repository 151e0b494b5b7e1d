package router

import (
	"testing"
	"time"
)

// TestDrainAcceptsAfterStall checks that a queued connection is accepted during a drain although the router
// stalls in Accept for longer than the deadline of that Accept. The kernel has already accepted the
// connection and the request on it.
func TestDrainAcceptsAfterStall(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 0
	system := useFaultySystem(srv)
	stall := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callAccept, fault{}, stall) // the first Accept is interrupted by the drain
	router := startServer(t, srv)
	waitUntil(t, "the first Accept", func() bool { return system.callCount(callAccept) == 1 })
	router.stop()
	receive(t, stall.reached, "Accept while draining")
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	started := time.Now()
	waitUntil(t, "the end of the deadline", func() bool { return time.Since(started) > 2*finalAcceptTimeout })
	close(stall.resume)
	receive(t, cache.commands, "command").reply(t, servedReply)
	client.wantLine("value")
}
