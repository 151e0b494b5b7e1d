package router

import (
	"testing"

	"marlstage/internal/config"
	"marlstage/internal/socket"
	"marlstage/policy"
)

// newHarnessWithIdleConn returns a rig with an idle connection that has settled, and the command that it carried.
func newHarnessWithIdleConn(t *testing.T) (*loopHarness, *fakeCache, fakeCommand) {
	t.Helper()
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() { r.loop.settleTime = 0 })
	r.sendAttempt(r.newRequest(nil), longTimeout)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	return r, cache, first
}

// TestUnexpectedBytesOnIdleConnection: replies on such a connection can't be assigned to requests any more, so the next
// attempt gets another one, whether the bytes have been read by then or not.
func TestUnexpectedBytesOnIdleConnection(t *testing.T) {
	for name, wire := range map[string]string{"half a line": "-ER", "half a reply": "*3\r\n$5\r\nval", "one byte": "*"} {
		t.Run(name, func(t *testing.T) {
			r, cache, first := newHarnessWithIdleConn(t)
			q := r.newRequest(nil)
			r.do(func() {
				first.reply(t, wire)
				c := r.loop.pools["c1"].idle[0]
				waitUntil(t, "bytes", func() bool { return c.checkNothingReceived() != nil })
				r.loop.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			second := receive(t, cache.commands, "command")
			if second.conn == first.conn {
				t.Error("the connection that is out of step carried it")
			}
			second.reply(t, otherServedReply)
			r.wantOutcome(policy.Served)
			if got := string(receive(t, q.slot.reply, "answer")); got != "$7\r\nanother\r\n" {
				t.Errorf("the client got %q", got)
			}
			receive(t, cache.closed, "end of the connection that is out of step")
		})
	}
}

// TestUnreadEndOfConnection: a write to a connection whose end has not been read yet would count as a reset after which
// the request may have been executed. The attempt gets another connection, or fails to connect if this one was new.
func TestUnreadEndOfConnection(t *testing.T) {
	for how, end := range connectionEnds {
		for name, fresh := range map[string]bool{"idle": false, "new": true} {
			t.Run(how+", "+name, func(t *testing.T) {
				cache := newFakeCache(t)
				r := newLoopHarness(t, cache.addr(), nil)
				q := r.newRequest(nil)
				addr, conns := nonReadingCache(t)
				nc, err := socket.Dial(socket.Linux{}, addr, testTimeout)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c := &upstreamConn{addr: cache.addr(), nc: nc} // without a reader
				end(receive(t, conns, "connection"))
				waitUntil(t, "the end", func() bool { return c.checkNothingReceived() != nil })
				r.do(func() {
					p := r.loop.pools["c1"]
					c.pool, c.connectedAt = p, r.loop.now
					if !fresh {
						p.loop.settleTime = 0
						c.attemptsWritten.Add(1)
					}
					r.loop.upstreamConns++
					p.conns[c] = struct{}{}
					p.release(c)
					r.loop.perform(policy.Send{ID: q.id, Cache: "c1"})
				})
				if fresh {
					r.wantOutcome(policy.ConnectFailed)
					r.wantIdleConns(0)
					return
				}
				receive(t, cache.commands, "command on another connection").reply(t, servedReply)
				r.wantOutcome(policy.Served)
			})
		}
	}
}

func TestCloseIdleConnections(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.do(func() { r.loop.perform(policy.CloseIdleConnections{Cache: "c1"}) })
	receive(t, cache.closed, "end of the idle connection")
}

func TestIdleConnectionsExpireBeforeServerKeepalive(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *config.Config) { c.Transport.Keepalive = 1000 })
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
	receive(t, cache.closed, "end of the idle connection")
}
