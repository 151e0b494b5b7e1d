package router

import (
	"strings"
	"testing"

	"marlstage/policy"
)

// TestUpstreamDescriptorLimit: where the caches' descriptors are used up, an attempt waits for one,
// and an idle connection to another cache makes room.
func TestUpstreamDescriptorLimit(t *testing.T) {
	cache, other := newFakeCache(t), newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() {
		harness.loop.descriptors.maxUpstreamConns = 1
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c2", other.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		harness.loop.applyEndpoints(h, h.kind())
	})
	harness.sendAttempt(harness.newRequest(nil), long)
	cmd := receive(t, cache.commands, "command")
	req := harness.newRequest(nil)
	harness.do(func() { harness.loop.perform(policy.Send{ID: req.id, Cache: "c2", Deadline: req.deadline}) })
	harness.do(func() {
		if harness.loop.upstreamConns != 1 || !harness.loop.descriptorStarved {
			t.Errorf("%d connections, starved %v", harness.loop.upstreamConns, harness.loop.descriptorStarved)
		}
	})
	cmd.conn.Close()
	harness.wantOutcome(policy.ConnectionLost)
	receive(t, other.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.sendAttempt(harness.newRequest(nil), long) // the other cache's connection is idle now
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	receive(t, other.closed, "end of the idle connection")
}

// TestShortCommandsAreChargedPerRequest: many that wait for their answers stay within the memory there is.
func TestShortCommandsAreChargedPerRequest(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 1
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 0
	}))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // answers nothing
	router := startServer(t, srv)
	due := func(want int64) func() bool {
		return func() bool {
			var due int64
			srv.mu.Lock()
			for c := range srv.clients {
				due += c.pendingReplies.Load()
			}
			srv.mu.Unlock()
			return due == want
		}
	}
	// Both wait for the answer to their first command, else one is refused all of its own and nothing is due there.
	clients := []*testClient{dial(t, router.addr), dial(t, router.addr)}
	for _, c := range clients {
		c.send(getCommand("r"))
	}
	waitUntil(t, "first commands", due(2))
	for _, c := range clients { // fewer than the queue of answers holds
		c.send(strings.Repeat(getCommand("r"), maxPipelined/2-1))
	}
	waitUntil(t, "commands", due(maxPipelined))
	open := make(chan int, 1)
	srv.loop.post(func() { open <- srv.loop.openRequests })
	if n := receive(t, open, "number of requests"); n > 256 {
		t.Errorf("%d requests are held in 256 KB", n)
	}
}

// TestShortRepliesPassWithFullMemoryBudget: a refusal or a PONG takes less than what would stand for it.
func TestShortRepliesPassWithFullMemoryBudget(t *testing.T) {
	for _, answer := range []string{busyReply, "-BUSY 1500\r\n", "+PONG\r\n"} {
		s := newReplySlot(newMemoryBudget(0))
		s.fill([]byte(answer))
		if got := string(<-s.reply); got != answer {
			t.Errorf("%q became %q", answer, got)
		}
	}
}
