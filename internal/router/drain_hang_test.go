package router

import (
	"strings"
	"testing"
	"time"
)

// TestDrainWithHangingCache checks that each request gets its final answer where the only cache hangs
// through the whole shutdown: requests in flight, those behind them on their connections, and those
// of connections that are opened after SIGTERM.
func TestDrainWithHangingCache(t *testing.T) {
	cache := newFakeCache(t) // does not reply
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 2 * time.Second // for a slow machine to connect after SIGTERM
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

// TestDrainWaitsForStalledReply checks that the router does not end while a reply is being written,
// though its last replies were due.
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
	case <-time.After(killDelay): // SIGKILL may come later, and the reply is owed until then
	}
	close(write.resume)
	client.wantLine("-ERR failed")
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}
