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

	"marlstage/policy"
)

// waitUntil yields until the condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(until) {
			t.Fatalf("%s: not so in time", what)
		}
	}
}

// startScriptedRouter is a router whose module answers nothing.
func startScriptedRouter(t *testing.T, lines ...string) (*runningRouter, *loopHarness) {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, lines...))
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}
	srv.loop.engine = s
	return startServer(t, srv), &loopHarness{t, srv.loop, s.outcomes}
}

// waitForOpenRequests waits until so many requests are open.
func (h *loopHarness) waitForOpenRequests(n int) {
	h.t.Helper()
	waitUntil(h.t, "requests that are open", func() bool {
		open := 0
		h.do(func() { open = h.loop.openRequests })
		return open == n
	})
}

// onlyRequest is the one request that is open.
func (h *loopHarness) onlyRequest() (req *request) {
	h.t.Helper()
	h.waitForOpenRequests(1)
	h.do(func() {
		for _, req = range h.loop.requests {
		}
	})
	return req
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

// wantOpen waits for longer than a connection is given that has to make room.
func (c *testClient) wantOpen() {
	c.t.Helper()
	c.nc.SetReadDeadline(time.Now().Add(3 * evictGrace))
	if b, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("got %q, %v from a connection that is to stay open", b, err)
	}
	c.nc.SetReadDeadline(time.Now().Add(testTimeout))
}

// TestDrainAcceptsCommandsBehindRequestsInFlight: the connection stays open, so the command counts as taken.
func TestDrainAcceptsCommandsBehindRequestsInFlight(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	first := receive(t, cache.commands, "command")
	router.srv.closeIdleClients()
	client.wantOpen()
	client.send(getCommand("r2"))
	second := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	second.reply(t, servedReply)
	client.wantLine("value")
	client.wantLine("value")
	client.wantClosed()
}

// TestDrainWaitsForPartialCommand for as long as any may take.
func TestDrainWaitsForPartialCommand(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.commandTimeout = testTimeout
	router := startServer(t, srv)
	client := dial(t, router.addr)
	wire := encodeCommand("PING") + getCommand("r1")
	client.send(wire[:len(wire)-5])
	client.wantLine("+PONG")
	router.srv.closeIdleClients()
	client.wantOpen()
	client.send(wire[len(wire)-5:])
	receive(t, cache.commands, "command").reply(t, servedReply)
	client.wantLine("value")
	client.wantClosed()
}

// TestDrainAcceptsQueuedConnections for want of a descriptor: the kernel has accepted them, and their requests.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 0
	srv.acceptBackoff = time.Millisecond
	router := startServer(t, srv)
	var clients []*testClient
	var busy []fakeCommand
	for i := range 2 * int(srv.descriptors.maxClientConns) {
		c := dial(t, router.addr)
		c.send(getCommand("r"))
		clients = append(clients, c)
		if i < int(srv.descriptors.maxClientConns) && i < srv.descriptors.maxUpstreamConns {
			busy = append(busy, receive(t, cache.commands, "command"))
		}
	}
	router.stop()
	waitUntil(t, "the drain", srv.isClosing)
	over := make(chan struct{})
	defer close(over)
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
	}
	go func() {
		for {
			select {
			case cmd := <-cache.commands:
				io.WriteString(cmd.conn, servedReply)
			case <-over:
				return
			}
		}
	}()
	for _, c := range clients {
		c.wantLine("value")
	}
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestNewConnectionIsNotEvicted: its first command is under way, and closing it loses that.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.firstCommandGrace = 2 * testTimeout
	router := startServer(t, srv)
	client := dial(t, router.addr)
	waitUntil(t, "a client", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.clients) == 1
	})
	if srv.longestIdle() != nil {
		t.Error("it is closed before its first command")
	}
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	waitUntil(t, "an idle connection", func() bool { return srv.longestIdle() != nil })
}

// TestDrainBoundsRequestDeadlines, however long their clients would wait.
func TestDrainBoundsRequestDeadlines(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	harness.do(func() {
		harness.loop.beginDrain(harness.loop.now)
		if most := harness.loop.now + (maxDrainTimeout + drainSlack).Microseconds(); harness.loop.drainDeadline >= most {
			t.Errorf("the last answers come %d us after SIGTERM, and SIGKILL after %d", harness.loop.drainDeadline-harness.loop.now, most-harness.loop.now)
		}
	})
	if req := harness.newRequest(nil); req.deadline != harness.loop.drainDeadline {
		t.Errorf("deadline %d, want %d", req.deadline, harness.loop.drainDeadline)
	}
}

// TestBytesThatCrossTheCloseDoNotReset do not turn it into a reset, which may cost the last answer.
func TestBytesThatCrossTheCloseDoNotReset(t *testing.T) {
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	client := dial(t, router.addr)
	client.send(encodeCommand("PING") + encodeCommand("QUIT"))
	client.wantLine("+PONG")
	raw, err := client.nc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the router's end of the connection", func() bool {
		p := []unix.PollFd{{Events: unix.POLLRDHUP}}
		raw.Control(func(fd uintptr) {
			p[0].Fd = int32(fd)
			unix.Poll(p, 0)
		})
		return p[0].Revents != 0
	})
	for range 2 {
		client.send(getCommand("r1"))
	}
	client.wantLine("+OK")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v", err)
	}
}

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

const otherServedReply = "*3\r\n$7\r\nanother\r\n$3\r\nhit\r\n$-1\r\n"

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
