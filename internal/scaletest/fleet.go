package scaletest

// This file manages the hollow routers of one process.

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marlstage/internal/discovery"
	"marlstage/internal/settings"
	"marlstage/policy"
)

// FleetSpec configures the hollow routers of one process. A hollow router is the policy engine with a
// watch of its own. An active one also gets requests, which are generated in the process, and keeps
// connections to all cache servers as a router does. These connections are simulated; those to the
// connected servers are also repeated on sockets.
type FleetSpec struct {
	// RepresentedRouters has an element for each active router: the number of further routers of the
	// fleet, not simulated themselves, whose sockets repeat the traffic of this one.
	RepresentedRouters []int
	WatchOnlyRouters   int     // further hollow routers, which only keep a watch
	RequestRate        float64 // requests per second at each active router

	// An active router is done after RequestQuota requests and HealthCheckQuota health checks, or
	// never if RequestQuota is 0.
	RequestQuota     int64
	HealthCheckQuota int64

	ConnectedServers  []int // positions on the endpoint list of the cache servers to which sockets are opened
	RouterDescriptors int   // file descriptors of a router
	Seed              uint64
	DiscoveryAddr     string
	InitialEndpoints  json.RawMessage // the endpoint list at the start
	Settings          json.RawMessage

	// OnEndpoints, if set, is called each time a hollow router has applied an endpoint list.
	OnEndpoints func(version int64) `json:"-"`
}

// FleetStats holds the counters of the hollow routers of one process.
type FleetStats struct {
	Requests, Served, Timers int64        // of all hollow routers; only active ones have requests
	CacheServers             []CacheStats // simulated traffic by position on the list; without bytes
	Mirrored                 CacheStats   // traffic on sockets, including the represented routers'
	MirrorFailures           int64        // messages on these sockets that failed
	Endpoints                int64        // endpoints received from discovery by all hollow routers
	DiscoveryBytes           int64        // bytes received from discovery by all hollow routers
	LatenessP99              int64        // 99th percentile of request delays since the last call of Stats, microseconds
}

func (s *FleetStats) add(other FleetStats) {
	if s.CacheServers == nil {
		s.CacheServers = make([]CacheStats, len(other.CacheServers))
	}
	for i, stats := range other.CacheServers {
		s.CacheServers[i].add(stats)
	}
	s.Mirrored.add(other.Mirrored)
	s.Requests += other.Requests
	s.Served += other.Served
	s.Timers += other.Timers
	s.Endpoints += other.Endpoints
	s.DiscoveryBytes += other.DiscoveryBytes
	s.MirrorFailures += other.MirrorFailures
	s.LatenessP99 = max(s.LatenessP99, other.LatenessP99)
}

// maxLateness is the upper bound of the histogram of request delays.
const maxLateness = time.Minute

// Fleet runs the hollow routers of one process.
type Fleet struct {
	Done chan struct{} // closed when all active routers are done

	spec        FleetSpec
	settings    policy.Settings
	transport   settings.Transport
	initialList *discovery.EndpointList
	routers     []*hollowRouter
	ctx         context.Context
	cancel      context.CancelFunc
	unfinished  atomic.Int64   // active routers that are not done
	undrained   sync.WaitGroup // routers that have not finished draining
	mirrors     sync.WaitGroup
	listCache   endpointListCache

	// Traffic with the discovery service.
	endpoints, bytesIn, bytesOut atomic.Int64

	mu             sync.Mutex // guards the fields below
	mirrored       CacheStats
	mirrorFailures int64
	lateness       *hdrhistogram.Histogram // delays of requests, in microseconds
}

// StartFleet starts the hollow routers of one process.
func StartFleet(spec FleetSpec) (*Fleet, error) {
	f := &Fleet{
		Done:     make(chan struct{}),
		spec:     spec,
		lateness: newHistogram(maxLateness),
	}
	var err error
	if f.settings, f.transport, err = settings.Parse(spec.Settings); err != nil {
		return nil, err
	}
	if f.initialList, err = f.listCache.parse(spec.InitialEndpoints); err != nil {
		return nil, err
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.unfinished.Store(int64(len(spec.RepresentedRouters)))
	for number := range len(spec.RepresentedRouters) + spec.WatchOnlyRouters {
		h, err := newHollowRouter(f, number)
		if err != nil {
			f.cancel()
			return nil, err
		}
		f.routers = append(f.routers, h)
		f.undrained.Add(1)
	}
	for _, h := range f.routers {
		h.run(h.start)
	}
	return f, nil
}

// Drain stops the arrival of requests and waits until no attempt is outstanding and every connection to
// a cache server is closed.
func (f *Fleet) Drain() {
	for _, h := range f.routers {
		h.run(func() { h.draining = true })
	}
	f.undrained.Wait()
	f.mirrors.Wait()
}

// Close stops the hollow routers.
func (f *Fleet) Close() { f.cancel() }

// Stats returns the counters so far. It resets the histogram behind LatenessP99.
func (f *Fleet) Stats() FleetStats {
	stats := FleetStats{
		CacheServers:   make([]CacheStats, len(f.initialList.Endpoints)),
		Endpoints:      f.endpoints.Load(),
		DiscoveryBytes: f.bytesIn.Load(),
	}
	f.withLock(func() {
		stats.Mirrored = f.mirrored
		stats.MirrorFailures = f.mirrorFailures
		stats.LatenessP99 = f.lateness.ValueAtQuantile(p99Quantile)
		f.lateness.Reset()
	})
	for _, h := range f.routers {
		h.addTo(&stats)
	}
	return stats
}

func (f *Fleet) withLock(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
}

func (f *Fleet) recordLateness(microseconds int64) {
	f.withLock(func() {
		// RecordValue fails for a value beyond the histogram's range, which is not recorded.
		_ = f.lateness.RecordValue(max(minHistogramValue, microseconds))
	})
}

// routerDone counts an active router as done and closes Done after the last one.
func (f *Fleet) routerDone() {
	if f.unfinished.Add(-1) == 0 {
		close(f.Done)
	}
}
