package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

// disconnects are the ways in which a client disconnects.
var disconnects = map[string]func(*testClient){
	"close":      (*testClient).close,
	"half-close": (*testClient).closeWrite,
	"reset":      (*testClient).reset,
}

// TestClientDisconnectsAfterLastCommand checks that the router detects a disconnect when it takes no more
// commands from the client. Otherwise it would still forward requests for that client.
func TestClientDisconnectsAfterLastCommand(t *testing.T) {
	for name, wire := range map[string]string{
		"draining":                         "",
		"QUIT":                             encodeCommand("QUIT"),
		"protocol error":                   "*x\r\n",
		"garbage beyond the discard limit": rubbishBeyondDiscardLimit(),
	} {
		for method, disconnect := range disconnects {
			t.Run(name+", "+method, func(t *testing.T) {
				router, harness := startScriptedRouter(t)
				client := dial(t, router.addr)
				client.send(getCommand("r1") + wire)
				req := harness.onlyRequest()
				if name == "draining" {
					router.srv.closeIdleClients()
				} else {
					waitUntil(t, "pending replies", func() bool { return req.client.pendingReplies.Load() == 2 })
				}
				disconnect(client)
				harness.waitForOpenRequests(0)
			})
		}
	}
}

// TestClientDisconnectsBehindFullReplyQueue checks that the router detects a disconnect while the reply queue
// is full, although it then does not read up to the end of the connection.
func TestClientDisconnectsBehindFullReplyQueue(t *testing.T) {
	for method, disconnect := range disconnects {
		t.Run(method, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			client.send(strings.Repeat(getCommand("r"), 2*maxPipelined))
			harness.waitForFullReplyQueue()
			disconnect(client)
			harness.waitForOpenRequests(0)
		})
	}
}

// TestDisconnectIsDetectedBeforeSend checks that a request is not forwarded if its client has disconnected
// but the event loop is notified of this only after the engine has decided to forward the request.
func TestDisconnectIsDetectedBeforeSend(t *testing.T) {
	for method, disconnect := range disconnects {
		t.Run(method, func(t *testing.T) {
			cache := newFakeCache(t)
			router, harness := startScriptedRouter(t, endpointJSON("c1", cache.addr(), "in_service"))
			client := dial(t, router.addr)
			client.send(getCommand("r0"))
			req := harness.onlyRequest()
			harness.do(func() { // without a settle time an idle connection is used for the next attempt at once
				harness.loop.settleTime = 0
				harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
			})
			receive(t, cache.commands, "command").reply(t, servedReply)
			harness.wantOutcome(policy.Served)
			client.send(getCommand("r1"))
			req = harness.onlyRequest()
			harness.do(func() {
				disconnect(client)
				waitUntil(t, "the end of the connection", req.client.hungUp)
				harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
			})
			harness.wantOutcome(policy.NotSent)
			other := dial(t, router.addr)
			other.send(getCommand("r2"))
			next := harness.onlyRequest()
			harness.do(func() { harness.loop.perform(policy.Send{ID: next.id, Cache: "c1"}) })
			if cmd := receive(t, cache.commands, "command"); cmd.args[2] != "r2" {
				t.Errorf("the cache was sent %q", cmd.args)
			}
		})
	}
}

// sendingEngine sends each request to cache c1 at once, and once more if the cache replies with an error.
type sendingEngine struct{ scriptedEngine }

func (s *sendingEngine) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.scriptedEngine.Handle(now, ev)
	switch ev := ev.(type) {
	case *policy.Request:
		return []policy.Action{policy.Send{ID: ev.ID, Cache: "c1"}}
	case *policy.AttemptDone:
		if ev.Result == policy.ServerError && !ev.Final {
			return []policy.Action{policy.Send{ID: ev.ID, Cache: "c1"}}
		}
	}
	return nil
}

// gatedListener leaves connections in the kernel's queue until the test admits them.
type gatedListener struct {
	net.Listener
	admit chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.admit
	return g.Listener.Accept()
}

// disconnectTest is a router with one cache, which it knows as c1 and c2, and some idle connections to it.
type disconnectTest struct {
	t        *testing.T
	cache    *fakeCache
	router   *runningRouter
	harness  *loopHarness
	engine   *sendingEngine
	listener *gatedListener
	system   *faultySystem
}

// newDisconnectTest starts the router. Its engine sends nothing until the test sets loop.engine to
// the sendingEngine.
func newDisconnectTest(t *testing.T, idleConns int) *disconnectTest {
	t.Helper()
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil,
		endpointJSON("c1", cache.addr(), "in_service"),
		endpointJSON("c2", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	d := &disconnectTest{
		t:        t,
		cache:    cache,
		engine:   &sendingEngine{scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}},
		listener: &gatedListener{srv.listener, make(chan struct{}, 1000)},
		system:   useFaultySystem(srv),
	}
	srv.listener = d.listener
	srv.loop.engine = &d.engine.scriptedEngine
	srv.loop.settleTime = 0
	srv.lateAcceptTime = 0
	d.router = startServer(t, srv)
	d.harness = &loopHarness{t, srv.loop, d.engine.outcomes}
	t.Cleanup(func() { close(d.listener.admit) })
	var busy []fakeCommand
	for range idleConns {
		d.harness.sendAttempt(d.harness.newRequest(nil), longTimeout)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
		d.harness.wantOutcome(policy.Served)
	}
	return d
}

// do runs f in the event loop.
func (d *disconnectTest) do(f func()) {
	d.t.Helper()
	d.harness.do(f)
}

// perform has the loop send an attempt of a request to a cache.
func (d *disconnectTest) perform(req *request, cache string) {
	d.harness.loop.perform(policy.Send{ID: req.id, Cache: cache})
}

// disconnect ends a client's connection and waits until the router's socket shows that.
func (d *disconnectTest) disconnect(client *testClient, method func(*testClient)) {
	method(client)
	d.waitForDisconnects(1)
}

func (d *disconnectTest) dial() *testClient {
	d.t.Helper()
	d.listener.admit <- struct{}{}
	return dial(d.t, d.router.addr)
}

// sendRequest sends the only request and returns it with its client.
func (d *disconnectTest) sendRequest() (*testClient, *request) {
	d.t.Helper()
	client := d.dial()
	client.send(getCommand("r1"))
	return client, d.harness.onlyRequest()
}

// sendSecondRequest sends a request while another one is in flight. It returns the client and a function that
// has the loop send the first attempt of the second request.
func (d *disconnectTest) sendSecondRequest() (client *testClient, perform func()) {
	client = d.dial()
	client.send(getCommand("r1"))
	waitUntil(d.t, "a second request", func() (arrived bool) {
		d.do(func() { arrived = d.harness.loop.openRequests == 2 })
		return arrived
	})
	return client, func() {
		for _, req := range d.harness.loop.requests {
			if req.client.nc != nil {
				d.perform(req, "c1")
			}
		}
	}
}

// waitForDisconnects waits until the router's sockets show that n clients have disconnected.
func (d *disconnectTest) waitForDisconnects(n int) {
	waitUntil(d.t, "disconnected clients", func() bool {
		d.router.srv.mu.Lock()
		defer d.router.srv.mu.Unlock()
		disconnected := 0
		for c := range d.router.srv.clients {
			if c.hungUp() {
				disconnected++
			}
		}
		return disconnected >= n
	})
}

// waitForQueuedEvents waits until at least n functions and new requests are queued in the loop.
func (d *disconnectTest) waitForQueuedEvents(n int) {
	waitUntil(d.t, "events in the queue", func() bool { return len(d.harness.loop.events)+len(d.harness.loop.newRequests) >= n })
}

// wantNothingSent has one more request served and checks that the cache receives no other command before it.
// A command that had been forwarded earlier would arrive first.
func (d *disconnectTest) wantNothingSent() {
	d.t.Helper()
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := resp.ParseCommand(args, 100)
	if err != nil {
		d.t.Fatal(err)
	}
	d.do(func() { d.harness.loop.engine = &d.engine.scriptedEngine })
	d.harness.sendAttempt(d.harness.acceptCommand(cmd), longTimeout)
	for {
		got := receive(d.t, d.cache.commands, "command")
		if got.args[2] == "last" {
			return
		}
		d.t.Errorf("the cache was sent %q", got.args)
		got.tryReply(servedReply)
	}
}

// TestNoAttemptStartsAfterDisconnect checks that no attempt writes its first byte after the client has
// disconnected, although the loop has not been notified of this yet. It covers each way in which an attempt
// gets to that point.
func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	for name, c := range map[string]struct {
		idleConns int
		run       func(d *disconnectTest, method func(*testClient)) // called outside the event loop
	}{
		"first attempt":                       {1, (*disconnectTest).beforeFirstAttempt},
		"first attempt, and a poll fails":     {1, (*disconnectTest).beforeFirstAttemptWithFailingPoll},
		"behind unread commands":              {1, (*disconnectTest).behindUnreadCommands},
		"retry":                               {1, (*disconnectTest).beforeRetry},
		"hedged request":                      {2, (*disconnectTest).beforeHedge},
		"waits for a dial":                    {0, (*disconnectTest).waitingForDial},
		"waits for a connection":              {1, (*disconnectTest).waitingForConnection},
		"waits for a descriptor":              {0, (*disconnectTest).waitingForDescriptor},
		"waits for a connection that settles": {1, (*disconnectTest).waitingForSettling},
		"disconnected before accept":          {1, (*disconnectTest).beforeAccept},
		"under load":                          {8, (*disconnectTest).underLoad},
	} {
		for method, disconnect := range disconnects {
			t.Run(name+", "+method, func(t *testing.T) {
				d := newDisconnectTest(t, c.idleConns)
				c.run(d, disconnect)
				d.wantNothingSent()
			})
		}
	}
}

func (d *disconnectTest) beforeFirstAttempt(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() {
		d.disconnect(client, method)
		d.perform(req, "c1")
	})
}

func (d *disconnectTest) beforeFirstAttemptWithFailingPoll(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() {
		d.disconnect(client, method)
		d.system.injectError(callPoll, unix.ENOMEM, 3)
		d.perform(req, "c1")
	})
}

func (d *disconnectTest) behindUnreadCommands(method func(*testClient)) {
	client := d.dial()
	client.send(strings.Repeat(getCommand("r1"), 2*maxPipelined))
	d.harness.waitForFullReplyQueue()
	d.do(func() {
		d.disconnect(client, method)
		for _, req := range d.harness.loop.requests {
			d.perform(req, "c1")
		}
	})
}

func (d *disconnectTest) beforeRetry(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() {
		d.harness.loop.engine = d.engine
		d.perform(req, "c1")
	})
	first := receive(d.t, d.cache.commands, "command")
	d.do(func() {
		first.reply(d.t, resp.FailedReply)
		d.waitForQueuedEvents(1)
		d.disconnect(client, method)
	})
}

func (d *disconnectTest) beforeHedge(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() { d.perform(req, "c1") })
	receive(d.t, d.cache.commands, "command")
	d.do(func() {
		d.disconnect(client, method)
		d.perform(req, "c1")
	})
}

func (d *disconnectTest) waitingForDial(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() {
		d.perform(req, "c1")
		d.waitForQueuedEvents(1) // the connection is established
		d.disconnect(client, method)
	})
}

func (d *disconnectTest) waitingForConnection(method func(*testClient)) {
	d.do(func() { d.harness.loop.pools["c1"].maxConns = 1 })
	d.harness.sendAttempt(d.harness.newRequest(nil), longTimeout)
	busy := receive(d.t, d.cache.commands, "command")
	client, performSecond := d.sendSecondRequest()
	d.do(func() {
		performSecond()
		busy.reply(d.t, servedReply)
		d.waitForQueuedEvents(1)
		d.disconnect(client, method)
	})
}

func (d *disconnectTest) waitingForDescriptor(method func(*testClient)) {
	d.do(func() { d.harness.loop.descriptors.maxUpstreamConns = 1 })
	req := d.harness.newRequest(nil)
	d.do(func() { d.perform(req, "c2") })
	busy := receive(d.t, d.cache.commands, "command")
	client, performSecond := d.sendSecondRequest()
	d.do(func() {
		performSecond()
		d.harness.loop.upstreamConns-- // as if a descriptor had been released
		d.harness.loop.pools["c1"].dispatch()
		d.harness.loop.upstreamConns++
		d.waitForQueuedEvents(1) // the connection is established
		d.disconnect(client, method)
	})
	busy.reply(d.t, servedReply)
}

func (d *disconnectTest) waitingForSettling(method func(*testClient)) {
	client, req := d.sendRequest()
	d.do(func() {
		d.harness.loop.settleTime = testTimeout.Microseconds()
		d.perform(req, "c1")
		d.disconnect(client, method)
		d.harness.loop.settleTime = 0
		d.harness.loop.pools["c1"].dispatch()
	})
}

func (d *disconnectTest) beforeAccept(method func(*testClient)) {
	d.do(func() { d.harness.loop.engine = d.engine })
	client := dial(d.t, d.router.addr)
	client.send(getCommand("r1"))
	method(client)
	d.do(func() {
		d.admitNext()
		if d.clientCount() == 0 {
			return // it had been reset, and was closed without reading
		}
		d.waitForQueuedEvents(1)
		d.waitForDisconnects(1)
	})
}

func (d *disconnectTest) underLoad(method func(*testClient)) {
	const clients = 200
	d.do(func() {
		d.harness.loop.engine = d.engine
		for i := range clients {
			client := d.dial()
			waitUntil(d.t, "an accepted connection", func() bool { return d.clientCount() == i+1 })
			client.send(getCommand(fmt.Sprint("r", i)))
			d.waitForQueuedEvents(i + 1)
			method(client)
		}
		d.waitForDisconnects(clients)
	})
}

// TestFailedPollLosesNoRequest checks that a request is served although polling its client's socket fails at
// first.
func TestFailedPollLosesNoRequest(t *testing.T) {
	for _, failure := range []error{unix.ENOMEM, unix.EINTR} {
		t.Run(failure.Error(), func(t *testing.T) {
			d := newDisconnectTest(t, 1)
			client, req := d.sendRequest()
			d.system.injectError(callPoll, failure, 1000)
			d.do(func() { d.perform(req, "c1") })
			waitUntil(t, "failed polls", func() bool { return d.system.pending(callPoll) < 1000 })
			d.system.clear(callPoll)
			receive(t, d.cache.commands, "command").reply(t, servedReply)
			client.wantLine("value")
		})
	}
}

// BenchmarkDisconnectCheck measures the check for a disconnect before an attempt's first byte.
func BenchmarkDisconnectCheck(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	other, err := ln.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer other.Close()
	if _, err := io.WriteString(other, getCommand("r1")); err != nil {
		b.Fatal(err)
	}
	conn, err := socket.NewConn(nc, socket.Linux{})
	if err != nil {
		b.Fatal(err)
	}
	c := &clientConn{nc: conn}
	for b.Loop() {
		if c.hungUp() {
			b.Fatal("the client is still connected")
		}
	}
}
