package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// truncatingDiscovery runs a discovery service that replies to each call with the same bytes and then ends
// the connection with end. The channel receives the URL of each call.
func truncatingDiscovery(t *testing.T, wire string, end func(net.Conn)) (addr string, calls chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls = make(chan string, 1000)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(nc))
			if err == nil {
				_, _ = io.WriteString(nc, wire) // the router may have closed the connection as the test ends
				calls <- req.URL.String()
			}
			end(nc)
		}
	}()
	return ln.Addr().String(), calls
}

const statusOK = "HTTP/1.1 200 OK\r\n"

// TestTruncatedEndpointList checks that no truncated list is accepted. A list without a length is complete
// at an orderly end of the connection. A reset is not an orderly end, even after bytes that parse as a
// list, and an end before the announced length is reached leaves the list incomplete.
func TestTruncatedEndpointList(t *testing.T) {
	body := endpointListJSON(9, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	length := fmt.Sprintf(statusOK+"Content-Length: %d\r\n\r\n", len(body))
	chunked := statusOK + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for _, c := range []struct {
		name, wire      string
		complete        bool // if the connection is closed in an orderly way
		completeAtReset bool // if it is reset, as all announced bytes have arrived
	}{
		{"without a length", statusOK + "Connection: close\r\n\r\n" + body, true, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + body, true, false},
		{"without a length, truncated", statusOK + "Connection: close\r\n\r\n" + body[:len(body)-1], false, false},
		{"without a length, empty", statusOK + "Connection: close\r\n\r\n", false, false},
		{"chunked, complete", chunked + chunk + "0\r\n\r\n", true, true},
		{"chunked, without last chunk", chunked + chunk, false, false},
		{"chunked, with half the last chunk", chunked + chunk + "0\r\n", false, false},
		{"chunked, truncated", chunked + chunk[:len(chunk)/2], false, false},
		{"with a length, complete", length + body, true, true},
		{"with a length, truncated", length + body[:len(body)-1], false, false},
		{"header, truncated", length[:len(length)-3], false, false},
	} {
		for how, end := range connectionEnds {
			t.Run(c.name+", "+how, func(t *testing.T) {
				addr, calls := truncatingDiscovery(t, c.wire, end)
				h, err := newDiscoveryClient(testConfig(t, addr, nil)).Poll(context.Background(), 5)
				receive(t, calls, "call")
				switch complete := how == "closed" && c.complete; {
				case complete && (err != nil || h.Version != 9):
					t.Errorf("a complete list: %v", err)
				case how == "reset" && c.completeAtReset: // either result is right: the reset may discard unread bytes
				case !complete && err == nil:
					t.Errorf("an incomplete list was accepted: %+v", h)
				}
			})
		}
	}
}

// TestWatchResumesAfterTruncatedEndpointList checks that the next watch, after the backoff for one
// failure, asks for changes since the known version. A truncated list must not count as received.
func TestWatchResumesAfterTruncatedEndpointList(t *testing.T) {
	body := endpointListJSON(9, true, endpointJSON("c2", "127.0.0.1:1", "in_service"))
	for how, end := range connectionEnds {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(how+", "+mode, func(t *testing.T) {
				wire := statusOK + "Connection: close\r\n\r\n" + body
				if how == "closed" {
					wire = wire[:len(wire)-1]
				}
				addr, calls := truncatingDiscovery(t, wire, end)
				cfg := testConfig(t, addr, func(in map[string]any) {
					settings := in["settings"].(map[string]any)
					settings["discovery"] = mode
					settings["rules"].(map[string]any)["askEvery"] = 1_000_000
				}, endpointJSON("c1", "127.0.0.1:1", "in_service"))
				r := startRouter(t, cfg)
				harness := &loopHarness{t: t, loop: r.srv.loop}
				for range 3 {
					if query := receive(t, calls, "call"); !strings.Contains(query, "?after=1&") {
						t.Errorf("call %s", query)
					}
				}
				harness.do(func() {
					if r.srv.loop.endpointsVersion != 1 || r.srv.loop.pools["c2"] != nil {
						t.Errorf("the truncated list was accepted: version %d", r.srv.loop.endpointsVersion)
					}
				})
			})
		}
	}
}
