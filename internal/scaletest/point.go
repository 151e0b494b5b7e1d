package scaletest

// This file defines and validates the size and the options of one run.

import (
	"fmt"
	"syscall"
	"time"
)

// Point holds the size of the fleet and the options of one run.
type Point struct {
	CacheServers, Routers int

	RequestRate       float64       // requests per second at each router
	HollowRouters     int           // maximum number of hollow routers; each keeps a watch
	ActiveRouters     int           // maximum number of hollow routers that also get requests
	ConnectedServers  int           // maximum number of cache servers to which the whole fleet opens sockets
	MaxServerConns    int           // maximum number of connections per cache server
	RouterDescriptors int           // limit of file descriptors per router
	RouterMemoryMB    int           // memory limit per router
	WatchRequired     bool          // routers get the endpoint list only by starting a watch
	Warmup, Window    time.Duration // time before the measurement, and its duration
	RestartInterval   time.Duration // time in which one cache server is listed as restarted; 0 for never
	Outage            time.Duration // time for which discovery is down after the window; 0 for no outage
}

// How the stand-ins are distributed over processes.
const (
	cacheServersPerProcess  = 200
	hollowRoutersPerProcess = 350
	minActiveProcesses      = 2 // minimum of hollow router processes if there are as many active routers
)

// The valid ranges of a point's fields.
const (
	maxRouters     = 100_000
	minRate        = 1e-3
	maxRate        = 1e5
	minDescriptors = 64
	maxLimit       = 1e6 // upper bound of connections, descriptors and megabytes
	minWindow      = .1  // seconds
	maxSeconds     = 3600
)

// RangeError means that a field of a point is out of range.
type RangeError struct {
	Name            string // name of the command-line flag
	Value, Min, Max float64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, want %v to %v", e.Name, e.Value, e.Min, e.Max)
}

// DescriptorError means that a point needs more file descriptors than a process may open.
type DescriptorError struct {
	Needed int
	Limit  uint64
}

func (e *DescriptorError) Error() string {
	return fmt.Sprintf("a process needs up to %d file descriptors, but the limit is %d: lower open, hollow or cache-conns",
		e.Needed, e.Limit)
}

// Validate checks that all fields are in range and that the point needs no more file descriptors than
// a process may open.
func (p *Point) Validate() error {
	ranges := []RangeError{
		{"caches", float64(p.CacheServers), 1, maxCacheServers},
		{"routers", float64(p.Routers), 1, maxRouters},
		{"rate", p.RequestRate, minRate, maxRate},
		{"hollow", float64(p.HollowRouters), 1, maxRouters},
		{"working", float64(p.ActiveRouters), 1, maxRouters},
		{"open", float64(p.ConnectedServers), 1, maxCacheServers},
		{"cache-conns", float64(p.MaxServerConns), 1, maxLimit},
		{"sockets", float64(p.RouterDescriptors), minDescriptors, maxLimit},
		{"memory", float64(p.RouterMemoryMB), 1, maxLimit},
		{"warm", p.Warmup.Seconds(), 0, maxSeconds},
		{"window", p.Window.Seconds(), minWindow, maxSeconds},
		{"outage", p.Outage.Seconds(), 0, maxSeconds},
		{"restart-every", p.RestartInterval.Seconds(), 0, maxSeconds},
	}
	for i := range ranges {
		r := &ranges[i]
		if inRange := r.Value >= r.Min && r.Value <= r.Max; !inRange { // NaN is not in range
			return r
		}
	}
	return p.validateDescriptors()
}

func (p *Point) validateDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	needed := max(p.fleetDescriptors(), p.cacheServerDescriptors()) + processDescriptorReserve
	if uint64(needed) > limit.Cur {
		return &DescriptorError{Needed: needed, Limit: limit.Cur}
	}
	return nil
}

// Upper bounds for the estimate of a process's file descriptors.
const (
	processDescriptorReserve  = 200 // for descriptors that are not counted
	connsPerRouter            = 2   // connections of a router to discovery, or to a connected cache server
	connsPerRouterWithClosing = 3   // connections of a router to a cache server, including closing ones
	realRouters               = int(groupCount - firstRealGroup)
)

// fleetDescriptors returns an upper bound of the descriptors of a process of hollow routers.
func (p *Point) fleetDescriptors() int {
	watches := connsPerRouter * p.hollowRouters() / p.fleetProcesses()
	mirrors := connsPerRouterWithClosing * p.connectedServers() * (1 + p.Routers/p.fleetProcesses())
	return watches + mirrors
}

// cacheServerDescriptors returns an upper bound of the descriptors of a process of cache servers.
func (p *Point) cacheServerDescriptors() int {
	listeners := cacheServersPerProcess * int(groupCount)
	connsOfServer := min(p.MaxServerConns, connsPerRouter*p.Routers)
	connected := 1 + p.connectedServers()*cacheServersPerProcess/max(p.CacheServers, cacheServersPerProcess)
	return listeners + connsOfServer*connected + realRouters*p.RouterDescriptors
}

func (p *Point) connectedServers() int { return min(p.ConnectedServers, p.CacheServers) }
func (p *Point) activeRouters() int    { return min(p.ActiveRouters, p.Routers) }
func (p *Point) hollowRouters() int {
	return max(p.activeRouters(), min(p.HollowRouters, p.Routers))
}

// fleetProcesses returns the number of processes with hollow routers.
func (p *Point) fleetProcesses() int {
	needed := (p.hollowRouters() + hollowRoutersPerProcess - 1) / hollowRoutersPerProcess
	return max(min(minActiveProcesses, p.activeRouters()), needed)
}

// connectedPosition returns the position on the endpoint list of the k-th cache server to which sockets
// are opened. These are spread evenly over the list and, if there are enough cache servers, all have the
// middle one of the nominal weights.
func (p *Point) connectedPosition(k int) int {
	position := k * p.CacheServers / p.connectedServers()
	if p.CacheServers/p.connectedServers() >= nominalWeightCount {
		position += nominalWeightCount/2 - position%nominalWeightCount
	}
	return position
}

// share returns the i-th of n nearly equal parts of a total.
func share(total, n, i int) int { return total*(i+1)/n - total*i/n }
