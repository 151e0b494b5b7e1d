package router

import (
	"net"
	"os"
	"syscall"
	"testing"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// slowAcceptServer returns the address of a server whose accept queue is full until accept is called. The first
// handshake of each connection fails before that, so they are established late.
func slowAcceptServer(t *testing.T) (addr string, accept func() *fakeCache) {
	t.Helper()
	addr, fd := listenWithFullAcceptQueue(t)
	return addr, func() *fakeCache {
		t.Helper()
		if err := syscall.Listen(fd, 1000); err != nil {
			t.Fatal(err)
		}
		dup, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(dup), "listener")
		defer func() { _ = f.Close() }() // the listener has a descriptor of its own
		ln, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		return serveFakeCache(t, ln)
	}
}

// wantIdleConns wants n connections, all of them idle, and as many descriptors in use.
func (r *loopHarness) wantIdleConns(n int) {
	r.t.Helper()
	r.do(func() {
		if p := r.loop.pools["c1"]; r.loop.upstreamConns != n || len(p.conns) != n || len(p.idle) != n || p.dialing != 0 {
			r.t.Errorf("%d descriptors, %d connections, %d idle, %d dials; want %d idle", r.loop.upstreamConns, len(p.conns), len(p.idle),
				p.dialing, n)
		}
	})
}

// TestSlowDialsServeBurst: once the connections are established, all requests of a burst are served, and each descriptor
// is counted once.
func TestSlowDialsServeBurst(t *testing.T) {
	addr, accept := slowAcceptServer(t)
	r := newLoopHarness(t, addr, nil)
	const burst = 50
	for range burst {
		r.sendAttempt(r.newRequest(nil), longTimeout)
	}
	r.do(func() {
		if p := r.loop.pools["c1"]; p.dialing != maxDials || len(p.queue) != burst {
			t.Errorf("%d dials, %d attempts queued", p.dialing, len(p.queue))
		}
	})
	cache := accept()
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	waitUntil(t, "the end of the dials", func() (none bool) {
		r.do(func() { none = r.loop.pools["c1"].dialing == 0 })
		return none
	})
	r.do(func() {
		r.loop.perform(policy.CloseIdleConnections{Cache: "c1"})
	})
	for range conns {
		receive(t, cache.closed, "end of an idle connection")
	}
	r.wantIdleConns(0)
}

// TestDialTimeoutFailsBurst: the attempts fail to connect, and nothing of them is written once the server accepts
// connections again.
func TestDialTimeoutFailsBurst(t *testing.T) {
	addr, accept := slowAcceptServer(t)
	r := newLoopHarness(t, addr, func(c *config.Config) { c.Transport.DialTimeout = 300_000 })
	const burst = 50
	for range burst {
		r.sendAttempt(r.newRequest(nil), longTimeout)
	}
	for range burst {
		r.wantOutcome(policy.ConnectFailed)
	}
	waitUntil(t, "the end of the dials", func() (none bool) {
		r.do(func() { none = r.loop.pools["c1"].dialing == 0 })
		return none
	})
	r.wantIdleConns(0)
	cache := accept()
	r.do(func() { r.loop.cfg.Transport.DialTimeout = testTimeout.Microseconds() })
	r.wantServedNext(func() *fakeCache { return cache })
}

// wantServedNext wants the next request to be the first that the server is sent, on a connection that is then idle.
func (r *loopHarness) wantServedNext(server func() *fakeCache) {
	r.t.Helper()
	q := r.newRequest(nil)
	r.do(func() { q.command.Args[resp.IDArgument] = []byte("last") })
	r.sendAttempt(q, longTimeout)
	cmd := receive(r.t, server().commands, "command")
	if cmd.args[2] != "last" {
		r.t.Errorf("the server was sent %q", cmd.args)
	}
	cmd.reply(r.t, servedReply)
	r.wantOutcome(policy.Served)
	r.wantIdleConns(1)
}

// TestSlowDialCarriesNoFinishedAttempt: the attempt that it was dialed for has ended, and the next request uses the
// connection.
func TestSlowDialCarriesNoFinishedAttempt(t *testing.T) {
	for name, end := range map[string]func(*loopHarness, *request){
		"timed out": func(_ *loopHarness, q *request) { q.attempts[0].abandon(policy.TimedOut) },
		"start window closed": func(r *loopHarness, q *request) {
			q.attempts[0].startBefore = r.loop.now
			r.loop.pools["c1"].dispatch()
		},
		"cancelled":   func(r *loopHarness, q *request) { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"rejected":    func(r *loopHarness, q *request) { r.loop.perform(policy.Reject{ID: q.id}) },
		"client gone": func(r *loopHarness, q *request) { r.loop.clientDisconnected(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, accept := slowAcceptServer(t)
			r := newLoopHarness(t, addr, nil)
			q := r.newRequest(nil)
			r.sendAttempt(q, longTimeout)
			r.do(func() { end(r, q) })
			r.wantOutcome(policy.NotSent)
			r.wantServedNext(accept)
		})
	}
}

// TestDialTimeoutFailsNoLaterAttempt: a later attempt has a dial and a dial deadline of its own.
func TestDialTimeoutFailsNoLaterAttempt(t *testing.T) {
	addr, accept := slowAcceptServer(t)
	r := newLoopHarness(t, addr, nil)
	q, later := r.newRequest(nil), r.newRequest(nil)
	r.sendAttempt(q, longTimeout)
	r.do(func() {
		p := r.loop.pools["c1"]
		var first *upstreamConn
		for first = range p.conns {
		}
		q.attempts[0].finish(policy.ConnectFailed, nil) // its dial deadline has passed
		r.loop.perform(policy.Send{ID: later.id, Cache: "c1"})
		p.dialDone(first, nil, os.ErrDeadlineExceeded)
		if later.attempts[0].state != attemptQueued {
			t.Error("the later attempt has ended")
		}
	})
	r.wantOutcome(policy.ConnectFailed)
	receive(t, accept().commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r := newLoopHarness(t, addr, nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	r.wantOutcome(policy.ConnectFailed)
}

func TestDialTimeoutIsConnectFailed(t *testing.T) {
	r := newLoopHarness(t, unreachableAddr(t), func(c *config.Config) { c.Transport.DialTimeout = 50_000 })
	r.sendAttempt(r.newRequest(nil), longTimeout)
	r.wantOutcome(policy.ConnectFailed)
}

// TestDrainDuringDial: a queued attempt is not sent once the router knows that the server is draining.
func TestDrainDuringDial(t *testing.T) {
	addr := unreachableAddr(t)
	r := newLoopHarness(t, addr, nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	r.do(func() {
		h, err := discovery.ParseEndpointList([]byte(endpointListJSON(2, false, endpointJSON("c1", addr, "terminating"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.Kind())
	})
	r.wantOutcome(policy.NotSent)
}

// TestBurstStaysWithinConnectionLimit: a burst is served one request after the other on few connections.
func TestBurstStaysWithinConnectionLimit(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *config.Config) { c.Settings.Routers = 12 })
	const burst = 100
	for range burst {
		r.sendAttempt(r.newRequest(nil), longTimeout)
	}
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	if most := maxConnsPerCache / 12; len(conns) > most {
		t.Errorf("%d connections for %d requests, want %d at most", len(conns), burst, most)
	}
}
