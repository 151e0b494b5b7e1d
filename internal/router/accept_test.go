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

// recoveringDiscovery answers nothing until it is up; then each watch it holds is told of.
func recoveringDiscovery(t *testing.T) (addr string, up *atomic.Bool, watches chan struct{}) {
	t.Helper()
	up, watches = new(atomic.Bool), make(chan struct{}, 100)
	addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request, over <-chan struct{}) {
		if !up.Load() {
			panic(http.ErrAbortHandler)
		}
		watches <- struct{}{}
		select {
		case <-over:
		case <-r.Context().Done():
		}
	})
	return addr, up, watches
}

// TestIdleClientsAreEvictedWhileDiscoveryIsDown: idle clients that fill the descriptors and queue for more give way at once,
// and nobody waits for them to read what they were never told. Requests are answered, also by a cache that has
// to be dialled again, none with work in hand gives way, and the watch opens at discovery's return.
func TestIdleClientsAreEvictedWhileDiscoveryIsDown(t *testing.T) {
	for _, descriptors := range []int{minSockets, 128, 256} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			cache := newFakeCache(t)
			discovery, up, watches := recoveringDiscovery(t)
			srv, err := New(testConfig(t, discovery, func(in map[string]any) {
				in["limits"].(map[string]any)["sockets"] = descriptors
				in["settings"].(map[string]any)["discovery"] = "push" // else the time between calls is long
			}, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.lateAcceptTime = 0
			srv.firstCommandGrace = 10 * time.Millisecond
			srv.lingerTime = 2 * testTimeout
			router := startServer(t, srv)
			busy := dial(t, router.addr)
			busy.send(getCommand("busy"))
			held := receive(t, cache.commands, "command")
			for range 400 {
				dial(t, router.addr)
			}
			for i := range 20 {
				client := dial(t, router.addr)
				client.send(getCommand(fmt.Sprint("r", i)))
				cmd := receive(t, cache.commands, "command")
				cmd.reply(t, servedReply)
				client.wantLine("value")
				client.nc.Close()
				if i == 10 {
					cmd.conn.Close() // as the cache restarts
					waitUntil(t, "news of it", func() bool {
						conns := make(chan int, 1)
						srv.loop.post(func() { conns <- srv.loop.upstreamConns })
						return receive(t, conns, "number of connections") == 1 // the one that is held
					})
				}
			}
			up.Store(true)
			receive(t, watches, "watch")
			held.reply(t, servedReply)
			busy.wantLine("value")
		})
	}
}

// TestIdleClientsAreEvicted: clients that hold connections without using them don't shut out others.
func TestIdleClientsAreEvicted(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, endpointJSON("c1", cache.addr(), "in_service")))
	busy := dial(t, router.addr)
	busy.send(getCommand("r1"))
	cmd := receive(t, cache.commands, "command")
	var all []*testClient
	for range 4 * int(router.srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(encodeCommand("PING"))
		client.wantLine("+PONG")
		all = append(all, client)
	}
	all[0].wantClosed()
	cmd.reply(t, servedReply) // one with work in hand is left alone
	busy.wantLine("value")
}

// TestFreedDescriptorIsReusedAtOnce: a descriptor that comes free lets the next client in, with no pause.
func TestFreedDescriptorIsReusedAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
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

// exhaustedListener is a listener that has no descriptors for a while.
type exhaustedListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (e *exhaustedListener) Accept() (net.Conn, error) {
	if e.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

// TestOutOfDescriptors: EMFILE does not end the accept loop.
func TestOutOfDescriptors(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	ln := &exhaustedListener{Listener: srv.listener}
	ln.failuresLeft.Store(3)
	srv.listener = ln
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	if left := ln.failuresLeft.Load(); left > 0 {
		t.Errorf("%d failures to come", left)
	}
}

// TestNewConnectionIsNotEvicted: its first command is under way, and closing it loses that.
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
	if srv.longestIdle() != nil {
		t.Error("it is closed before its first command")
	}
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	waitUntil(t, "an idle connection", func() bool { return srv.longestIdle() != nil })
}
