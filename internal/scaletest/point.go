package scaletest

// This file defines the size and the options of one run, and validates them.

import (
	"fmt"
	"syscall"
	"time"
)

// Point is the size and the options of one run.
type Point struct {
	CacheServers, Routers int

	RequestRate       float64       // requests a second at each router
	HollowRouters     int           // hollow routers to simulate, at most; each keeps a watch
	ActiveRouters     int           // of these, how many get requests, at most
	ConnectedServers  int           // cache servers to which the whole fleet's sockets are opened, at most
	MaxServerConns    int           // connections that a cache server holds
	RouterDescriptors int           // file descriptors of a router
	RouterMemoryMB    int           // memory of a router
	WatchRequired     bool          // the endpoint list goes only to routers that ask for it
	Warmup, Window    time.Duration // before the measurement, and of it
	RestartInterval   time.Duration // in which one cache server is listed as terminated and started again; 0 for never
	Outage            time.Duration // for which discovery is down after the window; 0 for never
}

// How the stand-ins are spread over processes.
const (
	cacheServersPerProcess  = 200
	hollowRoutersPerProcess = 350
	minActiveProcesses      = 2 // processes of hollow routers, where there are so many active ones
)

// The ranges of what a point may be given.
const (
	maxRouters     = 100_000
	minRate        = 1e-3
	maxRate        = 1e5
	minDescriptors = 64
	maxLimit       = 1e6 // of connections, descriptors and megabytes
	minWindow      = .1  // seconds
	maxSeconds     = 3600
)

// RangeError says that a value of a point is out of range.
type RangeError struct {
	Name            string // of the command-line flag
	Value, Min, Max float64
}

func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, want %v to %v", e.Name, e.Value, e.Min, e.Max)
}

// DescriptorError says that a point needs more file descriptors than a process may have.
type DescriptorError struct {
	Needed int
	Limit  uint64
}

func (e *DescriptorError) Error() string {
	return fmt.Sprintf("up to %d descriptors in a process, of %d: give less for open, hollow or cache-conns",
		e.Needed, e.Limit)
}

// Validate checks that everything is in range and that the point fits into this machine's limit of
// file descriptors.
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
	needed := max(p.fleetDescriptors(), p.cacheServerDescriptors()) + descriptorReserve
	if uint64(needed) > limit.Cur {
		return &DescriptorError{Needed: needed, Limit: limit.Cur}
	}
	return nil
}

// The bounds by which the descriptors of a process are estimated.
const (
	descriptorReserve = 200 // for what is not counted
	connsPerRouter    = 2   // of a router to discovery, or to a cache server that is connected
	connsWithClosing  = 3   // of a router to a cache server, with some more on their way down
	realRouters       = int(groupCount - firstRealGroup)
)

// fleetDescriptors is how many descriptors a process of hollow routers needs at most.
func (p *Point) fleetDescriptors() int {
	watches := connsPerRouter * p.hollowRouters() / p.fleetProcesses()
	mirrors := connsWithClosing * p.connectedServers() * (1 + p.Routers/p.fleetProcesses())
	return watches + mirrors
}

// cacheServerDescriptors is how many descriptors a process of cache servers needs at most.
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

// fleetProcesses is the number of processes with hollow routers.
func (p *Point) fleetProcesses() int {
	needed := (p.hollowRouters() + hollowRoutersPerProcess - 1) / hollowRoutersPerProcess
	return max(min(minActiveProcesses, p.activeRouters()), needed)
}

// connectedPosition is the position on the list of the k-th cache server to which sockets are
// opened: they are spread out, and where there are enough, all have the middle one of the sizes.
func (p *Point) connectedPosition(k int) int {
	position := k * p.CacheServers / p.connectedServers()
	if p.CacheServers/p.connectedServers() >= serverSizes {
		position += serverSizes/2 - position%serverSizes
	}
	return position
}

// share is the i-th of n nearly equal parts of a total.
func share(total, n, i int) int { return total*(i+1)/n - total*i/n }
