package router

import (
	"io"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// waitForRouterClose waits for the end of the connection and leaves what arrived before it unread.
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

// withIdleClient waits for a client connection that has had a command and owes no reply, and calls f with it.
func withIdleClient(t *testing.T, r *runningRouter, f func(*clientConn)) {
	t.Helper()
	waitUntil(t, "an idle connection", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		for c := range r.srv.clients {
			if c.pendingReplies.Load() == 0 && c.hasCommand.Load() {
				f(c)
				return true
			}
		}
		return false
	})
}

// TestRequestCrossingIdleClose: a request that arrives as its idle connection is closed, for the shutdown or for a
// descriptor, is not forwarded, and the reply before it, which the client has not read yet, is not lost.
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
			r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			c := dial(t, r.addr)
			c.send(getCommand("r1"))
			receive(t, cache.commands, "command").reply(t, servedReply)
			withIdleClient(t, r, closeIdle)
			c.waitForRouterClose()
			c.send(getCommand("r2"))
			c.send(getCommand("r3")[:20]) // on a connection that has not been reset
			c.wantLine("value")
			if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v", err)
			}
			next := dial(t, r.addr)
			next.send(getCommand("r4"))
			if cmd := receive(t, cache.commands, "command"); cmd.args[2] != "r4" {
				t.Errorf("what crossed the close was forwarded: %q", cmd.args)
			}
		})
	}
}

// TestBytesBehindUnreadReply: the client has hardly begun to read a large reply, long after the router has written it.
// Bytes that arrive then must not turn the close into a reset, which would lose the rest of the reply.
func TestBytesBehindUnreadReply(t *testing.T) {
	cache := newFakeCache(t)
	r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	if err := c.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	c.send(getCommand("r1"))
	value := strings.Repeat("v", resp.MaxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	withIdleClient(t, r, func(c *clientConn) {
		c.lastReplyAt.Add(-2 * lingerTime.Microseconds()) // as though it had been idle for so long
		c.closeWhenIdle()
	})
	waitUntil(t, "a lingering close", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		for cl := range r.srv.clients {
			return cl.lingering.Load()
		}
		return true
	})
	c.send(getCommand("r2"))
	c.wantLine(value)
}
