package scaletest

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

// sizes is how many sizes of cache servers there are, in turn on the list.
const sizes = 3

// Live weights are renewed after a time between these two.
const (
	renewLeast = 500 * time.Millisecond
	renewMost  = 1400 * time.Millisecond
)

// Agent is a stand-in of discovery, with one port for each view. Make one with StartAgent.
type Agent struct {
	Addrs []string // by view

	mu      sync.Mutex
	hosts   []host
	version int64
	whole   []answer // by view
	changes []answer // by view, since the version before
	down    bool
	changed chan struct{} // closed at the next change of anything above
	views   []*agentView
	stop    chan struct{}
}

type host struct {
	addrs   []string // by view
	status  string
	size    float64 // the nominal weight
	weight  float64
	since   int64 // Unix time of the last start, in milliseconds
	version int64 // of the last change
}

// answer is a list as it is sent.
type answer struct {
	body  []byte
	lines int
}

type agentView struct {
	srv                   *http.Server
	calls, lines, in, out atomic.Int64
}

// AgentCount is what the routers of one view asked of discovery. Bytes are those of HTTP with its
// headers, without TCP's own.
type AgentCount struct{ Calls, Lines, BytesIn, BytesOut int64 }

// StartAgent serves the list of the cache servers at these addresses, by cache server and view.
// Nothing changes but by the methods.
func StartAgent(addrs [][]string, views int) (*Agent, error) {
	a := &Agent{changed: make(chan struct{}), stop: make(chan struct{}), whole: make([]answer, views), changes: make([]answer, views)}
	for i, at := range addrs {
		size := 1 + float64(i%sizes)/2
		a.hosts = append(a.hosts, host{addrs: at, status: "in_service", size: size, weight: size})
	}
	a.publish(func(int, *host) {})
	for n := range views {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.Close()
			return nil, err
		}
		v, mux := &agentView{}, http.NewServeMux()
		mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { a.serve(n, w, r) })
		v.srv = &http.Server{Handler: mux}
		a.views, a.Addrs = append(a.views, v), append(a.Addrs, ln.Addr().String())
		go v.srv.Serve(countedListener{ln, v})
	}
	return a, nil
}

// publish makes a new version of what the function changes.
func (a *Agent) publish(change func(int, *host)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.hosts {
		h := &a.hosts[i]
		status, weight, since := h.status, h.weight, h.since
		if change(i, h); h.status != status || h.weight != weight || h.since != since {
			h.version = a.version
		}
	}
	for v := range a.whole {
		a.whole[v] = a.list(v, true, func(h *host) bool { return h.status != "terminated" })
		a.changes[v] = a.list(v, false, func(h *host) bool { return h.version == a.version })
	}
	a.wake()
}

// list is those of the hosts, as one view sees them.
func (a *Agent) list(view int, whole bool, those func(*host) bool) answer {
	l := answer{body: fmt.Appendf(nil, `{"index":%d,"snapshot":%t,"endpoints":[`, a.version, whole)}
	for i := range a.hosts {
		if h := &a.hosts[i]; those(h) {
			if l.lines++; l.lines > 1 {
				l.body = append(l.body, ',')
			}
			l.body = fmt.Appendf(l.body, `{"name":"s-%08x","address":%q,"zone":"a","type":"m2","group":%d,"status":%q,"weight":%.3f,"since_ms":%d}`,
				uint32(i+1)*2654435761, h.addrs[view], i/8, h.status, h.weight, h.since)
		}
	}
	l.body = append(l.body, "]}"...)
	return l
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Renew gives every cache server in service a new live weight, up to a quarter below its size.
func (a *Agent) Renew() {
	a.publish(func(_ int, h *host) {
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
	a.publish(func(i int, h *host) {
		if i == n {
			h.status, h.since = status, since
		}
	})
}

// KeepRestarting lists one cache server after the other as gone and started again, until Close.
// The stand-in itself goes on.
func (a *Agent) KeepRestarting(every time.Duration) {
	for n := 0; ; n = (n + 1) % len(a.hosts) {
		for _, status := range []string{"terminating", "terminated", "in_service"} {
			select {
			case <-time.After(every / 3):
				a.Set(n, status, time.Now().UnixMilli())
			case <-a.stop:
				return
			}
		}
	}
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
	return a.whole[view].body
}

// serve answers a call for the whole list, or a watch.
func (a *Agent) serve(view int, w http.ResponseWriter, r *http.Request) {
	v := a.views[view]
	v.calls.Add(1)
	after, wait, isWatch := int64(-1), int64(0), r.URL.Query().Has("after")
	if isWatch {
		var aerr, werr error
		after, aerr = strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		wait, werr = strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
		if aerr != nil || werr != nil || after < 0 || wait < 0 {
			http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
			return
		}
	}
	over := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	a.mu.Lock()
	for a.down || a.version == after && isWatch {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			isWatch = false // it has waited long enough
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	l := a.whole[view]
	switch after {
	case a.version:
		l = a.list(view, false, func(*host) bool { return false })
	case a.version - 1:
		l = a.changes[view]
	}
	a.mu.Unlock()
	v.lines.Add(int64(l.lines))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(l.body)))
	w.Write(l.body) // a router that has gone needs no list
}

// Count is what each view asked so far.
func (a *Agent) Count() []AgentCount {
	var all []AgentCount
	for _, v := range a.views {
		all = append(all, AgentCount{v.calls.Load(), v.lines.Load(), v.in.Load(), v.out.Load()})
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
	c.out.Add(int64(len(b))) // first, so that no reader has them before they count
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n - len(b)))
	return n, err
}
