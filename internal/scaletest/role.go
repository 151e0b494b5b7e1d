package scaletest

import (
	"encoding/json"
	"errors"
	"io"
	"runtime/debug"
	"time"
)

// RoleEnv is set for the processes of this program that play a part of the fleet.
const RoleEnv = "SCALETEST_ROLE"

// role says what such a process plays: one of these.
type role struct {
	CacheServers *CacheServersSpec
	Discovery    *discoverySpec
	Fleet        *FleetSpec
}

// discoverySpec says what the discovery agent of a run is.
type discoverySpec struct {
	Addrs           [][]string // of the cache servers, by cache server and group
	Groups          int
	RestartInterval time.Duration // 0 for never
}

// discoveryReady is what a discovery agent says at its start, by group.
type discoveryReady struct {
	Addrs     []string
	Endpoints []json.RawMessage // the endpoint list
}

// processCommand is what the first process may tell one that plays a part.
type processCommand string

const (
	commandCount         processCommand = "count" // reply with the counts; the others do so too
	commandDiscoveryDown processCommand = "down"
	commandDiscoveryUp   processCommand = "up"
)

// player plays a part of the fleet.
type player interface {
	// ready is the reply to the role, once the part is played.
	ready() any
	// handle returns the reply to a command.
	handle(command processCommand) any
}

// Serve plays a part: it reads a role and then commands from in, and answers each on out, until in
// ends.
func Serve(in io.Reader, out io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(out)
	var r role
	if err := decoder.Decode(&r); err != nil {
		return err
	}
	p, err := startPlayer(r)
	if err != nil {
		return err
	}
	reply := p.ready()
	for {
		if err := encoder.Encode(reply); err != nil {
			return err
		}
		var command processCommand
		err := decoder.Decode(&command)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply = p.handle(command)
	}
}

func startPlayer(r role) (player, error) {
	switch {
	case r.CacheServers != nil:
		servers, err := StartCacheServers(*r.CacheServers)
		return cacheServersPlayer{servers}, err
	case r.Discovery != nil:
		return startDiscoveryPlayer(*r.Discovery)
	default:
		return startFleetPlayer(*r.Fleet)
	}
}

type cacheServersPlayer struct{ servers *CacheServers }

func (p cacheServersPlayer) ready() any                { return p.servers.Addrs }
func (p cacheServersPlayer) handle(processCommand) any { return p.servers.Count() }

type discoveryPlayer struct {
	agent  *DiscoveryAgent
	groups int
}

func startDiscoveryPlayer(spec discoverySpec) (player, error) {
	agent, err := StartDiscoveryAgent(spec.Addrs, spec.Groups)
	if err != nil {
		return nil, err
	}
	go agent.KeepRenewingWeights()
	if spec.RestartInterval > 0 {
		go agent.KeepRestarting(spec.RestartInterval)
	}
	return discoveryPlayer{agent: agent, groups: spec.Groups}, nil
}

func (p discoveryPlayer) ready() any {
	reply := discoveryReady{Addrs: p.agent.Addrs}
	for group := range p.groups {
		reply.Endpoints = append(reply.Endpoints, p.agent.Snapshot(group))
	}
	return reply
}

func (p discoveryPlayer) handle(command processCommand) any {
	if command != commandCount {
		p.agent.SetDown(command == commandDiscoveryDown)
	}
	return p.agent.Count()
}

type fleetPlayer struct{ fleet *Fleet }

// fleetGCPercent has the garbage collector run seldom: there is enough memory, but not enough
// processor time.
const fleetGCPercent = 400

func startFleetPlayer(spec FleetSpec) (player, error) {
	debug.SetGCPercent(fleetGCPercent)
	fleet, err := StartFleet(spec)
	return fleetPlayer{fleet}, err
}

func (p fleetPlayer) ready() any                { return len(p.fleet.routers) }
func (p fleetPlayer) handle(processCommand) any { return p.fleet.Count() }
