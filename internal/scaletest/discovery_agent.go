package scaletest

// This file implements the simulated discovery service.

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The nominal weights of the cache servers cycle through nominalWeightCount values along the endpoint list:
// 1, 1+nominalWeightStep and so on.
const (
	nominalWeightCount = 3
	nominalWeightStep  = .5
)

// The live weights change after random intervals between these bounds.
const (
	minWeightChangeInterval = 500 * time.Millisecond
	maxWeightChangeInterval = 1400 * time.Millisecond
)

// DiscoveryAgent is a simulated discovery service with one port for each group of routers.
type DiscoveryAgent struct {
	Addrs []string // by group

	mu        sync.Mutex // guards the fields down to changed
	hosts     []host
	version   int64
	snapshots []encodedList // by group
	deltas    []encodedList // by group; the changes since the previous version
	down      bool
	changed   chan struct{} // closed and replaced when a field above changes

	ports []*discoveryPort // by group
	stop  chan struct{}
}

// discoveryPort is the port of the discovery service for one group of routers.
type discoveryPort struct {
	server                              *http.Server
	calls, endpoints, bytesIn, bytesOut atomic.Int64
}

// DiscoveryStats holds the discovery traffic of one group of routers. Bytes are those of HTTP with its
// headers, without TCP and IP headers.
type DiscoveryStats struct{ Calls, Endpoints, BytesIn, BytesOut int64 }

// StartDiscoveryAgent serves the endpoint list of the cache servers with the given addresses, by cache
// server and group. The list changes only when a method of the agent changes it.
func StartDiscoveryAgent(addrs [][]string, groups int) (*DiscoveryAgent, error) {
	a := &DiscoveryAgent{
		changed:   make(chan struct{}),
		stop:      make(chan struct{}),
		snapshots: make([]encodedList, groups),
		deltas:    make([]encodedList, groups),
	}
	for i, addrsByGroup := range addrs {
		weight := 1 + float64(i%nominalWeightCount)*nominalWeightStep
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
		// Serve returns when the agent is closed. If it fails before that, the calls of the routers fail
		// as well, so its error need not be reported.
		_ = port.server.Serve(countedListener{listener, &port.bytesIn, &port.bytesOut})
	}()
	return nil
}

// notifyChange wakes the calls that wait for a change. The caller holds the lock.
func (a *DiscoveryAgent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SimulateWeightChanges changes the live weights at random intervals until Close.
func (a *DiscoveryAgent) SimulateWeightChanges() {
	for {
		select {
		case <-time.After(minWeightChangeInterval + rand.N(maxWeightChangeInterval-minWeightChangeInterval)):
			a.ChangeWeights()
		case <-a.stop:
			return
		}
	}
}

// SimulateRestarts lists one cache server after the other as terminating, terminated and in service
// again, each within one interval, until Close. The simulated cache server itself keeps running.
func (a *DiscoveryAgent) SimulateRestarts(interval time.Duration) {
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

// SetDown starts or ends an outage. Calls during an outage wait until it ends.
func (a *DiscoveryAgent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.notifyChange()
}

// Snapshot returns the complete current endpoint list for the routers of one group.
func (a *DiscoveryAgent) Snapshot(group int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshots[group].body
}

// Stats returns the discovery traffic of each group of routers so far.
func (a *DiscoveryAgent) Stats() []DiscoveryStats {
	var stats []DiscoveryStats
	for _, port := range a.ports {
		stats = append(stats, DiscoveryStats{
			Calls:     port.calls.Load(),
			Endpoints: port.endpoints.Load(),
			BytesIn:   port.bytesIn.Load(),
			BytesOut:  port.bytesOut.Load(),
		})
	}
	return stats
}

// Close stops the agent.
func (a *DiscoveryAgent) Close() {
	close(a.stop)
	for _, port := range a.ports {
		_ = port.server.Close() // only closing the listener can fail, which can be ignored here
	}
}
