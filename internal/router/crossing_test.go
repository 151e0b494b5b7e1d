package router

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// await yields until the condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !holds(); runtime.Gosched() {
		if time.Now().After(until) {
			t.Fatalf("%s: not so in time", what)
		}
	}
}

// silentServer is a router whose module answers nothing.
func silentServer(t *testing.T, lines ...string) (*running, *rig) {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, lines...))
	if err != nil {
		t.Fatal(err)
	}
	s := &script{outcomes: make(chan *policy.AttemptDone, 1000)}
	srv.loop.engine = s
	return startServer(t, srv), &rig{t, srv.loop, s.outcomes}
}

// awaitOpen waits until so many requests are open.
func (r *rig) awaitOpen(n int) {
	r.t.Helper()
	await(r.t, "requests that are open", func() bool {
		open := 0
		r.do(func() { open = r.l.openRequests })
		return open == n
	})
}

// only is the one request that is open.
func (r *rig) only() (q *request) {
	r.t.Helper()
	r.awaitOpen(1)
	r.do(func() {
		for _, q = range r.l.requests {
		}
	})
	return q
}

var leaving = map[string]func(*testClient){
	"close":      func(c *testClient) { c.nc.Close() },
	"half-close": func(c *testClient) { c.nc.CloseWrite() },
	"reset": func(c *testClient) {
		c.nc.SetLinger(0)
		c.nc.Close()
	},
}

// TestClientThatLeavesAfterItsLastCommand is noticed, though no more commands are taken from it: nothing is
// sent on for it.
func TestClientThatLeavesAfterItsLastCommand(t *testing.T) {
	for end, wire := range map[string]string{"retired": "", "QUIT": words("QUIT"), "protocol error": "*x\r\n"} {
		for how, leave := range leaving {
			t.Run(end+", "+how, func(t *testing.T) {
				r, rig := silentServer(t)
				c := dial(t, r.addr)
				c.send(get("r1") + wire)
				q := rig.only()
				if end == "retired" {
					r.srv.drainClients()
				} else {
					await(t, "answers due", func() bool { return q.client.pendingReplies.Load() == 2 })
				}
				leave(c)
				rig.awaitOpen(0)
			})
		}
	}
}

// TestClientThatLeavesBehindAFullQueue: its commands fill the queue of answers, so that nobody reads on to where
// it left.
func TestClientThatLeavesBehindAFullQueue(t *testing.T) {
	for how, leave := range leaving {
		t.Run(how, func(t *testing.T) {
			r, rig := silentServer(t)
			c := dial(t, r.addr)
			c.send(strings.Repeat(get("r"), 2*maxPipelined))
			await(t, "a full queue", func() bool {
				open := 0
				rig.do(func() { open = rig.l.openRequests })
				return open > maxPipelined
			})
			leave(c)
			rig.awaitOpen(0)
		})
	}
}

// TestClientThatLeftIsLookedForBeforeASend: the news that it left queues behind what has its request sent on.
func TestClientThatLeftIsLookedForBeforeASend(t *testing.T) {
	for how, leave := range leaving {
		t.Run(how, func(t *testing.T) {
			cache := newFakeCache(t)
			r, rig := silentServer(t, host("c1", cache.addr(), "in_service"))
			c := dial(t, r.addr)
			c.send(get("r0"))
			q := rig.only()
			rig.do(func() { // a connection that stands idle takes the next at once
				rig.l.settleTime = 0
				rig.l.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			receive(t, cache.commands, "command").reply(t, served)
			rig.want(policy.Served)
			c.send(get("r1"))
			q = rig.only()
			rig.do(func() {
				leave(c)
				await(t, "the end of the connection", q.client.hungUp)
				rig.l.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			rig.want(policy.NotSent)
			other := dial(t, r.addr)
			other.send(get("r2"))
			next := rig.only()
			rig.do(func() { rig.l.perform(policy.Send{ID: next.id, Cache: "c1"}) })
			if cmd := receive(t, cache.commands, "command"); cmd.args[2] != "r2" {
				t.Errorf("the cache was sent %q", cmd.args)
			}
		})
	}
}

// wantOpen waits for longer than a connection is given that has to make room.
func (c *testClient) wantOpen() {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(3 * evictGrace))
	if b, err := c.r.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("got %q, %v from a connection that is to stay open", b, err)
	}
	c.nc.SetReadDeadline(time.Now().Add(patience))
}

// TestDrainTakesWhatComesBehindWorkInHand: the connection stays open, so the command counts as taken.
func TestDrainTakesWhatComesBehindWorkInHand(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(get("r1"))
	first := receive(t, cache.commands, "command")
	r.srv.drainClients()
	c.wantOpen()
	c.send(get("r2"))
	second := receive(t, cache.commands, "command")
	first.reply(t, served)
	second.reply(t, served)
	c.want("value")
	c.want("value")
	c.wantClosed()
}

// TestDrainWaitsForACommandThatHasBegun for as long as any may take.
func TestDrainWaitsForACommandThatHasBegun(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.commandTimeout = patience
	r := startServer(t, srv)
	c := dial(t, r.addr)
	wire := words("PING") + get("r1")
	c.send(wire[:len(wire)-5])
	c.want("+PONG")
	r.srv.drainClients()
	c.wantOpen()
	c.send(wire[len(wire)-5:])
	receive(t, cache.commands, "command").reply(t, served)
	c.want("value")
	c.wantClosed()
}

// TestDrainTakesConnectionsThatQueue for want of a descriptor: the kernel has accepted them, and their requests.
func TestDrainTakesConnectionsThatQueue(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, host("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 0
	srv.acceptBackoff = time.Millisecond
	r := startServer(t, srv)
	var clients []*testClient
	var busy []fakeCommand
	for i := range 2 * int(srv.descriptors.maxClientConns) {
		c := dial(t, r.addr)
		c.send(get("r"))
		clients = append(clients, c)
		if i < int(srv.descriptors.maxClientConns) && i < srv.descriptors.maxUpstreamConns {
			busy = append(busy, receive(t, cache.commands, "command"))
		}
	}
	r.stop()
	await(t, "the drain", srv.isClosing)
	over := make(chan struct{})
	defer close(over)
	for _, cmd := range busy {
		cmd.reply(t, served)
	}
	go func() {
		for {
			select {
			case cmd := <-cache.commands:
				io.WriteString(cmd.conn, served)
			case <-over:
				return
			}
		}
	}()
	for _, c := range clients {
		c.want("value")
	}
	if err := receive(t, r.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestConnectionThatHasJustComeMakesNoRoom: its first command is under way, and closing it loses that.
func TestConnectionThatHasJustComeMakesNoRoom(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.firstCommandGrace = 2 * patience
	r := startServer(t, srv)
	c := dial(t, r.addr)
	await(t, "a client", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.clients) == 1
	})
	if srv.longestIdle() != nil {
		t.Error("it is closed before its first command")
	}
	c.send(words("PING"))
	c.want("+PONG")
	await(t, "an idle connection", func() bool { return srv.longestIdle() != nil })
}

// TestRequestsOfTheDrainAreAnsweredBeforeItsEnd, however long their clients would wait.
func TestRequestsOfTheDrainAreAnsweredBeforeItsEnd(t *testing.T) {
	r := newRig(t, "127.0.0.1:1", nil)
	r.do(func() {
		r.l.beginDrain(r.l.now)
		if most := r.l.now + (maxDrainTimeout + drainSlack).Microseconds(); r.l.drainDeadline >= most {
			t.Errorf("the last answers come %d us after SIGTERM, and SIGKILL after %d", r.l.drainDeadline-r.l.now, most-r.l.now)
		}
	})
	if q := r.request(nil); q.deadline != r.l.drainDeadline {
		t.Errorf("deadline %d, want %d", q.deadline, r.l.drainDeadline)
	}
}

// TestBytesThatCrossTheClose do not turn it into a reset, which may cost the last answer.
func TestBytesThatCrossTheClose(t *testing.T) {
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", "127.0.0.1:1", "in_service")))
	c := dial(t, r.addr)
	c.send(words("PING") + words("QUIT"))
	c.want("+PONG")
	raw, err := c.nc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the router's end of the connection", func() bool {
		p := []unix.PollFd{{Events: unix.POLLRDHUP}}
		raw.Control(func(fd uintptr) {
			p[0].Fd = int32(fd)
			unix.Poll(p, 0)
		})
		return p[0].Revents != 0
	})
	for range 2 {
		c.send(get("r1"))
	}
	c.want("+OK")
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v", err)
	}
}

// TestStaleConnectionIsNotUsed: the cache closes it at any moment, and what is written to it may have run.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Transport.Keepalive = 200_000_000 })
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(policy.Served)
	q := r.request(nil)
	r.do(func() {
		r.l.pools["c1"].idle[0].idleSince -= 3 * r.l.cfg.Transport.Keepalive / 4
		r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
	})
	if second := receive(t, cache.commands, "command"); second.conn == first.conn {
		t.Error("a connection was used that its cache is about to close")
	}
}

// TestSweepsKeepToTheIdleTime that the settings state, however short.
func TestSweepsKeepToTheIdleTime(t *testing.T) {
	for keepalive, most := range map[policy.Time]policy.Time{200_000: 50_000, 2_000_000: 500_000, 60_000_000: sweepInterval} {
		r := newRig(t, "127.0.0.1:1", func(c *Config) { c.Transport.Keepalive = keepalive })
		r.do(func() {
			r.l.timers = nil
			r.l.sweepIdle()
			if wait := r.l.timers[0].at - r.l.now; wait > most {
				t.Errorf("idle time %d: the next look comes after %d", keepalive, wait)
			}
		})
	}
}

const another = "*3\r\n$7\r\nanother\r\n$3\r\nhit\r\n$-1\r\n"

// TestSecondAnswerThatComesLate is not served for the next request on its connection.
func TestSecondAnswerThatComesLate(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.settleTime = patience.Microseconds() })
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(policy.Served)
	q := r.request(nil)
	r.send(q, long)
	first.reply(t, another)
	second := receive(t, cache.commands, "command")
	second.reply(t, served)
	r.want(policy.Served)
	if got := string(receive(t, q.slot.reply, "answer")); second.conn == first.conn || got != "$5\r\nvalue\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// TestLooksForARestedConnectionSetOneTimer, however many attempts wait for it.
func TestLooksForARestedConnectionSetOneTimer(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.settleTime = patience.Microseconds() })
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(policy.Served)
	r.send(r.request(nil), long)
	r.do(func() {
		u := r.l.pools["c1"]
		before := len(r.l.timers)
		for range 100 {
			u.dispatch()
		}
		if more := len(r.l.timers) - before; len(u.queue) != 1 || more > 0 {
			t.Errorf("%d attempts wait, %d more timers", len(u.queue), more)
		}
	})
}

// TestSecondAnswerReadBeforeTheNextRequest and told to the loop behind it is not served for it.
func TestSecondAnswerReadBeforeTheNextRequest(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.settleTime = 0 })
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(policy.Served)
	q := r.request(nil)
	r.do(func() {
		first.reply(t, another)
		await(t, "a second answer that was read", func() bool { return len(r.l.events) > 0 })
		r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
	})
	r.want(policy.ConnectionLost)
}

// TestAnswerBeforeTheLongWriteIsKnownToBeWhole counts once it is, also where the cache closes behind it.
func TestAnswerBeforeTheLongWriteIsKnownToBeWhole(t *testing.T) {
	for name, closes := range map[string]bool{"stays": false, "closes": true} {
		t.Run(name, func(t *testing.T) {
			addr, conns := nonReadingServer(t)
			r := newRig(t, addr, nil)
			q := largeRequest(r)
			r.send(q, long)
			if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil { // it has begun
				t.Fatal(err)
			}
			r.do(func() {
				a := q.attempts[0]
				c := a.conn
				rep, _, err := resp.ReadReply(strings.NewReader(served), nil)
				if err != nil {
					t.Error(err)
					return
				}
				c.replyReceived(rep, c.sequence.Load(), true)
				if closes {
					c.connectionLost()
				}
				if q.done {
					t.Error("an answer to half a request was served")
				}
				c.writeDone(a, true)
			})
			r.want(policy.Served)
		})
	}
}

// TestEndedConnectionMakesRoom for what waits, at once.
func TestEndedConnectionMakesRoom(t *testing.T) {
	for name, end := range map[string]func(*rig, *request, fakeCommand){
		"given up":    func(r *rig, q *request, _ fakeCommand) { r.l.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"out of step": func(r *rig, _ *request, cmd fakeCommand) { io.WriteString(cmd.conn, served+"trailing") },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newRig(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
			var qs []*request
			var cmd fakeCommand
			for range minConns {
				qs = append(qs, r.request(nil))
				r.send(qs[len(qs)-1], long)
				cmd = receive(t, cache.commands, "command")
			}
			r.send(r.request(nil), long)
			r.do(func() { end(r, qs[len(qs)-1], cmd) })
			receive(t, r.outcomes, "outcome")
			receive(t, cache.commands, "command of what waited").reply(t, served)
			r.want(policy.Served)
		})
	}
}

// TestCacheThatMovesDuringADial: what waits gets a connection to the new address, and each descriptor is
// counted once.
func TestCacheThatMovesDuringADial(t *testing.T) {
	moved := newFakeCache(t)
	r := newRig(t, unreachableAddr(t), nil)
	r.send(r.request(nil), long)
	r.do(func() {
		h, err := parseHosts([]byte(hosts(2, false, host("c1", moved.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.l.applyEndpoints(h, h.kind())
	})
	receive(t, moved.commands, "command").reply(t, served)
	r.want(policy.Served)
	r.do(func() {
		if u := r.l.pools["c1"]; r.l.upstreamConns != 1 || u.dialing != 0 || len(u.conns) != 1 {
			t.Errorf("%d descriptors, %d dials, %d connections", r.l.upstreamConns, u.dialing, len(u.conns))
		}
	})
}

// TestConnectionThatComesUpTooLate, when its attempt has ended, its cache drains or has moved, or the router
// has closed it: it carries nothing, and its descriptor is given back once.
func TestConnectionThatComesUpTooLate(t *testing.T) {
	for name, change := range map[string]func(*rig, *pool, *upstreamConn){
		"drained": func(_ *rig, u *pool, _ *upstreamConn) { u.update(u.addr, 0, false) },
		"moved":   func(_ *rig, u *pool, _ *upstreamConn) { u.update("127.0.0.1:1", 0, true) },
		"restarted": func(r *rig, u *pool, _ *upstreamConn) {
			u.loop.now++
			u.update(u.addr, u.loop.now, true)
			u.loop.now--
		},
		"closed": func(_ *rig, _ *pool, c *upstreamConn) { c.close() },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newRig(t, cache.addr(), nil)
			r.do(func() {
				u := r.l.pools["c1"]
				if !r.l.acquireDescriptor() {
					t.Error("no descriptor")
				}
				c := &upstreamConn{pool: u, addr: u.addr}
				u.conns[c] = struct{}{}
				u.dialing++
				nc, raw, err := dialTCP(u.addr, patience)
				if err != nil {
					t.Error(err)
					return
				}
				change(r, u, c)
				u.dialDone(c, nc, raw, nil)
				if r.l.upstreamConns != 0 || u.dialing != 0 || len(u.conns) != 0 || len(u.idle) != 0 {
					t.Errorf("%d descriptors, %d dials, %d connections, %d idle", r.l.upstreamConns, u.dialing, len(u.conns), len(u.idle))
				}
			})
			receive(t, cache.ended, "end of the connection")
		})
	}
}

// TestConnectionsToTheProcessBefore a restart are not used.
func TestConnectionsToTheProcessBefore(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(policy.Served)
	r.do(func() { r.l.pools["c1"].update(cache.addr(), r.l.now, true) })
	receive(t, cache.ended, "end of the idle connection")
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(policy.Served)
	r.do(func() { // a start that the list dates in the future shuts no connection out
		u := r.l.pools["c1"]
		u.update(cache.addr(), r.l.now+1_000_000_000, true)
		c := &upstreamConn{pool: u, addr: u.addr, connectedAt: r.l.now}
		if !c.matchesEndpoint() {
			t.Error("a connection that is up now is not used")
		}
	})
}

// TestSpoiltAnswerThatNeverEnds stops at its attempt's time or at its size, and its connection with it.
func TestSpoiltAnswerThatNeverEnds(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	q := r.request(nil)
	r.send(q, long)
	cmd := receive(t, cache.commands, "command")
	cmd.reply(t, "*3\r\n$65536\r\n")
	r.do(func() { q.attempts[0].abandon(policy.TimedOut) })
	r.want(policy.TimedOut)
	receive(t, cache.ended, "end of the connection")
	r.send(r.request(nil), long)
	flood := receive(t, cache.commands, "command")
	go func(nc net.Conn) { // until the router closes it
		io.WriteString(nc, "*16\r\n")
		for {
			if _, err := io.WriteString(nc, "$65536\r\n"+strings.Repeat("v", resp.MaxValueSize)+"\r\n"); err != nil {
				return
			}
		}
	}(flood.conn)
	r.want(policy.ConnectionLost)
}

// TestProbeEndsWhenTheSettingsSay, not after a time that suits one site.
func TestProbeEndsWhenTheSettingsSay(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Settings.DrainGrace = 40_000_000 })
	r.do(func() {
		r.l.perform(policy.HealthCheck{Cache: "c1"})
		if a := r.l.pools["c1"].queue[0]; a.deadline-a.sentAt != 20_000_000 {
			t.Errorf("a probe may take %d", a.deadline-a.sentAt)
		}
	})
}

// TestRepeatThatWaitsIsNotBegunTooLate: caches drop a repeat for so long only, and it was decided on in time.
func TestRepeatThatWaitsIsNotBegunTooLate(t *testing.T) {
	r, cache, busy := exhaustedPool(t)
	q := r.request(nil)
	r.do(func() {
		r.l.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.l.now + 1000})
		q.attempts[0].startBefore = r.l.now // as though it had waited for so long
	})
	busy[0].reply(t, served)
	r.want(policy.Served)
	r.want(policy.NotSent)
	wantNothingForwarded(t, r, cache, busy[1:])
}
