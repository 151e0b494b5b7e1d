package scaletest

// This file reads the counters of all processes.

import (
	"errors"
	"time"
)

// sample holds the counters of all processes at one time.
type sample struct {
	takenAt      time.Time
	cacheServers [][]CacheStats // by cache server and group
	discovery    []DiscoveryStats
	fleet        FleetStats
	clients      [groupCount]ClientStats // since the previous sample
	routers      [groupCount]usage
	standIns     standInUsage
}

// standInUsage is the resource usage of the processes of the stand-ins.
type standInUsage struct{ cacheServers, discovery, fleet usage }

func (t *testbed) takeSample() (*sample, error) {
	s := &sample{takenAt: time.Now()}
	err := errors.Join(
		t.sampleRealRouters(s),
		t.sampleCacheServers(s),
		t.sampleDiscovery(s),
		t.sampleFleets(s),
	)
	return s, err
}

func (t *testbed) sampleRealRouters(s *sample) error {
	var errs []error
	for group := firstRealGroup; group < groupCount; group++ {
		errs = append(errs, s.routers[group].add(t.routers[group]))
		if t.clients[group] != nil {
			s.clients[group] = t.clients[group].TakeStats()
		}
	}
	return errors.Join(errs...)
}

func (t *testbed) sampleCacheServers(s *sample) error {
	var errs []error
	for _, p := range t.cacheServers {
		var stats [][]CacheStats
		errs = append(errs, p.do(commandCount, &stats), s.standIns.cacheServers.add(p))
		s.cacheServers = append(s.cacheServers, stats...)
	}
	return errors.Join(errs...)
}

func (t *testbed) sampleDiscovery(s *sample) error {
	return errors.Join(t.discovery.do(commandCount, &s.discovery), s.standIns.discovery.add(t.discovery))
}

func (t *testbed) sampleFleets(s *sample) error {
	var errs []error
	for _, p := range t.fleets {
		var stats FleetStats
		errs = append(errs, p.do(commandCount, &stats), s.standIns.fleet.add(p))
		s.fleet.add(stats)
	}
	return errors.Join(errs...)
}
