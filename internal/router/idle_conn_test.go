package router

import (
	"testing"

	"marlstage/policy"
)

// newRigWithIdleConn returns a rig with an idle connection that has settled, and the command that it carried.
func newRigWithIdleConn(t *testing.T) (*rig, *fakeCache, fakeCommand) {
	t.Helper()
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.settleTime = 0 })
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(policy.Served)
	return r, cache, first
}

// TestUnexpectedBytesOnIdleConnection: replies on such a connection can't be assigned to requests any more, so the next
// attempt gets another one, whether the bytes have been read by then or not.
func TestUnexpectedBytesOnIdleConnection(t *testing.T) {
	for name, wire := range map[string]string{"half a line": "-ER", "half a reply": "*3\r\n$5\r\nval", "one byte": "*"} {
		t.Run(name, func(t *testing.T) {
			r, cache, first := newRigWithIdleConn(t)
			q := r.request(nil)
			r.do(func() {
				first.reply(t, wire)
				c := r.l.pools["c1"].idle[0]
				await(t, "bytes", func() bool { return !c.isSilent() })
				r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			second := receive(t, cache.commands, "command")
			if second.conn == first.conn {
				t.Error("the connection that is out of step carried it")
			}
			second.reply(t, another)
			r.want(policy.Served)
			if got := string(receive(t, q.slot.reply, "answer")); got != "$7\r\nanother\r\n" {
				t.Errorf("the client got %q", got)
			}
			receive(t, cache.ended, "end of the connection that is out of step")
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
				r := newRig(t, cache.addr(), nil)
				q := r.request(nil)
				addr, conns := nonReadingServer(t)
				nc, raw, err := dialTCP(addr, patience)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c := &upstreamConn{addr: cache.addr(), nc: nc, raw: raw} // without a reader
				end(receive(t, conns, "connection"))
				await(t, "the end", func() bool { return !c.isSilent() })
				r.do(func() {
					p := r.l.pools["c1"]
					c.pool, c.connectedAt = p, r.l.now
					if !fresh {
						p.loop.settleTime = 0
						c.sequence.Add(1)
					}
					r.l.upstreamConns++
					p.conns[c] = struct{}{}
					p.release(c)
					r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
				})
				if fresh {
					r.want(policy.ConnectFailed)
					r.wantIdleConns(0)
					return
				}
				receive(t, cache.commands, "command on another connection").reply(t, served)
				r.want(policy.Served)
			})
		}
	}
}

func TestCloseIdleConnections(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(policy.Served)
	r.do(func() { r.l.perform(policy.CloseIdleConnections{Cache: "c1"}) })
	receive(t, cache.ended, "end of the idle connection")
}

func TestIdleConnectionsExpireBeforeServerKeepalive(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Transport.Keepalive = 1000 })
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(policy.Served)
	receive(t, cache.ended, "end of the idle connection")
}
