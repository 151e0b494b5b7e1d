package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// TestClientDisconnectsBehindCommandsReadAhead checks that a disconnect is detected behind more commands than
// the receive window holds while their reader waits for room in the reply queue.
func TestClientDisconnectsBehindCommandsReadAhead(t *testing.T) {
	for method, disconnect := range disconnects {
		t.Run(method, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			command := getCommand("r")
			client.send(strings.Repeat(command, 2*maxPipelined))
			harness.waitForFullReplyQueue()
			client.send(strings.Repeat(command, maxReadAhead*3/4/len(command)))
			disconnect(client)
			harness.waitForOpenRequests(0)
			router.waitForFreeMemory(t)
		})
	}
}

// TestCommandsReadAheadAreAnswered checks that commands that were read while the reply queue was full are
// answered in order.
func TestCommandsReadAheadAreAnswered(t *testing.T) {
	router, harness := startScriptedRouter(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	client := dial(t, router.addr)
	client.send(strings.Repeat(getCommand("r"), maxPipelined+1))
	harness.waitForFullReplyQueue()
	pings := maxReadAhead * 3 / 4 / len(encodeCommand("PING", "12345"))
	go client.sendPings(pings)
	client.waitForReadAhead(router)
	harness.do(func() {
		for id := range harness.loop.requests {
			harness.loop.finishRequest(id, requestFailed, []byte(resp.FailedReply))
		}
	})
	for range maxPipelined + 1 {
		client.wantLine(strings.TrimSpace(resp.FailedReply))
	}
	for i := range pings {
		client.wantLine(strconv.Itoa(i))
	}
	router.waitForFreeMemory(t)
}

// sendPings sends numbered PINGs until the connection takes no more. It writes many at once: a segment for each would fill
// the router's receive buffer by its overhead, and the system drops what it then sends again after seconds only.
func (c *testClient) sendPings(pings int) {
	writer := bufio.NewWriterSize(c.nc, floodChunkSize)
	for i := range pings {
		if _, err := io.WriteString(writer, encodeCommand("PING", strconv.Itoa(i))); err != nil {
			return // the test fails because replies are missing
		}
	}
	_ = writer.Flush() // likewise
}

// TestCommandsBeyondReadAheadAreRejected checks that the router continues to read when both the reply queue
// and the read-ahead are full, because otherwise a disconnect would stay hidden. Each command gets its own
// reply or a rejection, in the order of the commands.
func TestCommandsBeyondReadAheadAreRejected(t *testing.T) {
	router, harness := startScriptedRouter(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	client := dial(t, router.addr)
	client.send(strings.Repeat(getCommand("r"), maxPipelined+1))
	harness.waitForFullReplyQueue()
	const pings = 8 * maxReadAhead / 16
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		client.sendPings(pings)
	}()
	receive(t, sent, "end of sending while no reply is read")
	harness.do(func() {
		for id := range harness.loop.requests {
			harness.loop.finishRequest(id, requestFailed, []byte(resp.FailedReply))
		}
	})
	for range maxPipelined + 1 {
		client.wantLine(strings.TrimSpace(resp.FailedReply))
	}
	rejected := 0
	for i := range pings {
		if line := client.readLine(); line == strings.TrimSpace(resp.BusyReply) {
			rejected++
		} else if line != strconv.Itoa(i) {
			t.Fatalf("reply %d is %q", i, line)
		}
	}
	if rejected == 0 || rejected == pings {
		t.Errorf("%d of %d commands were rejected", rejected, pings)
	}
	router.waitForFreeMemory(t)
}

// TestFloodWithoutRequestsWaits checks that commands of a client that reads no replies wait, at no cost to
// the router, if the client has no open request: its disconnect need not be detected then.
func TestFloodWithoutRequestsWaits(t *testing.T) {
	srv, _ := newScriptedServer(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	limitSendBuffers(t, srv.listener)
	router := startServer(t, srv)
	client := dial(t, router.addr)
	if err := client.nc.SetReadBuffer(smallSocketBuffer); err != nil {
		t.Fatal(err)
	}
	const pings = 8 * maxReadAhead / 16
	go client.sendPings(pings)
	client.waitForReadAhead(router)
	for i := range pings {
		client.wantLine(strconv.Itoa(i))
	}
	router.waitForFreeMemory(t)
}

// smallSocketBuffer is a size in bytes of a socket's buffer that is far below that of the replies to a flood.
const smallSocketBuffer = 64 << 10

// limitSendBuffers limits the send buffers of the connections that a listener accepts from now on. By itself, the
// system enlarges a send buffer up to some megabytes.
func limitSendBuffers(t *testing.T, listener net.Listener) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallSocketBuffer)
	})
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
}

// TestClientDisconnectsBehindFlood checks that a disconnect is detected behind more bytes than the router
// reads ahead, while the first commands are in flight.
func TestClientDisconnectsBehindFlood(t *testing.T) {
	for method, disconnect := range disconnects {
		t.Run(method, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			command := getCommand("r")
			client.send(strings.Repeat(command, 16*maxReadAhead/len(command)))
			disconnect(client)
			harness.waitForOpenRequests(0)
			router.waitForFreeMemory(t)
		})
	}
}

// waitForFreeMemory waits until nothing is counted in the memory budget.
func (r *runningRouter) waitForFreeMemory(t *testing.T) {
	t.Helper()
	waitUntil(t, "free memory", func() bool { return r.srv.memory.inUse.Load() == 0 })
}

// waitForReadAhead waits until the only client's reader has read ahead.
func (c *testClient) waitForReadAhead(router *runningRouter) {
	c.t.Helper()
	waitUntil(c.t, "commands read ahead", func() bool {
		router.srv.mu.Lock()
		defer router.srv.mu.Unlock()
		for client := range router.srv.clients {
			return client.reader.ahead.hold.bytes.Load() > 0
		}
		return false
	})
}
