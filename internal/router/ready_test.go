package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readyTimeout is the time after its start within which a router has to answer PING with PONG.
const readyTimeout = 10 * time.Second

// wantReady checks that a router that was started at the given time becomes ready in time.
func (c *testClient) wantReady(started time.Time) {
	c.t.Helper()
	c.send(encodeCommand("PING"))
	c.wantLine("+PONG")
	if took := time.Since(started); took >= readyTimeout {
		c.t.Errorf("ready after %v", took)
	}
}

// TestReadyBehindConnectionBacklog checks that a router becomes ready although many connections are queued in
// front, whether or not their clients send anything. None of these clients reacts when the router closes its
// connection.
func TestReadyBehindConnectionBacklog(t *testing.T) {
	for name, wire := range map[string]string{
		"silent":          "",
		"PING":            encodeCommand("PING"),
		"partial command": "*4\r\n$5\r\nC.G",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv, err := New(testConfig(t, silentDiscovery(t), withMinSockets,
				endpointJSON("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			addr := srv.listener.Addr().String()
			for range 10 * srv.descriptors.maxClientConns {
				dial(t, addr).send(wire)
			}
			client := dial(t, addr)
			started := time.Now()
			startServer(t, srv)
			client.wantReady(started)
		})
	}
}

// unavailableDiscovery serves endpoint lists once it is up. Before that it leaves calls unanswered or
// aborts them.
type unavailableDiscovery struct {
	addr           string
	callsWhileDown chan string // their queries
	up             chan struct{}
	callsWhileUp   chan discoveryCall
}

func newUnavailableDiscovery(t *testing.T, silent bool) *unavailableDiscovery {
	t.Helper()
	d := &unavailableDiscovery{
		callsWhileDown: make(chan string, 1000),
		up:             make(chan struct{}),
		callsWhileUp:   make(chan discoveryCall, 1000),
	}
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request, done <-chan struct{}) {
		c := discoveryCall{r.URL.String(), make(chan string, 1)}
		select {
		case <-d.up:
			d.callsWhileUp <- c
		default:
			d.callsWhileDown <- c.query
			if !silent {
				panic(http.ErrAbortHandler)
			}
		}
		select {
		case body := <-c.reply:
			_, _ = fmt.Fprint(w, body) // the router may have closed the connection
		case <-done:
		case <-r.Context().Done():
		}
	})
	return d
}

// TestReadyWithDiscoveryDown checks that the endpoints known from the configuration, however many they are,
// suffice for a router to become ready while discovery is down.
func TestReadyWithDiscoveryDown(t *testing.T) {
	for name, addr := range map[string]string{
		"connection refused": "127.0.0.1:1",
		"unreachable":        unreachableAddr(t),
		"silent":             newUnavailableDiscovery(t, true).addr,
		"aborts calls":       newUnavailableDiscovery(t, false).addr,
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []int{1, fleetSize} {
				t.Run(fmt.Sprint(name, ", ", mode, ", ", known), func(t *testing.T) {
					t.Parallel()
					started := time.Now()
					router := startRouter(t, testConfig(t, addr, func(in map[string]any) {
						in["settings"].(map[string]any)["discovery"] = mode
					}, manyEndpoints(known, "127.0.0.1:1")...))
					dial(t, router.addr).wantReady(started)
				})
			}
		}
	}
}

// TestReadyOnceDiscoveryIsUp checks that a router without a known cache becomes ready once discovery is up,
// although its first call is never answered, and that it is not ready before it knows a cache.
func TestReadyOnceDiscoveryIsUp(t *testing.T) {
	for _, silent := range []bool{true, false} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for name, known := range map[string]string{
				"no list":      "null",
				"empty list":   endpointListJSON(41, true),
				"all draining": endpointListJSON(41, true, endpointJSON("c1", "127.0.0.1:1", "terminating")),
			} {
				t.Run(fmt.Sprint("silent ", silent, ", ", mode, ", ", name), func(t *testing.T) {
					t.Parallel()
					d := newUnavailableDiscovery(t, silent)
					started := time.Now()
					router := startRouter(t, testConfig(t, d.addr, func(in map[string]any) {
						in["known"] = json.RawMessage(known)
						settings := in["settings"].(map[string]any)
						settings["discovery"] = mode
						settings["rules"].(map[string]any)["askEvery"] = 1_000_000
					}))
					if query := receive(t, d.callsWhileDown, "call"); query != "/discovery/hosts" {
						t.Errorf("call %s, want one for a snapshot without a wait", query)
					}
					client := dial(t, router.addr)
					client.send(encodeCommand("PING"))
					if got := client.readLine(); !strings.HasPrefix(got, "-LOADING") {
						t.Errorf("reply %q", got)
					}
					close(d.up)
					receive(t, d.callsWhileUp, "call").reply <- endpointListJSON(43, true,
						endpointJSON("c1", "127.0.0.1:1", "in_service"))
					receive(t, d.callsWhileUp, "next call")
					(&loopHarness{t: t, loop: router.srv.loop}).do(func() {}) // the router has applied the list
					client.wantReady(started)
				})
			}
		}
	}
}
