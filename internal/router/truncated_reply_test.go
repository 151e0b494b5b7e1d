package router

import (
	"net"
	"strings"
	"testing"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// connectionEnds are the ways in which a peer ends a connection.
var connectionEnds = map[string]func(net.Conn){
	"reset": func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetLinger(0) // fails only on a connection that is closed already
		nc.Close()
	},
	"closed": func(nc net.Conn) { nc.Close() },
}

// truncatedReplies are proper beginnings of replies.
var truncatedReplies = map[string]string{
	"nothing":                    "",
	"type":                       "*",
	"array header":               "*3\r\n",
	"length":                     "*3\r\n$",
	"value":                      "*3\r\n$5\r\nval",
	"value without line end":     "*3\r\n$5\r\nvalue",
	"half of a line end":         "*3\r\n$5\r\nvalue\r",
	"first element":              "*3\r\n$5\r\nvalue\r\n",
	"length of the status":       "*3\r\n$5\r\nvalue\r\n$3\r\n",
	"null without line end":      "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1",
	"all but the last byte":      servedReply[:len(servedReply)-1],
	"error line":                 "-ERR fai",
	"rejection without line end": "-BUSY",
	"rejection, half a line end": "-BUSY\r",
	"bulk string":                "$5\r\nval",
	"large value":                "*3\r\n$65536\r\n" + strings.Repeat("v", resp.MaxValueSize/2),
}

// TestTruncatedReplyIsConnectionLost: the attempt may have been executed, however much of the reply has arrived.
func TestTruncatedReplyIsConnectionLost(t *testing.T) {
	for how, end := range connectionEnds {
		for name, wire := range truncatedReplies {
			t.Run(name+", "+how, func(t *testing.T) {
				cache := newFakeCache(t)
				r := newLoopHarness(t, cache.addr(), nil)
				q := r.newRequest(nil)
				r.sendAttempt(q, longTimeout)
				cmd := receive(t, cache.commands, "command")
				cmd.reply(t, wire)
				end(cmd.conn)
				if o := r.wantOutcome(policy.ConnectionLost); o.Final {
					t.Error("the request is done")
				}
				r.do(func() {
					if len(q.slot.reply) > 0 || r.loop.upstreamConns != 0 {
						t.Errorf("%d replies to the client, %d connections", len(q.slot.reply), r.loop.upstreamConns)
					}
				})
			})
		}
	}
}

// TestIdempotentRequestIsRetriedAfterTruncatedReply: another server gets it, and the client gets one complete reply.
func TestIdempotentRequestIsRetriedAfterTruncatedReply(t *testing.T) {
	for how, end := range connectionEnds {
		for name, wire := range truncatedReplies {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				caches := []*fakeCache{newFakeCache(t), newFakeCache(t)}
				r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", caches[0].addr(), "in_service"),
					endpointJSON("c2", caches[1].addr(), "in_service")))
				c := dial(t, r.addr)
				c.send(getCommand("r1") + encodeCommand("PING"))
				var first, second fakeCommand
				other := caches[1]
				select {
				case first = <-caches[0].commands:
				case first = <-caches[1].commands:
					other = caches[0]
				case <-time.After(testTimeout):
					t.Fatal("no command came")
				}
				first.reply(t, wire)
				end(first.conn)
				second = receive(t, other.commands, "command at the other server")
				second.reply(t, otherServedReply)
				c.wantLine("another")
				c.wantLine("+PONG")
			})
		}
	}
}
