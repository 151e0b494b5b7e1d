package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// hangingDiscovery replies to each call with the same bytes and leaves the connection open. It reports each
// call, and each connection that the router closes.
type hangingDiscovery struct {
	addr  string
	calls chan string
	ended chan struct{}
}

func newHangingDiscovery(t *testing.T, wire string) *hangingDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	d := &hangingDiscovery{ln.Addr().String(), make(chan string, 100), make(chan struct{}, 100)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go d.hang(nc, wire)
		}
	}()
	return d
}

func (d *hangingDiscovery) hang(nc net.Conn, wire string) {
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return // the router closed the connection before it sent a call
	}
	_, _ = io.WriteString(nc, wire) // fails only if the router has closed the connection
	d.calls <- req.URL.String()
	_, _ = io.Copy(io.Discard, nc) // until the router closes the connection
	d.ended <- struct{}{}
}

// TestMoveDiscoveryWhileCallsHang checks that an old call that hangs anywhere in its response does not delay
// the call after SIGHUP, even to the same address and after many moves in a row. The most recent old calls
// continue to run; the connections of earlier ones are closed.
func TestMoveDiscoveryWhileCallsHang(t *testing.T) {
	const moves = 5 + maxReplacedWatches
	for _, wire := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le", statusOK + "Content-Length: 100\r\n\r\n{\"index\":9,"} {
		d := newHangingDiscovery(t, wire)
		router := startRouter(t, testConfig(t, d.addr, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
		receive(t, d.calls, "call")
		started := time.Now()
		for move := range moves {
			router.srv.MoveDiscovery(d.addr)
			receive(t, d.calls, "call after a move")
			if move >= maxReplacedWatches {
				receive(t, d.ended, "end of the oldest call")
			}
		}
		if elapsed := time.Since(started); elapsed > 2*time.Second {
			t.Errorf("%q: %d moves took %v", wire, moves, elapsed)
		}
		for range moves {
			router.srv.MoveDiscovery(d.addr) // without waiting, so that some calls are cancelled before they are made
		}
		receive(t, d.calls, "call after many moves")
		(&loopHarness{t: t, loop: router.srv.loop}).do(func() {
			if !router.srv.loop.watching {
				t.Errorf("%q: no watch is open after many moves", wire)
			}
		})
	}
}
