package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
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

// TestFloodingPeers: peers that send much at once, half a command or rubbish get an answer or the end, also such that go
// at once; meanwhile others are answered, and afterwards nothing is held.
func TestFloodingPeers(t *testing.T) {
	const peers = 20
	large := encodeCommand("C.SET", "k1", "r1", "c=put,k=a,d=20000", strings.Repeat("v", maxValueSize))
	for name, flood := range map[string]struct {
		part        string // is sent over and over, ...
		bytes       int    // ... until so many have gone
		commandWait time.Duration
		goes        bool
	}{
		"without end":                {"\x01rubbish ", 60 << 20, 2 * testTimeout, false},
		"lines":                      {"rubbish\r\n", 60 << 20, 2 * testTimeout, false},
		"empty lines":                {"\r\n", 60 << 20, time.Second, false},
		"half a command":             {large[:len(large)-2], len(large) - 2, time.Second, false},
		"half a command, and goes":   {large[:len(large)-2], len(large) - 2, 2 * testTimeout, true},
		"many commands, and goes":    {getCommand("r1"), 2 * maxPipelined * len(getCommand("r1")), 2 * testTimeout, true},
		"large commands, and goes":   {large, 10 * len(large), 2 * testTimeout, true},
		"unread answers, and goes":   {encodeCommand("PING"), 8 << 20, 2 * testTimeout, true},
		"rubbish lines, and goes":    {"rubbish\r\n", 8 << 20, 2 * testTimeout, true},
		"commands without a pause":   {encodeCommand("PING"), 8 << 20, 2 * testTimeout, false},
		"what no client sends often": {encodeCommand("ECHO", "a"), 8 << 20, 2 * testTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
				in["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256}
			}, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = flood.commandWait
			srv.lateAcceptTime = 0
			router := startServer(t, srv)
			chunk := strings.Repeat(flood.part, max(1, min(flood.bytes, 64<<10)/len(flood.part)))
			var sending sync.WaitGroup
			var all []*testClient
			for range peers {
				c := dial(t, router.addr)
				all = append(all, c)
				sending.Add(1)
				go func() {
					defer sending.Done()
					if flood.goes {
						c.nc.SetWriteDeadline(time.Now().Add(time.Second)) // it reads nothing, and may come to a stop
						defer c.nc.Close()
					}
					for sent := 0; sent < flood.bytes; sent += len(chunk) {
						if _, err := io.WriteString(c.nc, chunk); err != nil {
							return // the router has ended it
						}
					}
				}()
			}
			other := dial(t, router.addr)
			other.send(encodeCommand("PING"))
			other.wantLine("+PONG")
			if !flood.goes {
				for _, c := range all {
					if s, err := c.reader.ReadString('\n'); errors.Is(err, os.ErrDeadlineExceeded) || err == nil && s[0] != '-' && s != "+PONG\r\n" {
						t.Errorf("a peer got %q, %v", s, err)
					}
					c.nc.Close()
				}
			}
			sending.Wait()
			other.nc.Close()
			waitUntil(t, "the end of all connections", func() bool { return srv.descriptors.clientConns.Load() <= 1 }) // the next one's
			if held := srv.memory.inUse.Load(); held != 0 {
				t.Errorf("%d bytes are still counted", held)
			}
			(&loopHarness{t, srv.loop, nil}).waitForOpenRequests(0)
			if strings.Contains(name, "rubbish") && len(cache.commands) > 0 {
				t.Error("rubbish was sent on")
			}
		})
	}
}

// TestShortCommandsAreChargedPerRequest: many that wait for their answers stay within the memory there is.
func TestShortCommandsAreChargedPerRequest(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 1
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 0
	}))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // answers nothing
	router := startServer(t, srv)
	due := func(want int64) func() bool {
		return func() bool {
			var due int64
			srv.mu.Lock()
			for c := range srv.clients {
				due += c.pendingReplies.Load()
			}
			srv.mu.Unlock()
			return due == want
		}
	}
	// Both wait for the answer to their first command, else one is refused all of its own and nothing is due there.
	clients := []*testClient{dial(t, router.addr), dial(t, router.addr)}
	for _, c := range clients {
		c.send(getCommand("r"))
	}
	waitUntil(t, "first commands", due(2))
	for _, c := range clients { // fewer than the queue of answers holds
		c.send(strings.Repeat(getCommand("r"), maxPipelined/2-1))
	}
	waitUntil(t, "commands", due(maxPipelined))
	open := make(chan int, 1)
	srv.loop.post(func() { open <- srv.loop.openRequests })
	if n := receive(t, open, "number of requests"); n > 256 {
		t.Errorf("%d requests are held in 256 KB", n)
	}
}

// TestShortRepliesPassWithFullMemoryBudget: a refusal or a PONG takes less than what would stand for it.
func TestShortRepliesPassWithFullMemoryBudget(t *testing.T) {
	for _, answer := range []string{busyReply, "-BUSY 1500\r\n", "+PONG\r\n"} {
		s := newReplySlot(newMemoryBudget(0))
		s.fill([]byte(answer))
		if got := string(<-s.reply); got != answer {
			t.Errorf("%q became %q", answer, got)
		}
	}
}
