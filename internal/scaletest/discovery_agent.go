package scaletest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// discoveryPath is where discovery serves the endpoint list.
const discoveryPath = "/discovery/hosts"

// The states of an endpoint on the wire.
const (
	statusInService   = "in_service"
	statusTerminating = "terminating"
	statusTerminated  = "terminated"
)

// The cache servers come in so many sizes, in turn on the list, and each size is larger than the
// one before by the step.
const (
	serverSizes    = 3
	serverSizeStep = .5
)

// serversPerPlacementGroup is how many cache servers in a row are listed with the same group.
const serversPerPlacementGroup = 8

// Live weights are renewed after a time between these two.
const (
	minRenewInterval = 500 * time.Millisecond
	maxRenewInterval = 1400 * time.Millisecond
)

// maxWatchWait bounds how long a caller may have a watch held open.
const maxWatchWait = 60_000 // milliseconds

// DiscoveryAgent is a stand-in for discovery, with one port for each group of routers.
type DiscoveryAgent struct {
	Addrs []string // by group

	mu        sync.Mutex // guards what follows, up to changed
	hosts     []host
	version   int64
	snapshots []encodedList // by group
	deltas    []encodedList // by group, since the version before
	down      bool
	changed   chan struct{} // closed at the next change of anything above

	ports []*discoveryPort // by group
	stop  chan struct{}
}

// host is a cache server as discovery knows it.
type host struct {
	addrs          []string // by group
	status         string
	nominalWeight  float64
	weight         float64
	startedAt      int64 // Unix time in milliseconds
	changedVersion int64 // of the list at the last change
}

// encodedList is an endpoint list as it is sent.
type encodedList struct {
	body      []byte
	endpoints int
}

// discoveryPort is the port of discovery for one group of routers.
type discoveryPort struct {
	server                              *http.Server
	calls, endpoints, bytesIn, bytesOut atomic.Int64
}

// DiscoveryCount is what the routers of one group called for. Bytes are those of HTTP with its
// headers, without TCP's own.
type DiscoveryCount struct{ Calls, Endpoints, BytesIn, BytesOut int64 }

// StartDiscoveryAgent serves the list of the cache servers at these addresses, by cache server and
// group. The list changes only by the methods of the agent.
func StartDiscoveryAgent(addrs [][]string, groups int) (*DiscoveryAgent, error) {
	a := &DiscoveryAgent{
		changed:   make(chan struct{}),
		stop:      make(chan struct{}),
		snapshots: make([]encodedList, groups),
		deltas:    make([]encodedList, groups),
	}
	for i, addrsByGroup := range addrs {
		weight := 1 + float64(i%serverSizes)*serverSizeStep
		a.hosts = append(a.hosts, host{
			addrs:         addrsByGroup,
			status:        statusInService,
			nominalWeight: weight,
			weight:        weight,
		})
	}
	a.publish(func(int, *host) {})
	for group := range groups {
		if err := a.listen(group); err != nil {
			a.Close()
			return nil, err
		}
	}
	return a, nil
}

func (a *DiscoveryAgent) listen(group int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	port, mux := &discoveryPort{}, http.NewServeMux()
	mux.HandleFunc("GET "+discoveryPath, func(w http.ResponseWriter, r *http.Request) { a.serve(group, w, r) })
	port.server = &http.Server{Handler: mux}
	a.ports = append(a.ports, port)
	a.Addrs = append(a.Addrs, listener.Addr().String())
	go func() {
		// It returns when the agent is closed; were that sooner, the routers' calls would fail.
		_ = port.server.Serve(countedListener{listener, &port.bytesIn, &port.bytesOut})
	}()
	return nil
}

// publish makes a new version of the list, with what the function changes.
func (a *DiscoveryAgent) publish(change func(position int, h *host)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.hosts {
		h := &a.hosts[i]
		status, weight, startedAt := h.status, h.weight, h.startedAt
		change(i, h)
		if h.status != status || h.weight != weight || h.startedAt != startedAt {
			h.changedVersion = a.version
		}
	}
	for group := range a.snapshots {
		a.snapshots[group] = a.encode(group, true, func(h *host) bool { return h.status != statusTerminated })
		a.deltas[group] = a.encode(group, false, func(h *host) bool { return h.changedVersion == a.version })
	}
	a.notifyChange()
}

// nameMultiplier scatters the names of the cache servers over 32 bits.
const nameMultiplier = 2654435761

// encode makes a list of the hosts that are included, as one group of routers sees them.
func (a *DiscoveryAgent) encode(group int, snapshot bool, include func(*host) bool) encodedList {
	list := encodedList{body: fmt.Appendf(nil, `{"index":%d,"snapshot":%t,"endpoints":[`, a.version, snapshot)}
	for i := range a.hosts {
		h := &a.hosts[i]
		if !include(h) {
			continue
		}
		list.endpoints++
		if list.endpoints > 1 {
			list.body = append(list.body, ',')
		}
		list.body = fmt.Appendf(list.body,
			`{"name":"s-%08x","address":%q,"zone":"a","type":"m2","group":%d,"status":%q,"weight":%.3f,"since_ms":%d}`,
			uint32(i+1)*nameMultiplier, h.addrs[group], i/serversPerPlacementGroup, h.status, h.weight, h.startedAt)
	}
	list.body = append(list.body, "]}"...)
	return list
}

// notifyChange wakes the calls that wait. The caller holds the lock.
func (a *DiscoveryAgent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// RenewWeights gives every cache server in service a new live weight, up to a quarter below its
// nominal one.
func (a *DiscoveryAgent) RenewWeights() {
	a.publish(func(_ int, h *host) {
		if h.status == statusInService {
			h.weight = h.nominalWeight * (1 - rand.Float64()/4)
		}
	})
}

// KeepRenewingWeights renews the live weights until Close.
func (a *DiscoveryAgent) KeepRenewingWeights() {
	for {
		select {
		case <-time.After(minRenewInterval + rand.N(maxRenewInterval-minRenewInterval)):
			a.RenewWeights()
		case <-a.stop:
			return
		}
	}
}

// SetStatus changes the status of one cache server and the time of its last start, in milliseconds.
func (a *DiscoveryAgent) SetStatus(position int, status string, startedAt int64) {
	a.publish(func(i int, h *host) {
		if i == position {
			h.status = status
			h.startedAt = startedAt
		}
	})
}

// KeepRestarting lists one cache server after the other as terminated and started again, until
// Close. The stand-in itself goes on.
func (a *DiscoveryAgent) KeepRestarting(interval time.Duration) {
	statuses := []string{statusTerminating, statusTerminated, statusInService}
	for position := 0; ; position = (position + 1) % len(a.hosts) {
		for _, status := range statuses {
			select {
			case <-time.After(interval / time.Duration(len(statuses))):
				a.SetStatus(position, status, time.Now().UnixMilli())
			case <-a.stop:
				return
			}
		}
	}
}

// SetDown has discovery answer no more calls, or answer again.
func (a *DiscoveryAgent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.notifyChange()
}

// Snapshot is the complete list as the routers of one group see it now.
func (a *DiscoveryAgent) Snapshot(group int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshots[group].body
}

// discoveryQuery is what a call asks for.
type discoveryQuery struct {
	isWatch bool
	after   int64         // version that the caller has, or noVersion
	wait    time.Duration // for a change
}

const noVersion = -1

// parseDiscoveryQuery reads the parameters of a call, and reports whether they are valid.
func parseDiscoveryQuery(values url.Values) (query discoveryQuery, ok bool) {
	if !values.Has("after") {
		return discoveryQuery{after: noVersion}, true
	}
	after, err := strconv.ParseInt(values.Get("after"), 10, 64)
	if err != nil || after < 0 {
		return discoveryQuery{}, false
	}
	wait, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		return discoveryQuery{}, false
	}
	return discoveryQuery{
		isWatch: true,
		after:   after,
		wait:    time.Duration(min(wait, maxWatchWait)) * time.Millisecond,
	}, true
}

// serve answers a call for the complete list, or a watch.
func (a *DiscoveryAgent) serve(group int, w http.ResponseWriter, r *http.Request) {
	port := a.ports[group]
	port.calls.Add(1)
	query, ok := parseDiscoveryQuery(r.URL.Query())
	if !ok {
		http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
		return
	}
	list, ok := a.waitForList(group, query, r.Context().Done())
	if !ok {
		return
	}
	port.endpoints.Add(int64(list.endpoints))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list.body)))
	_, _ = w.Write(list.body) // it fails for a router that has gone, which needs no list
}

// waitForList waits until there is a list to send. It reports false if the caller is gone before.
func (a *DiscoveryAgent) waitForList(group int, query discoveryQuery, gone <-chan struct{}) (encodedList, bool) {
	timeout := time.After(query.wait)
	mayWait := query.isWatch
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.down || mayWait && a.version == query.after {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			mayWait = false
		case <-gone:
			a.mu.Lock()
			return encodedList{}, false
		}
		a.mu.Lock()
	}
	return a.listSince(group, query.after), true
}

// listSince is what the caller lacks: nothing, the last change, or else the complete list. The
// caller holds the lock.
func (a *DiscoveryAgent) listSince(group int, version int64) encodedList {
	switch version {
	case a.version:
		return a.encode(group, false, func(*host) bool { return false })
	case a.version - 1:
		return a.deltas[group]
	default:
		return a.snapshots[group]
	}
}

// Count is what each group of routers called for so far.
func (a *DiscoveryAgent) Count() []DiscoveryCount {
	var counts []DiscoveryCount
	for _, port := range a.ports {
		counts = append(counts, DiscoveryCount{
			Calls:     port.calls.Load(),
			Endpoints: port.endpoints.Load(),
			BytesIn:   port.bytesIn.Load(),
			BytesOut:  port.bytesOut.Load(),
		})
	}
	return counts
}

// Close ends the agent.
func (a *DiscoveryAgent) Close() {
	close(a.stop)
	for _, port := range a.ports {
		_ = port.server.Close() // the listener's error: nothing is left to do with it
	}
}
