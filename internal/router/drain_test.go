package router

import (
	"errors"
	"io"
	"log"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestDrainWithRequestsInFlight checks that the router still accepts connections and requests after SIGTERM,
// answers all accepted requests, and then ends.
func TestDrainWithRequestsInFlight(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 5 * time.Second // long enough for a slow machine
	srv.drainTime = testTimeout
	router := startServer(t, srv)
	idle := dial(t, router.addr)
	busy := dial(t, router.addr)
	idle.send(encodeCommand("PING"))
	idle.wantLine("+PONG")
	busy.send(getCommand("r1"))
	first := receive(t, cache.commands, "command")
	router.stop()
	late := dial(t, router.addr)
	late.send(getCommand("r2"))
	second := receive(t, cache.commands, "command")
	idle.wantClosed()
	first.reply(t, servedReply)
	second.reply(t, servedReply)
	busy.wantLine("value")
	busy.wantClosed()
	late.wantLine("value")
	late.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainTimeout checks that neither a request without a reply nor a partial command delays the
// end of the router beyond the longest deadline, and that both are answered.
func TestDrainTimeout(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // does not reply
	srv.lateAcceptTime = time.Millisecond
	srv.drainTime = 2 * time.Millisecond
	router := startServer(t, srv)
	waiting := dial(t, router.addr)
	partial := dial(t, router.addr)
	waiting.send(encodeCommand("PING") + getCommand("r1"))
	waiting.readLine() // not ready, since no cache is known
	(&loopHarness{t: t, loop: srv.loop}).waitForOpenRequests(1)
	partial.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G")
	partial.readLine()
	router.stop()
	waiting.wantLine("-ERR failed")
	waiting.wantClosed()
	partial.wantLine("-BUSY")
	partial.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// wantOpen checks that the connection stays open for longer than one that is being evicted.
func (c *testClient) wantOpen() {
	c.t.Helper()
	c.setReadDeadline(3 * evictionGrace)
	if b, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("got %q, %v from a connection that has to stay open", b, err)
	}
	c.setReadDeadline(testTimeout)
}

func (c *testClient) setReadDeadline(timeout time.Duration) {
	c.t.Helper()
	if err := c.nc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		c.t.Fatal(err)
	}
}

// TestDrainAcceptsCommandsBehindRequestsInFlight checks that a command is accepted on a connection that the
// drain leaves open because a request on it is in flight.
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

// TestDrainWaitsForPartialCommand checks that a drain does not shorten the timeout of a partial command.
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

// TestDrainAcceptsQueuedConnections checks that a drain serves connections that wait for a descriptor,
// because the kernel has already accepted them and the requests sent on them.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), withMinSockets, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 0
	srv.acceptBackoff = time.Millisecond
	router := startServer(t, srv)
	var clients []*testClient
	var busy []fakeCommand
	for i := range 2 * int(srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(getCommand("r"))
		clients = append(clients, client)
		if i < int(srv.descriptors.maxClientConns) && i < srv.descriptors.maxUpstreamConns {
			busy = append(busy, receive(t, cache.commands, "command"))
		}
	}
	router.stop()
	waitUntil(t, "the drain", srv.isClosing)
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
	}
	cache.handleCommands(t, func(cmd fakeCommand) { cmd.tryReply(servedReply) })
	for _, client := range clients {
		client.wantLine("value")
	}
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainTimeLeavesRoomForStalls checks that the last replies reach their clients before SIGKILL even if
// the router stalls before it notices SIGTERM and again before it writes the replies, and that the router
// serves for as long as new connections arrive.
func TestDrainTimeLeavesRoomForStalls(t *testing.T) {
	const (
		stall               = 150 * time.Millisecond
		newConnectionsUntil = 400 * time.Millisecond
	)
	for _, longestTimeout := range []time.Duration{0, 50, 200, 1000, 3000, 20000} {
		longestTimeout *= time.Millisecond
		killedAt := min(longestTimeout, 3*time.Second) + 700*time.Millisecond
		due := drainTimeFor(longestTimeout.Microseconds())
		if due <= newConnectionsUntil {
			t.Errorf("timeout %v: the last replies are due after %v", longestTimeout, due)
		}
		if longestTimeout >= stall && due+2*stall >= killedAt {
			t.Errorf("timeout %v: the last replies are due after %v, SIGKILL comes after %v", longestTimeout, due, killedAt)
		}
		if due+stall >= killedAt {
			t.Errorf("timeout %v: the last replies are due after %v, SIGKILL comes after %v", longestTimeout, due, killedAt)
		}
	}
}

// TestDrainBoundsRequestDeadlines checks that requests are answered before SIGKILL, whatever their timeouts
// are. It covers requests accepted before SIGTERM, after it, and when the last replies are due.
func TestDrainBoundsRequestDeadlines(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	early := harness.newRequest(nil)
	var due policy.Time
	harness.do(func() {
		due = harness.loop.now + early.command.Timeout/2
		harness.loop.beginDrain(due)
	})
	later := harness.newRequest(nil)
	if later.deadline != due {
		t.Errorf("deadline %d, want %d", later.deadline, due)
	}
	late := newReplySlot(testMemory())
	harness.do(func() {
		harness.loop.now = due
		harness.loop.runDueTimers()
		harness.loop.acceptRequest(early.client, late, early.command, due)
	})
	for name, req := range map[string]*request{"early": early, "later": later} {
		if reply := receive(t, req.slot.reply, "reply"); string(reply) != resp.FailedReply {
			t.Errorf("%s request: reply %q", name, reply)
		}
	}
	if reply := receive(t, late.reply, "reply"); string(reply) != resp.BusyReply {
		t.Errorf("late request: reply %q", reply)
	}
	if open := harness.openRequests(); open != 0 {
		t.Errorf("%d requests are open", open)
	}
}

// TestBytesSentDuringCloseDoNotReset checks that bytes sent while the router closes the connection do not
// cause a reset, which could discard the last reply.
func TestBytesSentDuringCloseDoNotReset(t *testing.T) {
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	client := dial(t, router.addr)
	client.send(encodeCommand("PING") + encodeCommand("QUIT"))
	client.wantLine("+PONG")
	raw, err := client.nc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the end of the connection by the router", func() bool {
		fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
		var pollErr error
		err := raw.Control(func(fd uintptr) {
			fds[0].Fd = int32(fd)
			_, pollErr = unix.Poll(fds, 0)
		})
		return errors.Join(err, pollErr) == nil && fds[0].Revents != 0
	})
	for range 2 {
		client.send(getCommand("r1"))
	}
	client.wantLine("+OK")
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
}

// TestBlockedLogDoesNotBlockTheRouter checks that the router serves and ends while writes to its log block.
func TestBlockedLogDoesNotBlockTheRouter(t *testing.T) {
	writer := blockedWriter{release: make(chan struct{})}
	log.SetOutput(writer)
	t.Cleanup(func() {
		close(writer.release)
		log.SetOutput(os.Stderr)
	})
	srv := newServerWithCache(t)
	srv.lateAcceptTime = 0
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	router.stop()
	client.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestFilledSlotIsReturnedAfterLoopEnds checks that a reply given before the event loop ended is not dropped.
func TestFilledSlotIsReturnedAfterLoopEnds(t *testing.T) {
	loop := &eventLoop{done: make(chan struct{})}
	close(loop.done)
	client := &clientConn{srv: &Server{loop: loop}}
	for range 100 {
		slot := newReplySlot(testMemory())
		slot.fill([]byte(resp.PongReply))
		if reply := client.awaitReply(slot); string(reply) != resp.PongReply {
			t.Fatalf("reply %q", reply)
		}
	}
	if reply := client.awaitReply(newReplySlot(testMemory())); reply != nil {
		t.Errorf("reply %q of a slot that was not filled", reply)
	}
}
