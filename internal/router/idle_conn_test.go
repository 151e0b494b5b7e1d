package router

import (
	"testing"

	"marlstage/internal/config"
	"marlstage/internal/socket"
	"marlstage/policy"
)

// newHarnessWithIdleConn returns a harness with an idle connection that has settled, its cache, and the
// command that the connection carried.
func newHarnessWithIdleConn(t *testing.T) (*loopHarness, *fakeCache, fakeCommand) {
	t.Helper()
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() { harness.loop.settleTime = 0 })
	harness.sendAttempt(harness.newRequest(nil), longTimeout)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	return harness, cache, first
}

// TestUnexpectedBytesOnIdleConnection checks that the next attempt uses another connection if bytes have
// arrived on the idle one, even if the router has not read them yet: further replies on it can't be assigned
// to requests.
func TestUnexpectedBytesOnIdleConnection(t *testing.T) {
	for name, wire := range map[string]string{"half a line": "-ER", "half a reply": "*3\r\n$5\r\nval", "one byte": "*"} {
		t.Run(name, func(t *testing.T) {
			harness, cache, first := newHarnessWithIdleConn(t)
			req := harness.newRequest(nil)
			harness.do(func() {
				first.reply(t, wire)
				c := harness.loop.pools["c1"].idle[0]
				waitUntil(t, "the arrival of bytes", func() bool { return c.checkNothingReceived() != nil })
				harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
			})
			second := receive(t, cache.commands, "command")
			if second.conn == first.conn {
				t.Error("the attempt used the connection that is out of step")
			}
			second.reply(t, otherServedReply)
			harness.wantOutcome(policy.Served)
			if got := string(receive(t, req.slot.reply, "reply")); got != "$7\r\nanother\r\n" {
				t.Errorf("the client got %q", got)
			}
			receive(t, cache.closed, "end of the connection that is out of step")
		})
	}
}

// TestUnreadCloseOfConnection checks that nothing is written to a connection that the cache has closed if
// the router has not read that close yet. The write would end in a reset, after which the request may have
// been executed. The attempt uses another connection, or ends with ConnectFailed if the closed connection
// was new.
func TestUnreadCloseOfConnection(t *testing.T) {
	for how, end := range connectionEnds {
		for name, isNew := range map[string]bool{"idle": false, "new": true} {
			t.Run(how+", "+name, func(t *testing.T) {
				cache := newFakeCache(t)
				harness := newLoopHarness(t, cache.addr(), nil)
				req := harness.newRequest(nil)
				addr, conns := nonReadingCache(t)
				nc, err := socket.Dial(socket.Linux{}, addr, testTimeout)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c := &upstreamConn{addr: cache.addr(), nc: nc} // no goroutine reads from it
				end(receive(t, conns, "connection"))
				waitUntil(t, "the end of the connection", func() bool { return c.checkNothingReceived() != nil })
				harness.do(func() {
					p := harness.loop.pools["c1"]
					c.pool, c.connectedAt = p, harness.loop.now
					if !isNew {
						p.loop.settleTime = 0
						c.attemptsWritten.Add(1)
					}
					harness.loop.upstreamConns++
					p.conns[c] = struct{}{}
					p.release(c)
					harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"})
				})
				if isNew {
					harness.wantOutcome(policy.ConnectFailed)
					harness.wantIdleConns(0)
					return
				}
				receive(t, cache.commands, "command on another connection").reply(t, servedReply)
				harness.wantOutcome(policy.Served)
			})
		}
	}
}

// TestCloseIdleConnections checks that the engine's action closes the idle connections to a cache.
func TestCloseIdleConnections(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.sendAttempt(harness.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.do(func() { harness.loop.perform(policy.CloseIdleConnections{Cache: "c1"}) })
	receive(t, cache.closed, "end of the idle connection")
}

// TestIdleConnectionsExpireBeforeServerKeepalive checks that the router closes an idle connection before the
// cache does at the end of its keepalive time.
func TestIdleConnectionsExpireBeforeServerKeepalive(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), func(c *config.Config) { c.Transport.Keepalive = 1000 })
	harness.sendAttempt(harness.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	receive(t, cache.closed, "end of the idle connection")
}
