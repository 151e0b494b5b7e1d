package scaletest

// This file starts and stops the processes of one run.

import (
	"context"
	"encoding/json"
	"fmt"
)

// testbed holds the processes and clients of one run.
type testbed struct {
	Point
	onExit       context.CancelCauseFunc // called if a process exits without being stopped
	processes    []*process              // all processes of the run
	cacheServers []*process
	discovery    *process
	fleets       []*process
	routers      [groupCount]*process // the real routers
	clients      [groupCount]*Clients
}

// stop stops every process.
func (t *testbed) stop() {
	for _, p := range t.processes {
		p.stop()
	}
}

func (t *testbed) start(ctx context.Context, dir, program string) error {
	addrs, err := t.startCacheServers()
	if err != nil {
		return err
	}
	discovery, err := t.startDiscovery(addrs)
	if err != nil {
		return err
	}
	for group := firstRealGroup; group < groupCount; group++ {
		if err := t.startRealRouter(ctx, dir, program, group, discovery); err != nil {
			return err
		}
	}
	return t.startFleets(discovery)
}

// startWorker starts a worker process and decodes its first reply into ready.
func (t *testbed) startWorker(name string, spec workerSpec, ready any) (*process, error) {
	p, err := startWorker(name, spec, ready, t.onExit)
	if p != nil {
		t.processes = append(t.processes, p)
	}
	return p, err
}

// startCacheServers starts the cache servers and returns their addresses by cache server and group.
func (t *testbed) startCacheServers() ([][]string, error) {
	var addrs [][]string
	for first := 0; first < t.CacheServers; first += cacheServersPerProcess {
		spec := &CacheServersSpec{
			First:       first,
			Count:       min(cacheServersPerProcess, t.CacheServers-first),
			Groups:      int(groupCount),
			MaxConns:    int64(t.MaxServerConns),
			IdleTimeout: keepalive,
		}
		var ready [][]string
		p, err := t.startWorker("caches", workerSpec{CacheServers: spec}, &ready)
		if err != nil {
			return nil, err
		}
		t.cacheServers = append(t.cacheServers, p)
		addrs = append(addrs, ready...)
	}
	return addrs, nil
}

func (t *testbed) startDiscovery(addrs [][]string) (ready discoveryReady, err error) {
	spec := &discoverySpec{Addrs: addrs, Groups: int(groupCount), RestartInterval: t.RestartInterval}
	t.discovery, err = t.startWorker("agent", workerSpec{Discovery: spec}, &ready)
	return ready, err
}

// settings returns the settings of the routers of one group.
func (t *testbed) settings(group routerGroup) json.RawMessage {
	return Settings{
		Routers:       t.Routers,
		WatchRequired: t.WatchRequired,
		HealthChecks:  group != groupNoHealthChecks,
	}.JSON()
}

// startRealRouter starts the real router of a group and, unless it is the idle one, its clients.
func (t *testbed) startRealRouter(
	ctx context.Context, dir, program string, group routerGroup, discovery discoveryReady,
) error {
	config := routerConfig{
		Name:      group.String(),
		Listen:    "127.0.0.1:0",
		Discovery: discovery.Addrs[group],
		Seed:      fmt.Sprint(int(group)),
		Endpoints: discovery.Endpoints[group],
		Limits:    routerLimits{Cores: 1, MemoryMB: t.RouterMemoryMB, Descriptors: t.RouterDescriptors},
		Settings:  t.settings(group),
	}
	p, addr, err := startRouter(ctx, program, dir, config, t.onExit)
	if p != nil {
		t.processes = append(t.processes, p)
		t.routers[group] = p
	}
	if err != nil {
		return err
	}
	if group != groupIdle {
		t.clients[group] = NewClients(addr, t.RequestRate)
		go t.clients[group].Run(ctx, 0)
	}
	return nil
}

func (t *testbed) startFleets(discovery discoveryReady) error {
	for i := range t.fleetProcesses() {
		var started int
		p, err := t.startWorker("fleet", workerSpec{Fleet: t.fleetSpec(i, discovery)}, &started)
		if err != nil {
			return err
		}
		t.fleets = append(t.fleets, p)
	}
	return nil
}

// fleetSpec returns the configuration of the i-th process of hollow routers.
func (t *testbed) fleetSpec(i int, discovery discoveryReady) *FleetSpec {
	n := t.fleetProcesses()
	spec := &FleetSpec{
		WatchOnlyRouters:  share(t.hollowRouters()-t.activeRouters(), n, i),
		RequestRate:       t.RequestRate,
		RouterDescriptors: t.RouterDescriptors,
		Seed:              uint64(i + 1),
		DiscoveryAddr:     discovery.Addrs[groupHollow],
		InitialEndpoints:  discovery.Endpoints[groupHollow],
		Settings:          t.settings(groupHollow),
	}
	active := share(t.activeRouters(), n, i)
	represented := share(t.Routers-t.activeRouters(), n, i)
	for k := range active {
		spec.RepresentedRouters = append(spec.RepresentedRouters, share(represented, active, k))
	}
	for k := range t.connectedServers() {
		spec.ConnectedServers = append(spec.ConnectedServers, t.connectedPosition(k))
	}
	return spec
}
