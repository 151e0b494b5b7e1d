package scaletest

// This file defines the worker processes and their protocol.

import (
	"encoding/json"
	"errors"
	"io"
	"runtime/debug"
	"time"
)

// RoleEnv is the environment variable that, if it is set, makes a process of this program a worker.
const RoleEnv = "SCALETEST_ROLE"

// workerSpec configures a worker. Exactly one field is set.
type workerSpec struct {
	CacheServers *CacheServersSpec
	Discovery    *discoverySpec
	Fleet        *FleetSpec
}

// discoverySpec configures the discovery agent of a run.
type discoverySpec struct {
	Addrs           [][]string    // of the cache servers, by cache server and group
	Groups          int           // number of groups of routers
	RestartInterval time.Duration // time in which one cache server is listed as restarted; 0 for never
}

// discoveryReady is the first reply of a discovery agent, by group of routers.
type discoveryReady struct {
	Addrs     []string
	Endpoints []json.RawMessage // the endpoint list
}

// workerCommand is a command to a worker. The worker replies with its counters.
type workerCommand string

const (
	commandCount         workerCommand = "count"
	commandDiscoveryDown workerCommand = "down"
	commandDiscoveryUp   workerCommand = "up"
)

// worker runs one of the stand-ins.
type worker interface {
	// readyReply returns the worker's first reply, which tells the parent process that the worker is ready.
	readyReply() any
	// handle executes a command and returns the reply.
	handle(command workerCommand) any
}

// RunWorker runs a worker. It reads a workerSpec and then commands from in, and replies to each on out,
// until in is closed.
func RunWorker(in io.Reader, out io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(out)
	var spec workerSpec
	if err := decoder.Decode(&spec); err != nil {
		return err
	}
	w, err := newWorker(spec)
	if err != nil {
		return err
	}
	reply := w.readyReply()
	for {
		if err := encoder.Encode(reply); err != nil {
			return err
		}
		var command workerCommand
		err := decoder.Decode(&command)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = w.handle(command)
	}
}

func newWorker(spec workerSpec) (worker, error) {
	switch {
	case spec.CacheServers != nil:
		servers, err := StartCacheServers(*spec.CacheServers)
		return cacheServersWorker{servers}, err
	case spec.Discovery != nil:
		return startDiscoveryWorker(*spec.Discovery)
	default:
		return startFleetWorker(*spec.Fleet)
	}
}

type cacheServersWorker struct{ servers *CacheServers }

func (w cacheServersWorker) readyReply() any          { return w.servers.Addrs }
func (w cacheServersWorker) handle(workerCommand) any { return w.servers.Stats() }

type discoveryWorker struct {
	agent  *DiscoveryAgent
	groups int
}

func startDiscoveryWorker(spec discoverySpec) (worker, error) {
	agent, err := StartDiscoveryAgent(spec.Addrs, spec.Groups)
	if err != nil {
		return nil, err
	}
	go agent.SimulateWeightChanges()
	if spec.RestartInterval > 0 {
		go agent.SimulateRestarts(spec.RestartInterval)
	}
	return discoveryWorker{agent: agent, groups: spec.Groups}, nil
}

func (w discoveryWorker) readyReply() any {
	reply := discoveryReady{Addrs: w.agent.Addrs}
	for group := range w.groups {
		reply.Endpoints = append(reply.Endpoints, w.agent.Snapshot(group))
	}
	return reply
}

func (w discoveryWorker) handle(command workerCommand) any {
	if command != commandCount {
		w.agent.SetDown(command == commandDiscoveryDown)
	}
	return w.agent.Stats()
}

type fleetWorker struct{ fleet *Fleet }

// fleetGCPercent makes the garbage collector run less often than by default (100), because processor
// time is scarcer than memory here.
const fleetGCPercent = 400

func startFleetWorker(spec FleetSpec) (worker, error) {
	debug.SetGCPercent(fleetGCPercent)
	fleet, err := StartFleet(spec)
	return fleetWorker{fleet}, err
}

func (w fleetWorker) readyReply() any          { return len(w.fleet.routers) }
func (w fleetWorker) handle(workerCommand) any { return w.fleet.Stats() }
