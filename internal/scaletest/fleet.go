package scaletest

// This file implements the hollow routers of one process.

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

// FleetSpec says what the hollow routers of one process are. A hollow router is the policy engine
// with a watch of its own. An active one also gets requests, made inside the process, and keeps
// connections to all cache servers as a router does: simulated to most, on sockets to some.
type FleetSpec struct {
	// RepresentedRouters has an element for each active router: how many further routers of the
	// fleet, which are not simulated, its sockets represent.
	RepresentedRouters []int
	WatchOnlyRouters   int     // hollow routers beside the active ones, which only keep a watch
	RequestRate        float64 // requests a second at each active router

	// An active router counts as done after so many requests and health checks; never, where
	// RequestQuota is 0.
	RequestQuota     int64
	HealthCheckQuota int64

	ConnectedServers  []int // positions on the endpoint list of the cache servers that get sockets
	RouterDescriptors int   // file descriptors of a router
	Seed              uint64
	DiscoveryAddr     string
	InitialEndpoints  json.RawMessage // the endpoint list at the start
	Settings          json.RawMessage

	// OnEndpoints, if set, is called after each endpoint list that a hollow router has applied.
	OnEndpoints func(version int64) `json:"-"`
}

// FleetCount is what the hollow routers of one process have done.
type FleetCount struct {
	Requests, Served, Timers int64        // at the active routers
	CacheServers             []CacheCount // of the active routers, by position on the list; without bytes
	Mirrored                 CacheCount   // what went over sockets, also for the represented routers
	MirrorFailures           int64        // messages on these sockets that went wrong
	Endpoints                int64        // list lines received from discovery by all hollow routers
	DiscoveryBytes           int64        // bytes received from discovery by all hollow routers
	LatenessP99              int64        // 99th percentile of requests' delays since the last Count, microseconds
}

func (c *FleetCount) add(other FleetCount) {
	if c.CacheServers == nil {
		c.CacheServers = make([]CacheCount, len(other.CacheServers))
	}
	for i, count := range other.CacheServers {
		c.CacheServers[i].add(count)
	}
	c.Mirrored.add(other.Mirrored)
	c.Requests += other.Requests
	c.Served += other.Served
	c.Timers += other.Timers
	c.Endpoints += other.Endpoints
	c.DiscoveryBytes += other.DiscoveryBytes
	c.MirrorFailures += other.MirrorFailures
	c.LatenessP99 = max(c.LatenessP99, other.LatenessP99)
}

// maxLateness is the largest delay of a request that the histogram distinguishes.
const maxLateness = time.Minute

// Fleet is the hollow routers of one process.
type Fleet struct {
	Done chan struct{} // closed when all active routers are done

	spec       FleetSpec
	settings   policy.Settings
	transport  settings.Transport
	initial    *discovery.EndpointList
	routers    []*hollowRouter
	ctx        context.Context
	cancel     context.CancelFunc
	unfinished atomic.Int64   // active routers that are not done
	undrained  sync.WaitGroup // routers that have not drained
	mirrors    sync.WaitGroup
	lists      endpointListCache

	// From and to discovery.
	endpoints, bytesIn, bytesOut atomic.Int64

	mu             sync.Mutex // guards what follows
	mirrored       CacheCount
	mirrorFailures int64
	lateness       *hdrhistogram.Histogram // of requests, in microseconds
}

// StartFleet starts the hollow routers.
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
	if f.initial, err = f.lists.parse(spec.InitialEndpoints); err != nil {
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

// Drain ends the requests and waits until no attempt is outstanding and every connection to a
// cache server is closed.
func (f *Fleet) Drain() {
	for _, h := range f.routers {
		h.run(func() { h.draining = true })
	}
	f.undrained.Wait()
	f.mirrors.Wait()
}

// Close ends the hollow routers.
func (f *Fleet) Close() { f.cancel() }

// Count adds up what the routers have done.
func (f *Fleet) Count() FleetCount {
	count := FleetCount{
		CacheServers:   make([]CacheCount, len(f.initial.Endpoints)),
		Endpoints:      f.endpoints.Load(),
		DiscoveryBytes: f.bytesIn.Load(),
	}
	f.locked(func() {
		count.Mirrored = f.mirrored
		count.MirrorFailures = f.mirrorFailures
		count.LatenessP99 = f.lateness.ValueAtQuantile(p99Quantile)
		f.lateness.Reset()
	})
	for _, h := range f.routers {
		h.addTo(&count)
	}
	return count
}

func (f *Fleet) locked(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
}

func (f *Fleet) recordLateness(microseconds int64) {
	f.locked(func() {
		// A value beyond the histogram's range is left out.
		_ = f.lateness.RecordValue(max(minHistogramValue, microseconds))
	})
}

// routerDone counts down the active routers that are not done.
func (f *Fleet) routerDone() {
	if f.unfinished.Add(-1) == 0 {
		close(f.Done)
	}
}
