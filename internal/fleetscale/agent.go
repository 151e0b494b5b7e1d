package fleetscale

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Live weights are renewed after a time between these two.
const (
	renewLeast = 500 * time.Millisecond
	renewMost  = 1400 * time.Millisecond
)

// mostWait is the longest that a watch may wait.
const mostWait = time.Minute

// Agent is a stand-in of discovery, with one port for each view. Make one with StartAgent.
type Agent struct {
	Addrs []string // by view

	mu      sync.Mutex
	hosts   []agentHost
	version int64
	bodies  []agentBodies // by view, of this version
	down    bool
	changed chan struct{} // closed at the next change of anything above
	views   []*agentView
	stop    chan struct{}
}

type agentHost struct {
	addrs   []string
	status  string
	size    float64
	weight  float64
	since   int64 // Unix time in milliseconds
	version int64 // of its last change
}

// agentBodies are the answers for one view. Changes are those since the version before.
type agentBodies struct {
	whole, changes         []byte
	wholeLines, changeLine int
}

type agentView struct {
	srv                            *http.Server
	calls, lines, in, out, waiting atomic.Int64
}

// AgentCount is what discovery was asked by the routers of one view. Bytes are those of HTTP,
// headers included, without TCP's own.
type AgentCount struct {
	Calls, Lines, BytesIn, BytesOut int64
	Waiting                         int64 // watches that wait for something newer
}

// StartAgent serves the list of the cache servers at these addresses (by cache server and view).
// Nothing changes before Renew, Set or KeepRenewing.
func StartAgent(addrs [][]string, views int) (*Agent, error) {
	a := &Agent{changed: make(chan struct{}), stop: make(chan struct{}), bodies: make([]agentBodies, views)}
	for i, at := range addrs {
		size := 1 + float64(i%3)/2
		a.hosts = append(a.hosts, agentHost{addrs: at, status: "in_service", size: size, weight: size})
	}
	a.mu.Lock()
	a.publish(func(*agentHost) {})
	a.mu.Unlock()
	for n := range views {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.Close()
			return nil, err
		}
		v := &agentView{}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { a.serve(n, w, r) })
		v.srv = &http.Server{Handler: mux}
		a.views, a.Addrs = append(a.views, v), append(a.Addrs, ln.Addr().String())
		go v.srv.Serve(countedListener{ln, v})
	}
	return a, nil
}

// HostName is the name of a cache server on the list.
func HostName(n int) string { return fmt.Sprintf("s-%08x", 0x5be2a07c^uint32(n)*2654435761) }

// publish makes a new version of the list of what the function changes. The caller holds mu.
func (a *Agent) publish(change func(*agentHost)) {
	a.version++
	for i := range a.hosts {
		h := &a.hosts[i]
		before := *h
		change(h)
		if h.status != before.status || h.weight != before.weight || h.since != before.since {
			h.version = a.version
		}
	}
	for v := range a.bodies {
		b := agentBodies{whole: a.head(true), changes: a.head(false)}
		for i, h := range a.hosts {
			line := fmt.Appendf(nil, `{"name":%q,"address":%q,"zone":"a","type":"m2","group":%d,"status":%q,"weight":%.3f,"since_ms":%d},`,
				HostName(i), h.addrs[v], i/8, h.status, h.weight, h.since)
			if h.status != "terminated" {
				b.whole = append(b.whole, line...)
				b.wholeLines++
			}
			if h.version == a.version {
				b.changes = append(b.changes, line...)
				b.changeLine++
			}
		}
		b.whole, b.changes = endList(b.whole), endList(b.changes)
		a.bodies[v] = b
	}
	a.wake()
}

func (a *Agent) head(whole bool) []byte {
	return fmt.Appendf(nil, `{"index":%d,"snapshot":%t,"endpoints":[`, a.version, whole)
}

func endList(b []byte) []byte {
	if b[len(b)-1] == ',' {
		b = b[:len(b)-1]
	}
	return append(b, "]}"...)
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Renew gives every cache server in service a new live weight, up to a quarter below its size.
func (a *Agent) Renew() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publish(func(h *agentHost) {
		if h.status == "in_service" {
			h.weight = h.size * (1 - rand.Float64()/4)
		}
	})
}

// KeepRenewing renews the live weights until Close.
func (a *Agent) KeepRenewing() {
	for {
		select {
		case <-time.After(renewLeast + rand.N(renewMost-renewLeast)):
			a.Renew()
		case <-a.stop:
			return
		}
	}
}

// Set changes the status of one cache server and the time of its last start.
func (a *Agent) Set(n int, status string, since int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publish(func(h *agentHost) {
		if h == &a.hosts[n] {
			h.status, h.since = status, since
		}
	})
}

// SetDown has discovery fall silent, or speak again.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.wake()
}

// Known is the whole list as the routers of one view see it now.
func (a *Agent) Known(view int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bodies[view].whole
}

// serve answers a call for the whole list, or a watch.
func (a *Agent) serve(view int, w http.ResponseWriter, r *http.Request) {
	v := a.views[view]
	v.calls.Add(1)
	after, wait := int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("after") {
		var err error
		if after, err = strconv.ParseInt(q.Get("after"), 10, 64); err == nil && q.Has("wait_ms") {
			var ms int64
			ms, err = strconv.ParseInt(q.Get("wait_ms"), 10, 64)
			wait = min(mostWait, time.Duration(ms)*time.Millisecond)
		}
		if err != nil || after < 0 || wait < 0 {
			http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
			return
		}
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	v.waiting.Add(1)
	waited := after < 0
	a.mu.Lock()
	for a.down || a.version == after && !waited {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			waited = true
		case <-r.Context().Done():
			v.waiting.Add(-1)
			return
		}
		a.mu.Lock()
	}
	b := a.bodies[view]
	body, lines := b.whole, b.wholeLines
	switch after {
	case a.version:
		body, lines = endList(a.head(false)), 0
	case a.version - 1:
		body, lines = b.changes, b.changeLine
	}
	a.mu.Unlock()
	v.waiting.Add(-1)
	v.lines.Add(int64(lines))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body) // a router that has gone meanwhile needs no list
}

// Count is what each view asked so far.
func (a *Agent) Count() []AgentCount {
	var all []AgentCount
	for _, v := range a.views {
		all = append(all, AgentCount{v.calls.Load(), v.lines.Load(), v.in.Load(), v.out.Load(), v.waiting.Load()})
	}
	return all
}

// Close ends the agent.
func (a *Agent) Close() {
	close(a.stop)
	for _, v := range a.views {
		v.srv.Close()
	}
}

// countedListener adds up the bytes of its connections.
type countedListener struct {
	net.Listener
	v *agentView
}

func (l countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return countedConn{nc, &l.v.in, &l.v.out}, err
}

type countedConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}
