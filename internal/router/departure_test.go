package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// sender is a module that sends each request to cache c1 at once, and again where it failed there.
type sender struct{ script }

func (s *sender) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.script.Handle(now, ev)
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

// gate is a listener whose connections wait in the system's queue until the test lets them in.
type gate struct {
	net.Listener
	in chan struct{}
}

func (g *gate) Accept() (net.Conn, error) {
	<-g.in
	return g.Listener.Accept()
}

// departure is a router with a cache, of whose connections some stand idle.
type departure struct {
	t     *testing.T
	cache *fakeCache
	r     *running
	rig   *rig
	send  *sender
	gate  *gate
}

// newDeparture starts the router. Its module sends nothing by itself until it is told to.
func newDeparture(t *testing.T, idle int) *departure {
	t.Helper()
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service"),
		host("c2", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	d := &departure{t: t, cache: cache, send: &sender{script{outcomes: make(chan *policy.AttemptDone, 1000)}},
		gate: &gate{srv.listener, make(chan struct{}, 1000)}}
	srv.listener = d.gate
	srv.loop.engine = &d.send.script
	srv.loop.settleTime = 0
	srv.lateAcceptTime = 0
	d.r = startServer(t, srv)
	d.rig = &rig{t, srv.loop, d.send.outcomes}
	t.Cleanup(func() { close(d.gate.in) })
	var busy []fakeCommand
	for range idle {
		d.rig.send(d.rig.request(nil), long)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	for _, cmd := range busy {
		cmd.reply(t, served)
		d.rig.want(policy.Served)
	}
	return d
}

// perform sends an attempt of a request to a cache.
func (d *departure) perform(q *request, cache string) {
	d.rig.l.perform(policy.Send{ID: q.id, Cache: cache})
}

// second has a client's request come beside one that is in hand, and returns what begins it.
func (d *departure) second() (c *testClient, begin func()) {
	c = d.dial()
	c.send(get("r1"))
	await(d.t, "a second request", func() (two bool) {
		d.rig.do(func() { two = d.rig.l.openRequests == 2 })
		return two
	})
	return c, func() {
		for _, q := range d.rig.l.requests {
			if q.client.nc != nil {
				d.perform(q, "c1")
			}
		}
	}
}

func (d *departure) dial() *testClient {
	d.t.Helper()
	d.gate.in <- struct{}{}
	return dial(d.t, d.r.addr)
}

// gone waits until the news of so many closes has come to the router's machine.
func (d *departure) gone(n int) {
	await(d.t, "clients that have left", func() bool {
		d.r.srv.mu.Lock()
		defer d.r.srv.mu.Unlock()
		left := 0
		for c := range d.r.srv.clients {
			if c.hungUp() {
				left++
			}
		}
		return left >= n
	})
}

// events waits until so many turns of the loop are queued.
func (d *departure) events(n int) {
	await(d.t, "events in the queue", func() bool { return len(d.rig.l.events) >= n })
}

// wantNothingBegun has one more request served: had anything else been sent on before, the cache would have it.
func (d *departure) wantNothingBegun() {
	d.t.Helper()
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := resp.ParseCommand(args, 100)
	if err != nil {
		d.t.Fatal(err)
	}
	d.rig.do(func() { d.rig.l.engine = &d.send.script })
	d.rig.send(d.rig.take(cmd), long)
	for {
		got := receive(d.t, d.cache.commands, "command")
		if got.args[2] == "last" {
			return
		}
		d.t.Errorf("the cache was sent %q", got.args)
		io.WriteString(got.conn, served) // its client's departure may have ended the connection
	}
}

// TestNothingIsBegunForAClientThatHasLeft, on whatever way its attempt comes to its first byte. The news that it
// left queues behind that, and the request was taken a moment ago.
func TestNothingIsBegunForAClientThatHasLeft(t *testing.T) {
	paths := map[string]struct {
		idle int
		play func(d *departure, leave func(*testClient)) // begins with the loop free
	}{
		"first attempt": {1, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(get("r1"))
			q := d.rig.only()
			d.rig.do(func() {
				leave(c)
				d.gone(1)
				d.perform(q, "c1")
			})
		}},
		"behind commands that are not read": {1, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(strings.Repeat(get("r1"), 2*maxPipelined))
			await(d.t, "a full queue", func() bool {
				open := 0
				d.rig.do(func() { open = d.rig.l.openRequests })
				return open > maxPipelined
			})
			d.rig.do(func() {
				leave(c)
				d.gone(1)
				for _, q := range d.rig.l.requests {
					d.perform(q, "c1")
				}
			})
		}},
		"further attempt": {1, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(get("r1"))
			q := d.rig.only()
			d.rig.do(func() {
				d.rig.l.engine = d.send
				d.perform(q, "c1")
			})
			first := receive(d.t, d.cache.commands, "command")
			d.rig.do(func() {
				first.reply(d.t, failedReply)
				d.events(1)
				leave(c)
				d.gone(1)
			})
		}},
		"second copy": {2, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(get("r1"))
			q := d.rig.only()
			d.rig.do(func() { d.perform(q, "c1") })
			receive(d.t, d.cache.commands, "command")
			d.rig.do(func() {
				leave(c)
				d.gone(1)
				d.perform(q, "c1")
			})
		}},
		"waits for a dial": {0, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(get("r1"))
			q := d.rig.only()
			d.rig.do(func() {
				d.perform(q, "c1")
				d.events(1) // the connection is up
				leave(c)
				d.gone(1)
			})
		}},
		"waits for a connection": {1, func(d *departure, leave func(*testClient)) {
			d.rig.do(func() { d.rig.l.pools["c1"].maxConns = 1 })
			d.rig.send(d.rig.request(nil), long)
			busy := receive(d.t, d.cache.commands, "command")
			c, second := d.second()
			d.rig.do(func() {
				second()
				busy.reply(d.t, served)
				d.events(1)
				leave(c)
				d.gone(1)
			})
		}},
		"waits for a descriptor": {0, func(d *departure, leave func(*testClient)) {
			d.rig.do(func() { d.rig.l.descriptors.maxUpstreamConns = 1 })
			q := d.rig.request(nil)
			d.rig.do(func() { d.perform(q, "c2") })
			busy := receive(d.t, d.cache.commands, "command")
			c, second := d.second()
			d.rig.do(func() {
				second()
				d.rig.l.upstreamConns-- // one comes free, ...
				d.rig.l.pools["c1"].dispatch()
				d.rig.l.upstreamConns++
				d.events(1) // ... and the connection is up
				leave(c)
				d.gone(1)
			})
			busy.reply(d.t, served)
		}},
		"waits for a connection that rests": {1, func(d *departure, leave func(*testClient)) {
			c := d.dial()
			c.send(get("r1"))
			q := d.rig.only()
			d.rig.do(func() {
				d.rig.l.settleTime = patience.Microseconds()
				d.perform(q, "c1")
				leave(c)
				d.gone(1)
				d.rig.l.settleTime = 0
				d.rig.l.pools["c1"].dispatch()
			})
		}},
		"left before it was let in": {1, func(d *departure, leave func(*testClient)) {
			d.rig.do(func() { d.rig.l.engine = d.send })
			c := dial(d.t, d.r.addr)
			c.send(get("r1"))
			leave(c)
			d.rig.do(func() {
				d.gate.in <- struct{}{}
				d.events(1)
				d.gone(1)
			})
		}},
		"under load": {8, func(d *departure, leave func(*testClient)) {
			const clients = 200
			d.rig.do(func() {
				d.rig.l.engine = d.send
				for i := range clients {
					c := d.dial()
					c.send(get(fmt.Sprint("r", i)))
					d.events(i + 1)
					leave(c)
				}
				d.gone(clients)
			})
		}},
	}
	for name, path := range paths {
		for how, leave := range leaving {
			t.Run(name+", "+how, func(t *testing.T) {
				d := newDeparture(t, path.idle)
				path.play(d, leave)
				d.wantNothingBegun()
			})
		}
	}
}

// BenchmarkLookForAClient is what the last look before an attempt's first byte costs.
func BenchmarkLookForAClient(b *testing.B) {
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
	if _, err := io.WriteString(other, get("r1")); err != nil {
		b.Fatal(err)
	}
	c := &clientConn{nc: nc.(*net.TCPConn)}
	for b.Loop() {
		if c.hungUp() {
			b.Fatal("it has not left")
		}
	}
}
