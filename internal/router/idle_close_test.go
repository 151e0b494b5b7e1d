package router

import (
	"io"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// waitForRouterClose waits until the router has closed its side of the connection and leaves what arrived
// before that unread.
func (c *testClient) waitForRouterClose() {
	c.t.Helper()
	raw, err := c.nc.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	waitUntil(c.t, "the end of the connection", func() bool {
		p := []unix.PollFd{{Events: unix.POLLRDHUP}}
		controlErr := raw.Control(func(fd uintptr) {
			p[0].Fd = int32(fd)
			_, err = unix.Poll(p, 0)
		})
		return controlErr == nil && err == nil && p[0].Revents != 0
	})
}

// withIdleClient waits for a client connection that has carried a command and has no pending reply, and
// calls f with it.
func withIdleClient(t *testing.T, router *runningRouter, f func(*clientConn)) {
	t.Helper()
	waitUntil(t, "an idle connection", func() bool {
		router.srv.mu.Lock()
		defer router.srv.mu.Unlock()
		for c := range router.srv.clients {
			if c.pendingReplies.Load() == 0 && c.hasCommand.Load() {
				f(c)
				return true
			}
		}
		return false
	})
}

// TestRequestCrossingIdleClose checks that a request that arrives while its idle connection is closed, for a
// drain or to release a descriptor, is not forwarded, and that the previous reply, which the client has not
// read yet, is not lost.
func TestRequestCrossingIdleClose(t *testing.T) {
	for name, closeIdle := range map[string]func(*clientConn){
		"drain": func(c *clientConn) { c.closeWhenIdle() },
		"evict": func(c *clientConn) {
			c.evicting.Store(true)
			c.closeWhenIdle()
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			client := dial(t, router.addr)
			client.send(getCommand("r1"))
			receive(t, cache.commands, "command").reply(t, servedReply)
			withIdleClient(t, router, closeIdle)
			client.waitForRouterClose()
			client.send(getCommand("r2"))
			client.send(getCommand("r3")[:20]) // sending does not fail: the connection has not been reset
			client.wantLine("value")
			if _, err := client.reader.ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v", err)
			}
			next := dial(t, router.addr)
			next.send(getCommand("r4"))
			if cmd := receive(t, cache.commands, "command"); cmd.args[2] != "r4" {
				t.Errorf("a command that arrived during the close was forwarded: %q", cmd.args)
			}
		})
	}
}

// TestBytesAfterCloseKeepUnreadReply checks that bytes that arrive after the close do not reset the
// connection while the client has read only a small part of a large reply that was written long ago. A reset
// would lose the rest.
func TestBytesAfterCloseKeepUnreadReply(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	if err := client.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	client.send(getCommand("r1"))
	value := strings.Repeat("v", resp.MaxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	withIdleClient(t, router, func(c *clientConn) {
		c.lastReplyAt.Add(-2 * lingerTime.Microseconds()) // simulates an idle time of that length
		c.closeWhenIdle()
	})
	waitUntil(t, "a lingering close", func() bool {
		router.srv.mu.Lock()
		defer router.srv.mu.Unlock()
		for conn := range router.srv.clients {
			return conn.lingering.Load()
		}
		return true
	})
	client.send(getCommand("r2"))
	client.wantLine(value)
}
