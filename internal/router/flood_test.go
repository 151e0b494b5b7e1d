package router

import (
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

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
