package router

import (
	"strings"
	"testing"

	"marlstage/internal/discovery"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestUpstreamDescriptorLimit checks that an attempt waits for a descriptor if those for connections to
// caches are used up, and that an idle connection to another cache is closed to release one.
func TestUpstreamDescriptorLimit(t *testing.T) {
	cache, other := newFakeCache(t), newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() {
		harness.loop.descriptors.maxUpstreamConns = 1
		list, err := discovery.ParseEndpointList([]byte(endpointListJSON(2, false, endpointJSON("c2", other.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		harness.loop.applyEndpoints(list, list.Kind())
	})
	harness.sendAttempt(harness.newRequest(nil), longTimeout)
	cmd := receive(t, cache.commands, "command")
	req := harness.newRequest(nil)
	harness.do(func() { harness.loop.perform(policy.Send{ID: req.id, Cache: "c2", Deadline: req.deadline}) })
	harness.do(func() {
		if harness.loop.upstreamConns != 1 || len(harness.loop.starvedPools) != 1 {
			t.Errorf("%d connections, pools waiting for a descriptor: %v", harness.loop.upstreamConns, harness.loop.starvedPools)
		}
	})
	cmd.conn.Close()
	harness.wantOutcome(policy.ConnectionLost)
	receive(t, other.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.sendAttempt(harness.newRequest(nil), longTimeout) // the connection to the other cache is idle now
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	receive(t, other.closed, "end of the idle connection")
}

// TestShortCommandsAreChargedPerRequest checks that many short commands in flight stay within the
// memory budget.
func TestShortCommandsAreChargedPerRequest(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 1
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 0
	}))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // sends no replies
	router := startServer(t, srv)
	pending := func(want int64) func() bool {
		return func() bool { return pendingReplies(srv) == want }
	}
	// Each client must have a command in flight before they send more. Otherwise all commands of one
	// could be rejected, and none of its replies would be pending.
	clients := []*testClient{dial(t, router.addr), dial(t, router.addr)}
	for _, client := range clients {
		client.send(getCommand("r"))
	}
	waitUntil(t, "the first commands", pending(2))
	for _, client := range clients { // fewer than a reply queue holds
		client.send(strings.Repeat(getCommand("r"), maxPipelined/2-1))
	}
	waitUntil(t, "all commands", pending(maxPipelined))
	open := make(chan int, 1)
	srv.loop.post(func() { open <- srv.loop.openRequests })
	if n := receive(t, open, "number of requests"); n > 256 {
		t.Errorf("%d requests in flight with a budget of 256 KB", n)
	}
}

// pendingReplies returns the number of commands of all clients whose replies have not been written.
func pendingReplies(srv *Server) int64 {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	var pending int64
	for c := range srv.clients {
		pending += c.pendingReplies.Load()
	}
	return pending
}

// TestShortRepliesPassWithFullMemoryBudget checks that a reply is not replaced for lack of memory if it is
// no longer than the reply that would replace it.
func TestShortRepliesPassWithFullMemoryBudget(t *testing.T) {
	for _, reply := range []string{resp.BusyReply, "-BUSY 1500\r\n", "+PONG\r\n"} {
		slot := newReplySlot(&memoryBudget{})
		slot.fill([]byte(reply))
		if got := string(<-slot.reply); got != reply {
			t.Errorf("%q became %q", reply, got)
		}
	}
}
