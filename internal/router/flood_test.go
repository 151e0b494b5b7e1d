package router

import (
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"marlstage/internal/resp"
)

const (
	floodPeers      = 20
	floodChunkSize  = 64 << 10    // maximum number of bytes sent with one write
	floodSendWindow = time.Second // time after which a peer that disconnects stops sending
)

// flood describes what each of many peers sends to a router without reading replies.
type flood struct {
	pattern        string // sent repeatedly
	bytes          int    // number of bytes after which the peer stops sending
	commandTimeout time.Duration
	disconnects    bool // the peer disconnects once it has sent all bytes or floodSendWindow is over
}

// TestFloodingPeers checks that peers that send a lot of bytes at once, partial commands or invalid commands
// get a reply or the end of their connection. Other clients are answered in the meantime, and all memory and
// descriptors are released afterwards, also if the peers disconnect without reading.
func TestFloodingPeers(t *testing.T) {
	const unlimited = 2 * testTimeout
	ping := encodeCommand("PING")
	large := encodeCommand("C.SET", "k1", "r1", "c=put,k=a,d=20000", strings.Repeat("v", resp.MaxValueSize))
	partial := large[:len(large)-2]
	for name, flood := range map[string]flood{
		"rubbish without end":              {"\x01rubbish ", 60 << 20, unlimited, false},
		"rubbish lines":                    {"rubbish\r\n", 60 << 20, unlimited, false},
		"empty lines":                      {"\r\n", 60 << 20, time.Second, false},
		"partial command":                  {partial, len(partial), time.Second, false},
		"partial command, then disconnect": {partial, len(partial), unlimited, true},
		"many commands, then disconnect":   {getCommand("r1"), 2 * maxPipelined * len(getCommand("r1")), unlimited, true},
		"large commands, then disconnect":  {large, 10 * len(large), unlimited, true},
		"unread replies, then disconnect":  {ping, 8 << 20, unlimited, true},
		"rubbish lines, then disconnect":   {"rubbish\r\n", 8 << 20, unlimited, true},
		"commands without a pause":         {ping, 8 << 20, unlimited, false},
		"unknown commands without a pause": {encodeCommand("ECHO", "a"), 8 << 20, unlimited, false},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
				in["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256}
			}, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = flood.commandTimeout
			srv.lateAcceptTime = 0
			router := startServer(t, srv)
			var sending sync.WaitGroup
			var peers []*testClient
			for range floodPeers {
				peer := dial(t, router.addr)
				peers = append(peers, peer)
				sending.Go(func() { flood.send(peer) })
			}
			other := dial(t, router.addr)
			other.send(encodeCommand("PING"))
			other.wantLine("+PONG")
			if !flood.disconnects {
				for _, peer := range peers {
					peer.wantReplyOrClose()
					peer.close()
				}
			}
			sending.Wait()
			other.close()
			waitUntil(t, "the end of all connections", func() bool {
				return srv.descriptors.clientConns.Load() <= 1 // the accept loop holds one for the next connection
			})
			if inUse := srv.memory.inUse.Load(); inUse != 0 {
				t.Errorf("%d bytes are still charged to the memory budget", inUse)
			}
			(&loopHarness{t, srv.loop, nil}).waitForOpenRequests(0)
			if strings.Contains(name, "rubbish") && len(cache.commands) > 0 {
				t.Error("rubbish was forwarded")
			}
		})
	}
}

// send sends the flood until the router closes the connection.
func (f *flood) send(peer *testClient) {
	if f.disconnects {
		defer peer.close()
		// The peer does not read, so the router may stop reading as well.
		if err := peer.nc.SetWriteDeadline(time.Now().Add(floodSendWindow)); err != nil {
			peer.t.Error(err)
		}
	}
	chunk := strings.Repeat(f.pattern, max(1, min(f.bytes, floodChunkSize)/len(f.pattern)))
	for sent := 0; sent < f.bytes; sent += len(chunk) {
		if _, err := io.WriteString(peer.nc, chunk); err != nil {
			return
		}
	}
}

// wantReplyOrClose checks that the router sends an error or PONG, or closes the connection.
func (c *testClient) wantReplyOrClose() {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && line[0] != '-' && line != "+PONG\r\n" {
		c.t.Errorf("a peer got %q, %v", line, err)
	}
}
