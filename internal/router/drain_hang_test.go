package router

import (
	"strings"
	"testing"
	"time"
)

// TestDrainWithHangingCache checks that each request gets its final reply although the only cache hangs
// during the whole shutdown. It covers requests in flight, requests pipelined behind them, and requests on
// connections that are opened after SIGTERM.
func TestDrainWithHangingCache(t *testing.T) {
	cache := newFakeCache(t) // does not reply
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 2 * time.Second // long enough for a slow machine to connect after SIGTERM
	srv.drainTime = srv.lateAcceptTime
	router := startServer(t, srv)
	const pipelined = 20
	var clients []*testClient
	connect := func() {
		for range 20 {
			client := dial(t, router.addr)
			for range pipelined {
				client.send(getCommand("r"))
			}
			clients = append(clients, client)
		}
	}
	connect()
	receive(t, cache.commands, "command")
	router.stop()
	connect()
	for i, client := range clients {
		for range pipelined {
			if reply := client.readLine(); reply != "-ERR failed" && !strings.HasPrefix(reply, "-BUSY") {
				t.Fatalf("client %d: reply %q", i, reply)
			}
		}
		client.wantClosed()
	}
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainWaitsForStalledReply checks that the router does not end while a reply is being written, even
// after the time at which the last replies are due.
func TestDrainWaitsForStalledReply(t *testing.T) {
	srv := newServerWithCache(t)
	srv.loop.engine = &failingEngine{}
	srv.lateAcceptTime = 0
	srv.drainTime = time.Millisecond
	system := useFaultySystem(srv)
	write := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callWrite, write)
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	receive(t, write.reached, "write of the reply")
	client.send(getCommand("r2")) // stays unread, or is answered at once
	router.stop()
	waitUntil(t, "the end of reading", srv.noNewCommands.Load)
	select {
	case err := <-router.ended:
		t.Errorf("the router ended with %v before its reply was written", err)
	case <-time.After(killDelay): // SIGKILL may come later; until then the router has to deliver the reply
	}
	close(write.resume)
	client.wantLine("-ERR failed")
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}
