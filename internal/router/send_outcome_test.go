package router

import (
	"fmt"
	"testing"

	"marlstage/internal/discovery"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestEverySendHasOneOutcome guards against attempts without an outcome: the engine reserves capacity for each until
// its outcome, and rejected all requests once enough of them had none.
func TestEverySendHasOneOutcome(t *testing.T) {
	type sendCase struct {
		cache string
		end   func(*loopHarness, *request) // called before the attempt is sent
		final bool
	}
	for name, c := range map[string]sendCase{
		"client disconnected": {"c1", func(h *loopHarness, r *request) { h.loop.clientDisconnected(r.client) }, true},
		"drain deadline":      {"c1", func(h *loopHarness, _ *request) { h.loop.failOpenRequests() }, true},
		"rejected":            {"c1", func(h *loopHarness, r *request) { h.loop.perform(policy.Reject{ID: r.id}) }, true},
		"unknown cache":       {"c2", func(*loopHarness, *request) {}, false},
		"cache out of service": {"c1", func(h *loopHarness, _ *request) {
			h.loop.pools["c1"].update("127.0.0.1:1", 0, false)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLoopHarness(t, newFakeCache(t).addr(), nil)
			req := harness.newRequest(nil)
			harness.do(func() {
				c.end(harness, req)
				harness.loop.perform(policy.Send{ID: req.id, Attempt: 0, Cache: c.cache})
			})
			outcome := harness.wantOutcome(policy.NotSent)
			if outcome.ID != req.id || outcome.Attempt != 0 || outcome.Final != c.final {
				t.Errorf("outcome %+v, want one of request %d with final %t", outcome, req.id, c.final)
			}
			harness.do(func() {
				if n := harness.loop.attemptsInFlight; n != 0 || len(harness.outcomes) > 0 {
					t.Errorf("%d attempts in flight, %d more outcomes", n, len(harness.outcomes))
				}
			})
		})
	}
}

// TestSendForEndedRequestWithAttemptInFlight checks that an attempt for a request that has ended, but still has
// another attempt in flight, gets its outcome at once.
func TestSendForEndedRequestWithAttemptInFlight(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	req := harness.newRequest(nil)
	harness.sendAttempt(req, longTimeout)
	first := receive(t, cache.commands, "command")
	harness.do(func() {
		harness.loop.clientDisconnected(req.client)
		harness.loop.perform(policy.Send{ID: req.id, Attempt: 1, Cache: "c1"})
	})
	if outcome := harness.wantOutcome(policy.NotSent); outcome.Attempt != 1 || !outcome.Final {
		t.Errorf("outcome %+v, want a final one of attempt 1", outcome)
	}
	first.reply(t, servedReply)
	if outcome := harness.wantOutcome(policy.Served); outcome.Attempt != 0 {
		t.Errorf("outcome %+v, want one of attempt 0", outcome)
	}
}

// TestAttemptsKeepTheEnginesNumbers checks that after an attempt that could not start, the numbers of later ones are
// still those of the engine: a Cancel must not end another attempt than the one it names.
func TestAttemptsKeepTheEnginesNumbers(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	req := harness.newRequest(nil)
	harness.do(func() { harness.loop.perform(policy.Send{ID: req.id, Attempt: 0, Cache: "unknown"}) })
	harness.wantOutcome(policy.NotSent)
	for number := 1; number <= 2; number++ {
		harness.do(func() { harness.loop.perform(policy.Send{ID: req.id, Attempt: number, Cache: "c1"}) })
		receive(t, cache.commands, "command")
	}
	harness.do(func() { harness.loop.perform(policy.Cancel{ID: req.id, Attempt: 1}) })
	if outcome := harness.wantOutcome(policy.Cancelled); outcome.Attempt != 1 {
		t.Errorf("attempt %d was cancelled, want 1", outcome.Attempt)
	}
}

// TestHealthCheckOfMissingCacheIsNotSent guards against checks without a result, which the engine counts as failed.
func TestHealthCheckOfMissingCacheIsNotSent(t *testing.T) {
	harness := newLoopHarness(t, newFakeCache(t).addr(), nil)
	engine := &healthCheckEngine{results: make(chan policy.Result, 1)}
	harness.do(func() {
		harness.loop.engine = engine
		harness.loop.perform(policy.HealthCheck{Cache: "unknown"})
	})
	if got := receive(t, engine.results, "result"); got != policy.NotSent {
		t.Errorf("result %v, want %v", got, policy.NotSent)
	}
}

// endingRequests is how many requests are open when they end: more than the engine's limit for a cache, so that it
// queues most of them.
const endingRequests = 100

// TestNothingStaysReserved guards against capacity that stays reserved when many requests end in one turn of the
// event loop: the engine sends more attempts before it is told of all that has ended.
func TestNothingStaysReserved(t *testing.T) {
	for name, end := range map[string]func(*engineTest){
		"client disconnects":  func(e *engineTest) { e.loop.clientDisconnected(e.client) },
		"drain deadline":      func(e *engineTest) { e.loop.failOpenRequests() },
		"cache drains":        func(e *engineTest) { e.list("terminating") },
		"cache is removed":    func(e *engineTest) { e.removeCache() },
		"cache is replaced":   func(e *engineTest) { e.removeCache(); e.list("in_service") },
		"attempts are late":   func(e *engineTest) { e.expire(e.loop.pools["c1"].queue) },
		"requests are served": func(*engineTest) {},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTest(t)
			e.endInOneTurn(end)
			e.wantNothingInFlight()
			e.wantServed()
		})
	}
}

// TestNothingIsSentForEndedRequests guards against attempts that the engine sends for requests that have ended, as it
// has not been told of all of them: each uses up capacity and retry budget.
func TestNothingIsSentForEndedRequests(t *testing.T) {
	for name, end := range map[string]func(*engineTest){
		"client disconnects": func(e *engineTest) { e.loop.clientDisconnected(e.client) },
		"drain deadline":     func(e *engineTest) { e.loop.failOpenRequests() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTest(t)
			e.endInOneTurn(end)
			e.wantNothingInFlight()
			if n := e.loop.statistics.notStarted.Load(); n != 0 {
				t.Errorf("%d attempts were sent for ended requests", n)
			}
		})
	}
}

// TestNothingIsSentToCacheOutOfService guards against attempts that are used up at a cache that the list has taken out
// of service, as the engine gets the outcomes of queued attempts before the list.
func TestNothingIsSentToCacheOutOfService(t *testing.T) {
	for name, end := range map[string]func(*engineTest){
		"cache drains":     func(e *engineTest) { e.list("terminating") },
		"cache is removed": func(e *engineTest) { e.removeCache() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTest(t)
			var before int64
			e.endInOneTurn(func(e *engineTest) {
				before = e.loop.statistics.attempts.Load()
				end(e)
			})
			e.wantNothingInFlight()
			if n := e.loop.statistics.attempts.Load() - before; n != 0 {
				t.Errorf("%d attempts were sent to a cache that is out of service", n)
			}
		})
	}
}

// TestNothingStaysReservedForClientFoundGone is the same for a client whose disconnect is found by the check before an
// attempt, while the engine has not handled its other requests.
func TestNothingStaysReservedForClientFoundGone(t *testing.T) {
	e := newEngineTest(t)
	e.wantServed() // leaves an idle connection
	leaving := dial(t, e.router.addr)
	leaving.send(getCommand("first"))
	leaving.readLine()
	e.do(func() {
		e.loop.settleTime = 0
		client := e.onlyClient(leaving)
		leaving.close()
		waitUntil(t, "the client's end", client.hungUp)
		for range endingRequests {
			e.acceptFrom(client)
		}
	})
	e.wantNothingInFlight()
	e.wantServed()
}

// engineTest is a router with its real engine and one cache, which serves each request.
type engineTest struct {
	*loopHarness
	router  *runningRouter
	cache   *fakeCache
	client  *clientConn // a client without a connection
	version int
}

func newEngineTest(t *testing.T) *engineTest {
	t.Helper()
	cache := newFakeCache(t)
	cache.handleCommands(t, func(cmd fakeCommand) { cmd.tryReply(servedReply) })
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	return &engineTest{
		loopHarness: &loopHarness{t: t, loop: router.srv.loop},
		router:      router,
		cache:       cache,
		client:      &clientConn{requests: map[int64]*request{}},
		version:     1,
	}
}

// endInOneTurn has the loop accept requests of the client without a connection, of which the engine sends as many as
// its limit allows, and then calls end in the same turn.
func (e *engineTest) endInOneTurn(end func(*engineTest)) {
	e.t.Helper()
	e.do(func() {
		e.pauseDials()
		for range endingRequests {
			e.acceptFrom(e.client)
		}
		e.loop.deliverEvents()
		end(e)
	})
}

// acceptFrom has the loop accept a request of a client.
func (e *engineTest) acceptFrom(client *clientConn) {
	args := [][]byte{[]byte("C.GET"), []byte("k1"), fmt.Append(nil, "r", e.loop.lastID), []byte("c=read,d=20000")}
	cmd, err := resp.ParseCommand(args, 100)
	if err != nil {
		e.t.Error(err)
	}
	e.loop.acceptRequest(client, newReplySlot(testMemory()), cmd, e.loop.now)
}

// onlyClient returns the router's side of a client's connection.
func (e *engineTest) onlyClient(client *testClient) *clientConn {
	e.router.srv.mu.Lock()
	defer e.router.srv.mu.Unlock()
	for c := range e.router.srv.clients {
		if c.nc.RemoteAddr().String() == client.nc.LocalAddr().String() {
			return c
		}
	}
	e.t.Error("the router has no such connection")
	return nil
}

// pauseDials keeps attempts in the queue of the cache's pool for a moment.
func (e *engineTest) pauseDials() { e.loop.pools["c1"].pauseDials(machineFault) }

// list applies an endpoint list that has the cache in the given state.
func (e *engineTest) list(status string) { e.apply(endpointJSON("c1", e.cache.addr(), status)) }

// removeCache applies an endpoint list without the cache and has its pool removed.
func (e *engineTest) removeCache() {
	e.apply()
	e.loop.sweepIdle()
}

func (e *engineTest) apply(endpoints ...string) {
	e.version++
	list, err := discovery.ParseEndpointList([]byte(endpointListJSON(e.version, true, endpoints...)))
	if err != nil {
		e.t.Error(err)
		return
	}
	e.loop.applyEndpoints(list, list.Kind())
}

// expire lets the deadlines of attempts pass.
func (e *engineTest) expire(attempts []*attempt) {
	for _, a := range attempts {
		a.deadline = e.loop.now
	}
}

// wantNothingInFlight waits until neither the loop nor the engine holds a request or an attempt.
func (e *engineTest) wantNothingInFlight() {
	e.t.Helper()
	var current inFlight
	idle := func() bool {
		e.do(func() { current = e.loop.inFlight() })
		return current == inFlight{}
	}
	waitUntil(e.t, "an idle router", idle)
}

// wantServed checks that the cache is in service and serves a request.
func (e *engineTest) wantServed() {
	e.t.Helper()
	e.do(func() { e.list("in_service") })
	client := dial(e.t, e.router.addr)
	client.send(getCommand("last"))
	client.wantLine("value")
	client.close()
}
