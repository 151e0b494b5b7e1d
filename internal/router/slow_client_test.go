package router

import (
	"io"
	"strings"
	"testing"
	"time"

	"marlstage/internal/resp"
)

// TestSlowClientWrites checks that a client is served if its command is complete within the command timeout,
// and gets an error otherwise. Receiving a byte does not restart the timeout.
func TestSlowClientWrites(t *testing.T) {
	for name, inTime := range map[string]bool{"in time": true, "too late": false} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = testTimeout
			wire := getCommand("r1")
			if !inTime {
				srv.commandTimeout = 300 * time.Millisecond
				wire = encodeCommand("C.GET", strings.Repeat("k", resp.MaxArgumentSize), "r1", "c=read,d=20000")
			}
			client := dial(t, startServer(t, srv).addr)
			client.send(encodeCommand("PING"))
			client.wantLine("+PONG")
			ticker := time.NewTicker(10 * time.Millisecond) // the long command takes ten seconds
			defer ticker.Stop()
			go func() {
				for i := range len(wire) {
					if _, err := io.WriteString(client.nc, wire[i:i+1]); err != nil {
						return
					}
					<-ticker.C
				}
			}()
			if !inTime {
				if got := client.readLine(); !strings.HasPrefix(got, "-ERR ") {
					t.Errorf("reply %q", got)
				}
				client.wantClosed()
				if len(cache.commands) > 0 {
					t.Error("the command was forwarded")
				}
				return
			}
			receive(t, cache.commands, "command").reply(t, servedReply)
			client.wantLine("value")
		})
	}
}

// TestPartialCommandBehindRequest checks that the timeout of a partial command also applies behind requests
// in flight, and on a connection that is to be closed after them. The error follows their replies.
func TestPartialCommandBehindRequest(t *testing.T) {
	for name, draining := range map[string]bool{"serving": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = 200 * time.Millisecond
			client := dial(t, startServer(t, srv).addr)
			wire := getCommand("r1")
			client.send(wire + wire[:len(wire)-5])
			inFlight := receive(t, cache.commands, "command")
			if draining {
				srv.closeIdleClients()
			}
			waitUntil(t, "the reply to a partial command", func() bool {
				srv.mu.Lock()
				defer srv.mu.Unlock()
				for c := range srv.clients {
					return c.pendingReplies.Load() == 2
				}
				return false
			})
			inFlight.reply(t, servedReply)
			client.wantLine("value")
			if got := client.readLine(); !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("reply %q", got)
			}
			client.wantClosed()
		})
	}
}
