package router

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDrainWithRequestsInFlight: after SIGTERM, connections and requests are still taken, all that was
// taken is answered, and then the router ends.
func TestDrainWithRequestsInFlight(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 5 * time.Second // a slow machine must not miss it
	router := startServer(t, srv)
	idle, busy := dial(t, router.addr), dial(t, router.addr)
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

// TestDrainTimeout: what can't be answered holds the router up no longer than the longest
// deadline allows, and so does a command that never becomes whole.
func TestDrainTimeout(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // answers nothing
	srv.loop.maxTimeout = 1000
	router := startServer(t, srv)
	stuck, half := dial(t, router.addr), dial(t, router.addr)
	stuck.send(encodeCommand("PING") + getCommand("r1"))
	stuck.readLine() // not ready: no cache is known
	half.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G")
	half.readLine()
	router.stop()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
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
