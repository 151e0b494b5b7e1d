package soaktest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	watchTimeout   = 500 * time.Millisecond // after which a watch is answered without changes
	slowReplyParts = 5                      // of a reply that is sent slowly
	slowReplyPause = 40 * time.Millisecond  // after each part
)

// discoveryFault is a fault in a reply of a discovery service.
type discoveryFault int

const (
	discoverySilent     discoveryFault = iota // it is never sent
	discoveryReset                            // half of it is sent, then the connection is reset
	discoveryNoLength                         // it has no Content-Length, and the connection is closed after it
	discoverySlow                             // it is sent in parts with pauses
	discoveryFaultCount                       // the number of faults
)

// discovery is the discovery service of one router. While it is down it does not reply.
type discovery struct {
	server     *httptest.Server
	endpoints  *endpointList
	onSend     func(endpoint) // called with each entry just before it is sent
	down       atomic.Bool
	faultShare float64 // share of the replies that have a fault

	mu  sync.Mutex
	rng *rand.Rand
}

// startDiscovery starts a service that serves an endpoint list without faults.
func startDiscovery(t *testing.T, endpoints *endpointList) *discovery {
	t.Helper()
	return startFaultyDiscovery(t, endpoints, newRand(0, 0), 0, func(endpoint) {})
}

func startFaultyDiscovery(t *testing.T, endpoints *endpointList, rng *rand.Rand, faultShare float64, onSend func(endpoint)) *discovery {
	t.Helper()
	d := &discovery{endpoints: endpoints, onSend: onSend, faultShare: faultShare, rng: rng}
	d.server = httptest.NewServer(http.HandlerFunc(d.handle))
	t.Cleanup(d.close)
	return d
}

func (d *discovery) close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

func (d *discovery) addr() string { return d.server.Listener.Addr().String() }

func (d *discovery) nextFault() (fault discoveryFault, faulty bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return discoveryFault(d.rng.IntN(int(discoveryFaultCount))), d.rng.Float64() < d.faultShare
}

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	if !d.awaitUp(r) {
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		list, version := d.endpoints.snapshot()
		d.reply(w, r, list, version, true)
		return
	}
	if version, changed := d.endpoints.version(); version <= after {
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(watchTimeout):
		}
		if !d.awaitUp(r) {
			return
		}
	}
	changes, version := d.endpoints.changesSince(after)
	d.reply(w, r, changes, version, false)
}

// awaitUp waits until the service is not down. It reports false if the client disconnects before.
func (d *discovery) awaitUp(r *http.Request) bool {
	for d.down.Load() {
		if !sleepUnlessGone(r, watchTimeout/10) {
			return false
		}
	}
	return true
}

// reply sends entries, unless it applies a fault.
func (d *discovery) reply(w http.ResponseWriter, r *http.Request, entries []endpoint, version int, complete bool) {
	body := listBody(entries, version, complete)
	fault, faulty := d.nextFault()
	switch {
	case !faulty:
		d.notifySend(entries)
		_, _ = io.WriteString(w, body) // the client may have disconnected
	case fault == discoverySilent:
		<-r.Context().Done()
	case fault == discoverySlow:
		d.notifySend(entries)
		for i := range slowReplyParts {
			part := len(body) / slowReplyParts
			_, _ = io.WriteString(w, body[i*part:(i+1)*part]) // the client may have disconnected
			w.(http.Flusher).Flush()
			if !sleepUnlessGone(r, slowReplyPause) {
				return
			}
		}
		_, _ = io.WriteString(w, body[slowReplyParts*(len(body)/slowReplyParts):])
	default:
		d.replyWithoutLength(w, entries, body, fault == discoveryReset)
	}
}

// replyWithoutLength sends a reply without Content-Length and closes the connection, or sends half of the reply
// and resets the connection.
func (d *discovery) replyWithoutLength(w http.ResponseWriter, entries []endpoint, body string, reset bool) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }() // the client may have disconnected
	if reset {
		body = body[:len(body)/2]
	} else {
		d.notifySend(entries)
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"+body)
	if reset {
		_ = nc.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	}
}

func (d *discovery) notifySend(entries []endpoint) {
	for _, e := range entries {
		d.onSend(e)
	}
}

func sleepUnlessGone(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// listBody returns the body of a reply of a discovery service.
func listBody(entries []endpoint, version int, complete bool) string {
	var list []string
	for _, e := range entries {
		list = append(list, e.String())
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, version, complete, strings.Join(list, ","))
}
