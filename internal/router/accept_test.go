package router

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestIdleClientsAreEvicted checks that idle clients that use up the descriptors do not keep others from
// connecting.
func TestIdleClientsAreEvicted(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), withMinSockets,
		endpointJSON("c1", cache.addr(), "in_service")))
	busy := dial(t, router.addr)
	busy.send(getCommand("r1"))
	cmd := receive(t, cache.commands, "command")
	var clients []*testClient
	for range 4 * int(router.srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(encodeCommand("PING"))
		client.wantLine("+PONG")
		clients = append(clients, client)
	}
	clients[0].wantClosed()
	cmd.reply(t, servedReply) // a client with a request in flight is not evicted
	busy.wantLine("value")
}

// TestFreedDescriptorIsReusedAtOnce checks that the next client is accepted without a backoff once a
// descriptor is released.
func TestFreedDescriptorIsReusedAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), withMinSockets, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.acceptBackoff = 2 * testTimeout
	router := startServer(t, srv)
	for range 4 * int(srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(encodeCommand("PING"))
		client.readLine()
	}
}

// exhaustedListener fails its first calls of Accept for lack of descriptors.
type exhaustedListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestOutOfDescriptors checks that EMFILE does not end the accept loop.
func TestOutOfDescriptors(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	listener := &exhaustedListener{Listener: srv.listener}
	listener.failuresLeft.Store(3)
	srv.listener = listener
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	if left := listener.failuresLeft.Load(); left > 0 {
		t.Errorf("%d failures have not occurred", left)
	}
}

// TestNewConnectionIsNotEvicted checks that a new connection is not evicted while its first command is
// probably in transit.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.firstCommandGrace = 2 * testTimeout
	router := startServer(t, srv)
	client := dial(t, router.addr)
	waitUntil(t, "a client", func() bool {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return len(srv.clients) == 1
	})
	if srv.longestIdleClient(0) != nil {
		t.Error("a connection may be evicted before its first command")
	}
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	waitUntil(t, "an idle connection", func() bool { return srv.longestIdleClient(0) != nil })
}

// recoveringDiscovery starts a discovery service that aborts calls until up is set. After that it leaves
// watches open and reports each.
func recoveringDiscovery(t *testing.T) (addr string, up *atomic.Bool, watches chan struct{}) {
	t.Helper()
	up = new(atomic.Bool)
	watches = make(chan struct{}, 100)
	addr = serveHTTP(t, func(_ http.ResponseWriter, r *http.Request, done <-chan struct{}) {
		if !up.Load() {
			panic(http.ErrAbortHandler)
		}
		watches <- struct{}{}
		waitForCallEnd(r, done)
	})
	return addr, up, watches
}

// TestIdleClientsAreEvictedWhileDiscoveryIsDown checks that idle clients that use up the descriptors, with
// more of them queued, are evicted at once: the router does not wait until they read replies that were
// never sent. Requests are answered, also after the connection to the cache has to be dialed again, no
// client with a request in flight is evicted, and the watch opens once discovery is available.
func TestIdleClientsAreEvictedWhileDiscoveryIsDown(t *testing.T) {
	for _, descriptors := range []int{minSockets, 128, 256} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			cache := newFakeCache(t)
			discovery, up, watches := recoveringDiscovery(t)
			srv, err := New(testConfig(t, discovery, func(in map[string]any) {
				in["limits"].(map[string]any)["sockets"] = descriptors
				in["settings"].(map[string]any)["discovery"] = "push" // otherwise the router polls at long intervals
			}, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.lateAcceptTime = 0
			srv.firstCommandGrace = 10 * time.Millisecond
			srv.lingerTime = 2 * testTimeout
			router := startServer(t, srv)
			harness := &loopHarness{t, srv.loop, nil}
			busy := dial(t, router.addr)
			busy.send(getCommand("busy"))
			inFlight := receive(t, cache.commands, "command")
			for range 400 {
				dial(t, router.addr)
			}
			for i := range 20 {
				client := dial(t, router.addr)
				client.send(getCommand(fmt.Sprint("r", i)))
				cmd := harness.receiveCommand(cache)
				cmd.reply(t, servedReply)
				client.wantLine("value")
				client.close()
				if i == 10 {
					cmd.conn.Close() // simulates a restart of the cache
					waitUntil(t, "the end of the connection", func() bool {
						conns := make(chan int, 1)
						srv.loop.post(func() { conns <- srv.loop.upstreamConns })
						return receive(t, conns, "number of connections") == 1 // that of the request in flight
					})
				}
			}
			up.Store(true)
			receive(t, watches, "watch")
			inFlight.reply(t, servedReply)
			busy.wantLine("value")
		})
	}
}
