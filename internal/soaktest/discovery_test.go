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
	watchTimeout   = 500 * time.Millisecond // after which a watch without news is answered
	slowReplyParts = 5                      // in a reply that comes slowly
	slowReplyPause = 40 * time.Millisecond
)

// discoveryFault is what a discovery service does with a reply instead of sending it at once.
type discoveryFault int

const (
	discoverySilent   discoveryFault = iota // it never comes
	discoveryReset                          // it is broken off by a reset
	discoveryNoLength                       // it has no length, and the connection ends behind it
	discoverySlow
	discoveryFaultCount // the number of faults
)

// discovery is the discovery service of one router. While it is down it says nothing.
type discovery struct {
	server     *httptest.Server
	endpoints  *endpointList
	onSend     func(endpoint) // is told of each entry just before it is written
	down       atomic.Bool
	faultShare float64 // of the replies that meet a fault

	mu  sync.Mutex
	rng *rand.Rand
}

// startDiscovery starts a service that tells of the fleet without faults.
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

// awaitUp waits until the service is not down, and reports false if the caller has gone.
func (d *discovery) awaitUp(r *http.Request) bool {
	for d.down.Load() {
		if !sleepUnlessGone(r, watchTimeout/10) {
			return false
		}
	}
	return true
}

// reply sends entries, or what a fault makes of that.
func (d *discovery) reply(w http.ResponseWriter, r *http.Request, entries []endpoint, version int, complete bool) {
	body := listBody(entries, version, complete)
	fault, faulty := d.nextFault()
	switch {
	case !faulty:
		d.notifySend(entries)
		_, _ = io.WriteString(w, body) // the caller may have gone
	case fault == discoverySilent:
		<-r.Context().Done()
	case fault == discoverySlow:
		d.notifySend(entries)
		for i := range slowReplyParts {
			part := len(body) / slowReplyParts
			_, _ = io.WriteString(w, body[i*part:(i+1)*part]) // the caller may have gone
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

// replyWithoutLength sends a reply that ends with its connection, or half of it and a reset.
func (d *discovery) replyWithoutLength(w http.ResponseWriter, entries []endpoint, body string, reset bool) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }() // the caller may have gone
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

// listBody is a list in discovery's form.
func listBody(entries []endpoint, version int, complete bool) string {
	var list []string
	for _, e := range entries {
		list = append(list, e.String())
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, version, complete, strings.Join(list, ","))
}
