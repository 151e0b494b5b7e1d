package router

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDrainWithRequestsInFlight checks that after SIGTERM connections and requests are still
// accepted, that all accepted requests are answered, and that the router then ends.
func TestDrainWithRequestsInFlight(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 5 * time.Second // long enough for a slow machine
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
// end of the router beyond the longest deadline.
func TestDrainTimeout(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // does not reply
	srv.loop.maxTimeout = 1000
	router := startServer(t, srv)
	waiting := dial(t, router.addr)
	partial := dial(t, router.addr)
	waiting.send(encodeCommand("PING") + getCommand("r1"))
	waiting.readLine() // not ready, since no cache is known
	partial.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G")
	partial.readLine()
	router.stop()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// wantOpen checks that the connection stays open for longer than an evicted one.
func (c *testClient) wantOpen() {
	c.t.Helper()
	c.setReadDeadline(3 * evictGrace)
	if b, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("got %q, %v from a connection that is to stay open", b, err)
	}
	c.setReadDeadline(testTimeout)
}

func (c *testClient) setReadDeadline(timeout time.Duration) {
	c.t.Helper()
	if err := c.nc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		c.t.Fatal(err)
	}
}

// TestDrainAcceptsCommandsBehindRequestsInFlight checks that a command is accepted on a connection
// that the drain leaves open.
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

// TestDrainWaitsForPartialCommand checks that a drain gives a partial command its usual time.
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

// TestDrainAcceptsQueuedConnections checks that a drain serves connections that wait for a
// descriptor: the kernel has accepted them, and the requests sent on them.
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

// TestDrainBoundsRequestDeadlines checks that requests are answered before SIGKILL, however long
// their clients would wait.
func TestDrainBoundsRequestDeadlines(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	harness.do(func() {
		harness.loop.beginDrain(harness.loop.now)
		killedAt := harness.loop.now + (maxDrainTimeout + drainSlack).Microseconds()
		if harness.loop.drainDeadline >= killedAt {
			t.Errorf("the last replies come %d us after SIGTERM, and SIGKILL after %d",
				harness.loop.drainDeadline-harness.loop.now, killedAt-harness.loop.now)
		}
	})
	if req := harness.newRequest(nil); req.deadline != harness.loop.drainDeadline {
		t.Errorf("deadline %d, want %d", req.deadline, harness.loop.drainDeadline)
	}
}

// TestBytesThatCrossTheCloseDoNotReset checks that bytes sent while the router closes the connection
// do not reset it, which could lose the last reply.
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
		t.Errorf("the connection ended with %v", err)
	}
}
