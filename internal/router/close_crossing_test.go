package router

import (
	"errors"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// Requests that cross the router's close of their connection: each is read and answered, or it stays
// unread, so that its client may send it once more.

// waitForDelivery waits until the router's machine has acknowledged all that was sent.
func (c *testClient) waitForDelivery() {
	c.t.Helper()
	raw, err := c.nc.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	waitUntil(c.t, "the delivery of what was sent", func() bool {
		unacknowledged := 0
		var queryErr error
		controlErr := raw.Control(func(fd uintptr) {
			unacknowledged, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		})
		return errors.Join(controlErr, queryErr) == nil && unacknowledged == 0
	})
}

// waitForNoClients waits until the router has closed all client connections.
func (r *runningRouter) waitForNoClients(t *testing.T) {
	t.Helper()
	waitUntil(t, "the end of all client connections", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		return len(r.srv.clients) == 0
	})
}

// stallWithoutBytes is a fault of a read or peek which finds nothing and returns late.
func stallWithoutBytes() fault {
	return fault{err: unix.EAGAIN, reached: make(chan struct{}), resume: make(chan struct{})}
}

// TestRequestAtFirstCommandTimeout has a request arrive just as the time for it ends: after the last
// look at the socket, and before its reader learns of the timeout.
func TestRequestAtFirstCommandTimeout(t *testing.T) {
	request := getCommand("r1")
	for name, early := range map[string]string{
		"nothing before": "",
		"half before":    request[:len(request)/2],
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = 200 * time.Millisecond
			system := useFaultySystem(srv)
			stall := stallWithoutBytes()
			if early != "" {
				system.inject(callRead, fault{})
			}
			system.inject(callRead, stall)
			client := dial(t, srv.listener.Addr().String())
			client.send(early)
			startServer(t, srv)
			receive(t, stall.reached, "read")
			late := time.Now().Add(srv.commandTimeout)
			client.send(request[len(early):])
			client.waitForDelivery()
			waitUntil(t, "the end of the time for a command", func() bool { return time.Now().After(late) })
			close(stall.resume)
			receive(t, cache.commands, "command").reply(t, servedReply)
			client.wantLine("value")
		})
	}
}

// TestNothingIsReadAfterClose has a request arrive after the router has ended its side of the
// connection.
func TestNothingIsReadAfterClose(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *runningRouter, *testClient){
		"drain": func(t *testing.T, r *runningRouter, _ *testClient) {
			withIdleClient(t, r, (*clientConn).closeWhenIdle)
		},
		"evict": func(t *testing.T, r *runningRouter, _ *testClient) {
			withIdleClient(t, r, func(c *clientConn) {
				c.evicting.Store(true)
				c.closeWhenIdle()
			})
		},
		"QUIT": func(_ *testing.T, _ *runningRouter, client *testClient) {
			client.send(encodeCommand("QUIT"))
			client.wantLine("+OK")
		},
	} {
		t.Run(name, func(t *testing.T) {
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			system := useFaultySystem(srv)
			router := startServer(t, srv)
			client := dial(t, router.addr)
			client.send(encodeCommand("PING"))
			client.wantLine("+PONG")
			end(t, router, client)
			client.waitForRouterClose()
			read := system.bytesRead.Load()
			client.send(getCommand("r1"))
			client.waitForDelivery()
			client.close()
			router.waitForNoClients(t)
			if n := system.bytesRead.Load() - read; n > 0 {
				t.Errorf("%d bytes were read after the close", n)
			}
		})
	}
}

// TestRequestCrossesCloseOfNewConnection has a request arrive between the last look at a connection
// that was never answered and its close.
func TestRequestCrossesCloseOfNewConnection(t *testing.T) {
	router, system, client := startFaultyRouter(t)
	lastLooks := map[systemCall]fault{callPeek: stallWithoutBytes(), callRead: stallWithoutBytes()}
	for call, stall := range lastLooks {
		system.inject(call, stall)
	}
	router.srv.closeIdleClients()
	select {
	case <-lastLooks[callPeek].reached:
	case <-lastLooks[callRead].reached:
	case <-time.After(testTimeout):
		t.Fatal("the reader does not look at the connection")
	}
	client.send(getCommand("r1"))
	client.waitForDelivery()
	for _, stall := range lastLooks {
		close(stall.resume)
	}
	client.wantClosed()
	client.close()
	router.waitForNoClients(t)
	if n := system.bytesRead.Load(); n > 0 {
		t.Errorf("%d bytes of a request were read that was not answered", n)
	}
}

// rubbishBeyondDiscardLimit is a protocol error and more bytes behind it than are discarded.
func rubbishBeyondDiscardLimit() string {
	return "*x\r\n" + strings.Repeat("x", maxDiscarded+discardBufferSize)
}

// TestReplyBeforeRubbish checks that bytes which are not even discarded do not reset the connection
// before the reply to the request in front of them has been received.
func TestReplyBeforeRubbish(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	if err := client.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	client.send(getCommand("r1") + rubbishBeyondDiscardLimit())
	client.waitForDelivery()
	value := strings.Repeat("v", resp.MaxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	client.wantUnreadBytes()
	client.send(rubbishBeyondDiscardLimit()[:4*discardBufferSize]) // while a reply is due, what comes before is discarded
	client.waitForDelivery()
	client.wantLine(value)
	if got := client.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q", got)
	}
}

// wantUnreadBytes waits until part of a reply has arrived, and leaves it unread.
func (c *testClient) wantUnreadBytes() {
	c.t.Helper()
	if _, err := c.reader.Peek(1); err != nil {
		c.t.Fatal(err)
	}
}

// TestUnreadReplyOutlastsLinger checks that bytes that cross the close do not take a reply that is
// still on its way when the time to read it is over.
func TestUnreadReplyOutlastsLinger(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lingerTime = time.Millisecond
	system := useFaultySystem(srv)
	router := startServer(t, srv)
	client := dial(t, router.addr)
	if err := client.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	client.send(getCommand("r1"))
	value := strings.Repeat("v", resp.MaxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	var closing *clientConn
	withIdleClient(t, router, func(c *clientConn) { closing = c })
	closing.closeWhenIdle()
	waitUntil(t, "a lingering close", closing.lingering.Load)
	read := system.bytesRead.Load()
	client.send(getCommand("r2"))
	client.waitForDelivery()
	lingered := time.Now().Add(4 * hangupCheckInterval)
	waitUntil(t, "the end of the lingering", func() bool { return time.Now().After(lingered) })
	client.wantLine(value)
	if n := system.bytesRead.Load() - read; n > 0 {
		t.Errorf("%d bytes were read after the close", n)
	}
}
