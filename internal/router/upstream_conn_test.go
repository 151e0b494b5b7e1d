package router

import (
	"io"
	"net"
	"strings"
	"testing"

	"marlstage/policy"
)

// TestStaleConnectionIsNotUsed: the cache closes it at any moment, and what is written to it may have run.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), func(c *Config) { c.Transport.Keepalive = 200_000_000 })
	harness.sendAttempt(harness.newRequest(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	req := harness.newRequest(nil)
	harness.do(func() {
		harness.loop.pools["c1"].idle[0].idleSince -= 3 * harness.loop.cfg.Transport.Keepalive / 4
		harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
	})
	if second := receive(t, cache.commands, "command"); second.conn == first.conn {
		t.Error("a connection was used that its cache is about to close")
	}
}

// TestIdleSweepInterval that the settings state, however short.
func TestIdleSweepInterval(t *testing.T) {
	for keepalive, most := range map[policy.Time]policy.Time{200_000: 50_000, 2_000_000: 500_000, 60_000_000: sweepInterval} {
		harness := newLoopHarness(t, "127.0.0.1:1", func(c *Config) { c.Transport.Keepalive = keepalive })
		harness.do(func() {
			harness.loop.timers = nil
			harness.loop.sweepIdle()
			if wait := harness.loop.timers[0].at - harness.loop.now; wait > most {
				t.Errorf("idle time %d: the next look comes after %d", keepalive, wait)
			}
		})
	}
}

// TestLateDuplicateReply is not served for the next request on its connection.
func TestLateDuplicateReply(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() { harness.loop.settleTime = testTimeout.Microseconds() })
	harness.sendAttempt(harness.newRequest(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	req := harness.newRequest(nil)
	harness.sendAttempt(req, long)
	first.reply(t, otherServedReply)
	second := receive(t, cache.commands, "command")
	second.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	if got := string(receive(t, req.slot.reply, "answer")); second.conn == first.conn || got != "$5\r\nvalue\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// TestSettleTimerIsSetOnce, however many attempts wait for it.
func TestSettleTimerIsSetOnce(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() { harness.loop.settleTime = testTimeout.Microseconds() })
	harness.sendAttempt(harness.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.sendAttempt(harness.newRequest(nil), long)
	harness.do(func() {
		u := harness.loop.pools["c1"]
		before := len(harness.loop.timers)
		for range 100 {
			u.dispatch()
		}
		if more := len(harness.loop.timers) - before; len(u.queue) != 1 || more > 0 {
			t.Errorf("%d attempts wait, %d more timers", len(u.queue), more)
		}
	})
}

// TestDuplicateReplyReadBeforeNextRequest and told to the loop behind it is not served for it.
func TestDuplicateReplyReadBeforeNextRequest(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() { harness.loop.settleTime = 0 })
	harness.sendAttempt(harness.newRequest(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	req := harness.newRequest(nil)
	harness.do(func() {
		first.reply(t, otherServedReply)
		waitUntil(t, "a second answer that was read", func() bool { return len(harness.loop.events) > 0 })
		harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
	})
	harness.wantOutcome(policy.ConnectionLost)
}

// TestReplyBeforeWriteIsComplete counts once it is, also where the cache closes behind it.
func TestReplyBeforeWriteIsComplete(t *testing.T) {
	for name, closes := range map[string]bool{"stays": false, "closes": true} {
		t.Run(name, func(t *testing.T) {
			addr, conns := deafCache(t)
			harness := newLoopHarness(t, addr, nil)
			req := huge(harness)
			harness.sendAttempt(req, long)
			if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil { // it has begun
				t.Fatal(err)
			}
			harness.do(func() {
				a := req.attempts[0]
				c := a.conn
				rep, _, err := readReply(strings.NewReader(servedReply), nil)
				if err != nil {
					t.Error(err)
					return
				}
				c.replyReceived(rep, c.sequence.Load(), true)
				if closes {
					c.connectionLost()
				}
				if req.done {
					t.Error("an answer to half a request was served")
				}
				c.writeDone(a, true, nil)
			})
			harness.wantOutcome(policy.Served)
		})
	}
}

// TestClosedConnectionFreesCapacity for what waits, at once.
func TestClosedConnectionFreesCapacity(t *testing.T) {
	for name, end := range map[string]func(*loopHarness, *request, fakeCommand){
		"given up": func(harness *loopHarness, req *request, _ fakeCommand) {
			harness.loop.perform(policy.Cancel{ID: req.id, Attempt: 0})
		},
		"out of step": func(harness *loopHarness, _ *request, cmd fakeCommand) {
			io.WriteString(cmd.conn, servedReply+"trailing")
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
			var qs []*request
			var cmd fakeCommand
			for range minConns {
				qs = append(qs, harness.newRequest(nil))
				harness.sendAttempt(qs[len(qs)-1], long)
				cmd = receive(t, cache.commands, "command")
			}
			harness.sendAttempt(harness.newRequest(nil), long)
			harness.do(func() { end(harness, qs[len(qs)-1], cmd) })
			receive(t, harness.outcomes, "outcome")
			receive(t, cache.commands, "command of what waited").reply(t, servedReply)
			harness.wantOutcome(policy.Served)
		})
	}
}

// TestAddressChangeDuringDial: what waits gets a connection to the new address, and each descriptor is
// counted once.
func TestAddressChangeDuringDial(t *testing.T) {
	moved := newFakeCache(t)
	harness := newLoopHarness(t, unreachable(t), nil)
	harness.sendAttempt(harness.newRequest(nil), long)
	harness.do(func() {
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c1", moved.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		harness.loop.applyEndpoints(h, h.kind())
	})
	receive(t, moved.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.do(func() {
		if u := harness.loop.pools["c1"]; harness.loop.upstreamConns != 1 || u.dialing != 0 || len(u.conns) != 1 {
			t.Errorf("%d descriptors, %d dials, %d connections", harness.loop.upstreamConns, u.dialing, len(u.conns))
		}
	})
}

// TestDialThatCompletesTooLate, when its attempt has ended, its cache drains or has moved, or the router
// has closed it: it carries nothing, and its descriptor is given back once.
func TestDialThatCompletesTooLate(t *testing.T) {
	for name, change := range map[string]func(*loopHarness, *pool, *upstreamConn){
		"drained": func(_ *loopHarness, u *pool, _ *upstreamConn) { u.update(u.addr, 0, false) },
		"moved":   func(_ *loopHarness, u *pool, _ *upstreamConn) { u.update("127.0.0.1:1", 0, true) },
		"restarted": func(harness *loopHarness, u *pool, _ *upstreamConn) {
			u.loop.now++
			u.update(u.addr, u.loop.now, true)
			u.loop.now--
		},
		"closed": func(_ *loopHarness, _ *pool, c *upstreamConn) { c.close() },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			harness.do(func() {
				u := harness.loop.pools["c1"]
				if !harness.loop.acquireDescriptor() {
					t.Error("no descriptor")
				}
				c := &upstreamConn{pool: u, addr: u.addr}
				u.conns[c] = struct{}{}
				u.dialing++
				nc, raw, err := dialTCP(u.addr, testTimeout)
				if err != nil {
					t.Error(err)
					return
				}
				change(harness, u, c)
				u.dialDone(c, nc, raw, nil)
				if harness.loop.upstreamConns != 0 || u.dialing != 0 || len(u.conns) != 0 || len(u.idle) != 0 {
					t.Errorf("%d descriptors, %d dials, %d connections, %d idle", harness.loop.upstreamConns, u.dialing, len(u.conns), len(u.idle))
				}
			})
			receive(t, cache.closed, "end of the connection")
		})
	}
}

// TestConnectionsToPreviousIncarnation a restart are not used.
func TestConnectionsToPreviousIncarnation(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.sendAttempt(harness.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.do(func() { harness.loop.pools["c1"].update(cache.addr(), harness.loop.now, true) })
	receive(t, cache.closed, "end of the idle connection")
	harness.sendAttempt(harness.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.do(func() { // a start that the list dates in the future shuts no connection out
		u := harness.loop.pools["c1"]
		u.update(cache.addr(), harness.loop.now+1_000_000_000, true)
		c := &upstreamConn{pool: u, addr: u.addr, connectedAt: harness.loop.now}
		if !c.matchesEndpoint() {
			t.Error("a connection that is up now is not used")
		}
	})
}

// TestMalformedReplyWithoutEnd stops at its attempt's time or at its size, and its connection with it.
func TestMalformedReplyWithoutEnd(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	req := harness.newRequest(nil)
	harness.sendAttempt(req, long)
	cmd := receive(t, cache.commands, "command")
	cmd.reply(t, "*3\r\n$65536\r\n")
	harness.do(func() { req.attempts[0].abandon(policy.TimedOut) })
	harness.wantOutcome(policy.TimedOut)
	receive(t, cache.closed, "end of the connection")
	harness.sendAttempt(harness.newRequest(nil), long)
	flood := receive(t, cache.commands, "command")
	go func(nc net.Conn) { // until the router closes it
		io.WriteString(nc, "*16\r\n")
		for {
			if _, err := io.WriteString(nc, "$65536\r\n"+strings.Repeat("v", maxValueSize)+"\r\n"); err != nil {
				return
			}
		}
	}(flood.conn)
	harness.wantOutcome(policy.ConnectionLost)
}

// TestHealthCheckTimeout, not after a time that suits one site.
func TestHealthCheckTimeout(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), func(c *Config) { c.Settings.DrainGrace = 40_000_000 })
	harness.do(func() {
		harness.loop.perform(policy.HealthCheck{Cache: "c1"})
		if a := harness.loop.pools["c1"].queue[0]; a.deadline-a.sentAt != 20_000_000 {
			t.Errorf("a probe may take %d", a.deadline-a.sentAt)
		}
	})
}

// TestQueuedRetryIsNotStartedTooLate: caches drop a repeat for so long only, and it was decided on in time.
func TestQueuedRetryIsNotStartedTooLate(t *testing.T) {
	harness, cache, busy := busyPool(t)
	req := harness.newRequest(nil)
	harness.do(func() {
		harness.loop.perform(policy.Send{ID: req.id, Cache: "c1", StartBefore: harness.loop.now + 1000})
		req.attempts[0].startBefore = harness.loop.now // as though it had waited for so long
	})
	busy[0].reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.wantOutcome(policy.NotSent)
	freed(t, harness, cache, busy[1:])
}
