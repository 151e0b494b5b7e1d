package scaletest

// This file implements the stand-in for the discovery service.

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The cache servers come in so many sizes, in turn on the list, and each size is larger than the
// one before by the step.
const (
	serverSizes    = 3
	serverSizeStep = .5
)

// Live weights are renewed after a time between these two.
const (
	minRenewInterval = 500 * time.Millisecond
	maxRenewInterval = 1400 * time.Millisecond
)

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

// notifyChange wakes the calls that wait. The caller holds the lock.
func (a *DiscoveryAgent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
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
