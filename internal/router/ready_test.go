package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readyTime is within how long of its start a router has to answer PING with PONG.
const readyTime = 10 * time.Second

func (c *testClient) wantReady(begun time.Time) {
	c.t.Helper()
	c.send(encodeCommand("PING"))
	c.wantLine("+PONG")
	if took := time.Since(begun); took >= readyTime {
		c.t.Errorf("ready after %v", took)
	}
}

// TestReadyBehindConnectionBacklog that came before it, whether its connections say something or nothing: none of them
// heeds the router's end of its connection.
func TestReadyBehindConnectionBacklog(t *testing.T) {
	for name, wire := range map[string]string{"silent": "", "PING": encodeCommand("PING"), "half a command": "*4\r\n$5\r\nC.G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
				in["limits"].(map[string]any)["sockets"] = minSockets
			}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			addr := srv.listener.Addr().String()
			for range 10 * srv.descriptors.maxClientConns {
				dial(t, addr).send(wire)
			}
			client := dial(t, addr)
			begun := time.Now()
			startServer(t, srv)
			client.wantReady(begun)
		})
	}
}

// unavailableDiscovery serves the list once it is up; before that it takes calls and does not answer them, or
// ends their connections.
type unavailableDiscovery struct {
	addr           string
	callsWhileDown chan string // a call that came while it was down
	up             chan struct{}
	callsWhileUp   chan call // those that came afterwards
}

func newUnavailableDiscovery(t *testing.T, silent bool) *unavailableDiscovery {
	t.Helper()
	d := &unavailableDiscovery{callsWhileDown: make(chan string, 1000), up: make(chan struct{}), callsWhileUp: make(chan call, 1000)}
	d.addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request, over <-chan struct{}) {
		c := call{r.URL.String(), make(chan string, 1)}
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
			fmt.Fprint(w, body)
		case <-over:
		case <-r.Context().Done():
		}
	})
	return d
}

// TestReadyWithDiscoveryDown: the list that the router had last is enough, however long it is.
func TestReadyWithDiscoveryDown(t *testing.T) {
	for name, addr := range map[string]string{"refuses": "127.0.0.1:1", "never comes up": unreachable(t),
		"silent": newUnavailableDiscovery(t, true).addr, "breaks off": newUnavailableDiscovery(t, false).addr} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []int{1, fleetSize} {
				t.Run(fmt.Sprint(name, ", ", mode, ", ", known), func(t *testing.T) {
					t.Parallel()
					begun := time.Now()
					router := startRouter(t, testConfig(t, addr, func(in map[string]any) {
						in["settings"].(map[string]any)["discovery"] = mode
					}, manyEndpoints(known, "127.0.0.1:1")...))
					dial(t, router.addr).wantReady(begun)
				})
			}
		}
	}
}

// TestReadyOnceDiscoveryIsUp, where no cache was known: the call that was out before then is never answered, and
// the router is not used before it knows of a cache.
func TestReadyOnceDiscoveryIsUp(t *testing.T) {
	for _, silent := range []bool{true, false} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for name, known := range map[string]string{"no list": "null", "empty list": endpointListJSON(41, true),
				"all drain": endpointListJSON(41, true, endpointJSON("c1", "127.0.0.1:1", "terminating"))} {
				t.Run(fmt.Sprint("silent ", silent, ", ", mode, ", ", name), func(t *testing.T) {
					t.Parallel()
					d := newUnavailableDiscovery(t, silent)
					begun := time.Now()
					router := startRouter(t, testConfig(t, d.addr, func(in map[string]any) {
						in["known"] = json.RawMessage(known)
						settings := in["settings"].(map[string]any)
						settings["discovery"] = mode
						settings["rules"].(map[string]any)["askEvery"] = 1_000_000
					}))
					if query := receive(t, d.callsWhileDown, "call"); query != "/discovery/hosts" {
						t.Errorf("call %s, want one that may not wait", query)
					}
					client := dial(t, router.addr)
					client.send(encodeCommand("PING"))
					if got := client.readLine(); !strings.HasPrefix(got, "-LOADING") {
						t.Errorf("answer %q", got)
					}
					close(d.up)
					receive(t, d.callsWhileUp, "call").reply <- endpointListJSON(43, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
					receive(t, d.callsWhileUp, "next call")
					(&loopHarness{t: t, loop: router.srv.loop}).do(func() {}) // so the router has taken the answer
					client.wantReady(begun)
				})
			}
		}
	}
}
