package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// statelessEngine is the part of a test's engine that holds nothing.
type statelessEngine struct{}

func (statelessEngine) Usage() policy.Usage { return policy.Usage{} }

func (statelessEngine) TimerPending(int64) bool { return false }

// testMemory returns a memory budget that tests do not exhaust.
func testMemory() *memoryBudget {
	return newMemoryBudget(config.Limits{MemoryMB: 192, Sockets: minSockets})
}

// scriptedEngine replaces the policy engine. It records the outcomes of attempts and returns no actions;
// tests perform the actions themselves.
type scriptedEngine struct {
	statelessEngine
	outcomes chan *policy.AttemptDone
}

func (s *scriptedEngine) Handle(_ policy.Time, ev policy.Event) []policy.Action {
	if outcome, ok := ev.(*policy.AttemptDone); ok {
		copied := *outcome
		s.outcomes <- &copied
	}
	return nil
}

// loopHarness is an event loop with a scripted engine and one cache, "c1".
type loopHarness struct {
	t        *testing.T
	loop     *eventLoop
	outcomes chan *policy.AttemptDone
}

// newLoopHarness runs an event loop until the test is over. Its cache has the given address.
func newLoopHarness(t *testing.T, addr string, edit func(*config.Config)) *loopHarness {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1", nil, endpointJSON("c1", addr, "in_service"))
	if edit != nil {
		edit(cfg)
	}
	loop, err := newEventLoop(cfg, newDescriptorBudget(cfg.Limits.Sockets))
	if err != nil {
		t.Fatal(err)
	}
	engine := &scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}
	loop.engine = engine
	ctx, stop := context.WithCancel(context.Background())
	go loop.run(ctx)
	t.Cleanup(func() {
		stop()
		receive(t, loop.done, "end of the loop")
	})
	return &loopHarness{t, loop, engine.outcomes}
}

// do runs f in the loop and waits until it has returned.
func (h *loopHarness) do(f func()) {
	h.t.Helper()
	ran := make(chan struct{})
	h.loop.post(func() {
		f()
		close(ran)
	})
	receive(h.t, ran, "end of a function run by the loop")
}

// newRequest has the loop accept a request: C.SET if a value is given, else C.GET.
func (h *loopHarness) newRequest(value []byte) *request {
	h.t.Helper()
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("r1"), []byte("c=read,d=20000")}
	if value != nil {
		args[0] = []byte("C.SET")
		args = append(args, value)
	}
	cmd, err := resp.ParseCommand(args, len(value)+100)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.acceptCommand(cmd)
}

// acceptCommand has the loop accept a command of a client and returns the request.
func (h *loopHarness) acceptCommand(cmd resp.Command) *request {
	h.t.Helper()
	var req *request
	h.do(func() {
		c := &clientConn{requests: map[int64]*request{}}
		h.loop.acceptRequest(c, newReplySlot(testMemory()), cmd, h.loop.now)
		req = h.loop.requests[h.loop.lastID]
	})
	return req
}

// sendAttempt has the loop send an attempt to the cache with the given timeout.
func (h *loopHarness) sendAttempt(req *request, timeout time.Duration) {
	h.t.Helper()
	h.do(func() {
		h.loop.perform(policy.Send{ID: req.id, Cache: "c1", Deadline: h.loop.now + timeout.Microseconds()})
	})
}

// awaitTurnEnd waits until the turn that the loop is in has ended, and with it the write that a cache has received.
func (h *loopHarness) awaitTurnEnd() {
	h.t.Helper()
	h.do(func() {})
}

// receiveCommand returns the next command that a cache receives, once the loop has ended the write. A reply that comes
// before may count as a second reply to an earlier request if the process is stalled during the write.
func (h *loopHarness) receiveCommand(cache *fakeCache) fakeCommand {
	h.t.Helper()
	cmd := receive(h.t, cache.commands, "command")
	h.awaitTurnEnd()
	return cmd
}

// serveRequest has the cache serve a new request and returns the command that the cache received.
func (h *loopHarness) serveRequest(cache *fakeCache) fakeCommand {
	h.t.Helper()
	h.sendAttempt(h.newRequest(nil), longTimeout)
	cmd := h.receiveCommand(cache)
	cmd.reply(h.t, servedReply)
	h.wantOutcome(policy.Served)
	return cmd
}

// wantOutcome checks the outcome of the next attempt that ends.
func (h *loopHarness) wantOutcome(want policy.Result) *policy.AttemptDone {
	h.t.Helper()
	outcome := receive(h.t, h.outcomes, "outcome")
	if outcome.Result != want {
		h.t.Fatalf("outcome %d, want %d", outcome.Result, want)
	}
	return outcome
}

// startScriptedRouter runs a router with a scripted engine. Requests get no replies unless the test
// performs the actions.
func startScriptedRouter(t *testing.T, endpoints ...string) (*runningRouter, *loopHarness) {
	t.Helper()
	srv, harness := newScriptedServer(t, endpoints...)
	return startServer(t, srv), harness
}

// newScriptedServer returns a server with a scripted engine that does not run yet.
func newScriptedServer(t *testing.T, endpoints ...string) (*Server, *loopHarness) {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpoints...))
	if err != nil {
		t.Fatal(err)
	}
	engine := &scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}
	srv.loop.engine = engine
	return srv, &loopHarness{t, srv.loop, engine.outcomes}
}

// openRequests returns the number of requests without a final reply.
func (h *loopHarness) openRequests() (open int) {
	h.t.Helper()
	h.do(func() { open = h.loop.openRequests })
	return open
}

// waitForOpenRequests waits until exactly n requests are open.
func (h *loopHarness) waitForOpenRequests(n int) {
	h.t.Helper()
	waitUntil(h.t, fmt.Sprint(n, " open requests"), func() bool { return h.openRequests() == n })
}

// waitForFullReplyQueue waits until a client has sent more commands than its reply queue holds.
func (h *loopHarness) waitForFullReplyQueue() {
	h.t.Helper()
	waitUntil(h.t, "a full reply queue", func() bool { return h.openRequests() > maxPipelined })
}

// onlyClientConn returns the connection of the requests that are open, which all have the same one.
func (h *loopHarness) onlyClientConn() (conn *clientConn) {
	h.t.Helper()
	h.do(func() {
		for _, req := range h.loop.requests {
			conn = req.client
		}
	})
	return conn
}

// onlyRequest waits until exactly one request is open and returns it.
func (h *loopHarness) onlyRequest() (req *request) {
	h.t.Helper()
	h.waitForOpenRequests(1)
	h.do(func() {
		for _, req = range h.loop.requests {
		}
	})
	return req
}
