package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"marlstage/policy"
)

// sendingEngine is a module that sends each request to cache c1 at once, and again where it failed there.
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

// gatedListener is a listener whose connections wait in the system's queue until the test lets them in.
type gatedListener struct {
	net.Listener
	admit chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.admit
	return g.Listener.Accept()
}

// disconnectTest is a router with a cache, of whose connections some stand idle.
type disconnectTest struct {
	t        *testing.T
	cache    *fakeCache
	router   *runningRouter
	harness  *loopHarness
	engine   *sendingEngine
	listener *gatedListener
}

// newDisconnectTest starts the router. Its module sends nothing by itself until it is told to.
func newDisconnectTest(t *testing.T, idle int) *disconnectTest {
	t.Helper()
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service"),
		endpointJSON("c2", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	d := &disconnectTest{t: t, cache: cache, engine: &sendingEngine{scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}},
		listener: &gatedListener{srv.listener, make(chan struct{}, 1000)}}
	srv.listener = d.listener
	srv.loop.engine = &d.engine.scriptedEngine
	srv.loop.settleTime = 0
	srv.lateAcceptTime = 0
	d.router = startServer(t, srv)
	d.harness = &loopHarness{t, srv.loop, d.engine.outcomes}
	t.Cleanup(func() { close(d.listener.admit) })
	var busy []fakeCommand
	for range idle {
		d.harness.sendAttempt(d.harness.newRequest(nil), long)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
		d.harness.wantOutcome(policy.Served)
	}
	return d
}

// perform sends an attempt of a request to a cache.
func (d *disconnectTest) perform(req *request, cache string) {
	d.harness.loop.perform(policy.Send{ID: req.id, Cache: cache})
}

// queueBehindInFlight has a client's request come beside one that is in hand, and returns what begins it.
func (d *disconnectTest) queueBehindInFlight() (c *testClient, begin func()) {
	c = d.dial()
	c.send(getCommand("r1"))
	waitUntil(d.t, "a second request", func() (two bool) {
		d.harness.do(func() { two = d.harness.loop.openRequests == 2 })
		return two
	})
	return c, func() {
		for _, req := range d.harness.loop.requests {
			if req.client.nc != nil {
				d.perform(req, "c1")
			}
		}
	}
}

func (d *disconnectTest) dial() *testClient {
	d.t.Helper()
	d.listener.admit <- struct{}{}
	return dial(d.t, d.router.addr)
}

// waitForDisconnects waits until the news of so many closes has come to the router's machine.
func (d *disconnectTest) waitForDisconnects(n int) {
	waitUntil(d.t, "clients that have left", func() bool {
		d.router.srv.mu.Lock()
		defer d.router.srv.mu.Unlock()
		left := 0
		for c := range d.router.srv.clients {
			if c.hungUp() {
				left++
			}
		}
		return left >= n
	})
}

// waitForQueuedEvents waits until so many turns of the loop are queued.
func (d *disconnectTest) waitForQueuedEvents(n int) {
	waitUntil(d.t, "events in the queue", func() bool { return len(d.harness.loop.events) >= n })
}

// wantNothingSent has one more request served: had anything else been sent on before, the cache would have it.
func (d *disconnectTest) wantNothingSent() {
	d.t.Helper()
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := parseCommand(args, 100)
	if err != nil {
		d.t.Fatal(err)
	}
	d.harness.do(func() { d.harness.loop.engine = &d.engine.scriptedEngine })
	d.harness.sendAttempt(d.harness.acceptCommand(cmd), long)
	for {
		got := receive(d.t, d.cache.commands, "command")
		if got.args[2] == "last" {
			return
		}
		d.t.Errorf("the cache was sent %q", got.args)
		io.WriteString(got.conn, servedReply) // its client's departure may have ended the connection
	}
}

// TestNoAttemptStartsAfterDisconnect, on whatever way its attempt comes to its first byte. The news that it
// left queues behind that, and the request was taken a moment ago.
func TestNoAttemptStartsAfterDisconnect(t *testing.T) {
	paths := map[string]struct {
		idle int
		play func(d *disconnectTest, leave func(*testClient)) // begins with the loop free
	}{
		"first attempt": {1, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(getCommand("r1"))
			req := d.harness.onlyRequest()
			d.harness.do(func() {
				leave(client)
				d.waitForDisconnects(1)
				d.perform(req, "c1")
			})
		}},
		"behind commands that are not read": {1, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(strings.Repeat(getCommand("r1"), 2*maxPipelined))
			waitUntil(d.t, "a full queue", func() bool {
				open := 0
				d.harness.do(func() { open = d.harness.loop.openRequests })
				return open > maxPipelined
			})
			d.harness.do(func() {
				leave(client)
				d.waitForDisconnects(1)
				for _, req := range d.harness.loop.requests {
					d.perform(req, "c1")
				}
			})
		}},
		"further attempt": {1, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(getCommand("r1"))
			req := d.harness.onlyRequest()
			d.harness.do(func() {
				d.harness.loop.engine = d.engine
				d.perform(req, "c1")
			})
			first := receive(d.t, d.cache.commands, "command")
			d.harness.do(func() {
				first.reply(d.t, failedReply)
				d.waitForQueuedEvents(1)
				leave(client)
				d.waitForDisconnects(1)
			})
		}},
		"second copy": {2, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(getCommand("r1"))
			req := d.harness.onlyRequest()
			d.harness.do(func() { d.perform(req, "c1") })
			receive(d.t, d.cache.commands, "command")
			d.harness.do(func() {
				leave(client)
				d.waitForDisconnects(1)
				d.perform(req, "c1")
			})
		}},
		"waits for a dial": {0, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(getCommand("r1"))
			req := d.harness.onlyRequest()
			d.harness.do(func() {
				d.perform(req, "c1")
				d.waitForQueuedEvents(1) // the connection is up
				leave(client)
				d.waitForDisconnects(1)
			})
		}},
		"waits for a connection": {1, func(d *disconnectTest, leave func(*testClient)) {
			d.harness.do(func() { d.harness.loop.pools["c1"].maxConns = 1 })
			d.harness.sendAttempt(d.harness.newRequest(nil), long)
			busy := receive(d.t, d.cache.commands, "command")
			client, second := d.queueBehindInFlight()
			d.harness.do(func() {
				second()
				busy.reply(d.t, servedReply)
				d.waitForQueuedEvents(1)
				leave(client)
				d.waitForDisconnects(1)
			})
		}},
		"waits for a descriptor": {0, func(d *disconnectTest, leave func(*testClient)) {
			d.harness.do(func() { d.harness.loop.descriptors.maxUpstreamConns = 1 })
			req := d.harness.newRequest(nil)
			d.harness.do(func() { d.perform(req, "c2") })
			busy := receive(d.t, d.cache.commands, "command")
			client, second := d.queueBehindInFlight()
			d.harness.do(func() {
				second()
				d.harness.loop.upstreamConns-- // one comes free, ...
				d.harness.loop.pools["c1"].dispatch()
				d.harness.loop.upstreamConns++
				d.waitForQueuedEvents(1) // ... and the connection is up
				leave(client)
				d.waitForDisconnects(1)
			})
			busy.reply(d.t, servedReply)
		}},
		"waits for a connection that rests": {1, func(d *disconnectTest, leave func(*testClient)) {
			client := d.dial()
			client.send(getCommand("r1"))
			req := d.harness.onlyRequest()
			d.harness.do(func() {
				d.harness.loop.settleTime = testTimeout.Microseconds()
				d.perform(req, "c1")
				leave(client)
				d.waitForDisconnects(1)
				d.harness.loop.settleTime = 0
				d.harness.loop.pools["c1"].dispatch()
			})
		}},
		"left before it was let in": {1, func(d *disconnectTest, leave func(*testClient)) {
			d.harness.do(func() { d.harness.loop.engine = d.engine })
			client := dial(d.t, d.router.addr)
			client.send(getCommand("r1"))
			leave(client)
			d.harness.do(func() {
				d.listener.admit <- struct{}{}
				d.waitForQueuedEvents(1)
				d.waitForDisconnects(1)
			})
		}},
		"under load": {8, func(d *disconnectTest, leave func(*testClient)) {
			const clients = 200
			d.harness.do(func() {
				d.harness.loop.engine = d.engine
				for i := range clients {
					client := d.dial()
					client.send(getCommand(fmt.Sprint("r", i)))
					d.waitForQueuedEvents(i + 1)
					leave(client)
				}
				d.waitForDisconnects(clients)
			})
		}},
	}
	for name, path := range paths {
		for how, leave := range disconnects {
			t.Run(name+", "+how, func(t *testing.T) {
				d := newDisconnectTest(t, path.idle)
				path.play(d, leave)
				d.wantNothingSent()
			})
		}
	}
}

// BenchmarkDisconnectCheck is what the last look before an attempt's first byte costs.
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
	c := &clientConn{nc: nc.(*net.TCPConn)}
	for b.Loop() {
		if c.hungUp() {
			b.Fatal("it has not left")
		}
	}
}

var disconnects = map[string]func(*testClient){
	"close":      func(c *testClient) { c.nc.Close() },
	"half-close": func(c *testClient) { c.nc.CloseWrite() },
	"reset": func(c *testClient) {
		c.nc.SetLinger(0)
		c.nc.Close()
	},
}

// TestClientDisconnectsAfterLastCommand is noticed, though no more commands are taken from it: nothing is
// sent on for it.
func TestClientDisconnectsAfterLastCommand(t *testing.T) {
	for end, wire := range map[string]string{"retired": "", "QUIT": encodeCommand("QUIT"), "protocol error": "*x\r\n"} {
		for how, leave := range disconnects {
			t.Run(end+", "+how, func(t *testing.T) {
				router, harness := startScriptedRouter(t)
				client := dial(t, router.addr)
				client.send(getCommand("r1") + wire)
				req := harness.onlyRequest()
				if end == "retired" {
					router.srv.closeIdleClients()
				} else {
					waitUntil(t, "answers due", func() bool { return req.client.pendingReplies.Load() == 2 })
				}
				leave(client)
				harness.waitForOpenRequests(0)
			})
		}
	}
}

// TestClientDisconnectsBehindFullReplyQueue: its commands fill the queue of answers, so that nobody reads on to where
// it left.
func TestClientDisconnectsBehindFullReplyQueue(t *testing.T) {
	for how, leave := range disconnects {
		t.Run(how, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			client.send(strings.Repeat(getCommand("r"), 2*maxPipelined))
			waitUntil(t, "a full queue", func() bool {
				open := 0
				harness.do(func() { open = harness.loop.openRequests })
				return open > maxPipelined
			})
			leave(client)
			harness.waitForOpenRequests(0)
		})
	}
}

// TestDisconnectIsDetectedBeforeSend: the news that it left queues behind what has its request sent on.
func TestDisconnectIsDetectedBeforeSend(t *testing.T) {
	for how, leave := range disconnects {
		t.Run(how, func(t *testing.T) {
			cache := newFakeCache(t)
			router, harness := startScriptedRouter(t, endpointJSON("c1", cache.addr(), "in_service"))
			client := dial(t, router.addr)
			client.send(getCommand("r0"))
			req := harness.onlyRequest()
			harness.do(func() { // a connection that stands idle takes the next at once
				harness.loop.settleTime = 0
				harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
			})
			receive(t, cache.commands, "command").reply(t, servedReply)
			harness.wantOutcome(policy.Served)
			client.send(getCommand("r1"))
			req = harness.onlyRequest()
			harness.do(func() {
				leave(client)
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
