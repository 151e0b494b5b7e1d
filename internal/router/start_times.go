package router

import (
	"marlstage/internal/discovery"
	"marlstage/policy"
)

// maxListDelay is how long after a server's start the endpoint list may tell of it, as long as the
// router has been in contact with the discovery service.
const maxListDelay policy.Time = 2_000_000

// startTimes converts the start times of the endpoint list, which follow the wall clock of the
// servers, to the event loop's clock. The wall clock that the loop read at its start may have been
// off, so an age by that clock counts only if it agrees with when the list told of the start.
type startTimes struct {
	servers     map[string]startTime // by name
	newest      policy.Time          // latest start ever listed, by the servers' clock ...
	newestAt    policy.Time          // ... and when it was listed first, by the loop's
	lastContact policy.Time          // when the last list came; 0 before the first one that is not stale
	inContact   bool                 // the discovery service has answered each call since
}

// startTime is the start of one incarnation of a server, by two clocks.
type startTime struct {
	listed policy.Time // by the servers' clock, as the endpoint list has it
	local  policy.Time // by the event loop's
}

func newStartTimes() *startTimes { return &startTimes{servers: map[string]startTime{}} }

// contactLost notes that a call to the discovery service failed: later lists may tell of starts
// that are as old as the last one.
func (s *startTimes) contactLost() { s.inContact = false }

// convert returns the endpoints of a list that arrived at the given time, with their start times by
// the loop's clock. That of an incarnation stays as it is when the list repeats it.
func (s *startTimes) convert(list *discovery.EndpointList, kind policy.UpdateKind, now policy.Time) []policy.Endpoint {
	for _, endpoint := range list.Endpoints {
		if endpoint.StartedAt > s.newest {
			s.newest, s.newestAt = endpoint.StartedAt, now
		}
	}
	maxAge := s.maxAge(now)
	converted := make([]policy.Endpoint, len(list.Endpoints))
	current := make(map[string]startTime, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		start, known := s.servers[endpoint.ID]
		if !known || start.listed != endpoint.StartedAt {
			start = startTime{listed: endpoint.StartedAt, local: s.localTime(endpoint.StartedAt, maxAge, now)}
		}
		current[endpoint.ID] = start
		endpoint.StartedAt = start.local
		converted[i] = endpoint
	}
	s.remember(current, list)
	if kind != policy.UpdateStale {
		s.lastContact, s.inContact = now, true
	}
	return converted
}

// maxAge returns how old a start may be that a list tells of now for the first time. There is no
// bound before the router has seen a list that is up to date.
func (s *startTimes) maxAge(now policy.Time) policy.Time {
	switch {
	case s.lastContact == 0:
		return now
	case s.inContact:
		return maxListDelay
	default:
		return now - s.lastContact + maxListDelay
	}
}

// localTime returns when a server started, by the loop's clock. A start that is in the future by
// that clock, or too old to be news, shows that the clock was off. Its age is then at least the
// time by which it precedes the newest start, as one clock dates all starts; a server that may be
// older than that counts as no older, since one that is cold can be overloaded.
func (s *startTimes) localTime(listed, maxAge, now policy.Time) policy.Time {
	if listed == 0 {
		return 0 // long ago
	}
	age := now - listed
	if age < 0 || age > maxAge {
		age = max(0, s.newest-listed+now-s.newestAt)
	}
	return now - age
}

// remember keeps the start times of the endpoints that a list names, and of those that it leaves
// as they are.
func (s *startTimes) remember(current map[string]startTime, list *discovery.EndpointList) {
	if list.Snapshot {
		s.servers = current
	}
	for _, endpoint := range list.Endpoints {
		s.servers[endpoint.ID] = current[endpoint.ID]
		if endpoint.State == policy.Removed {
			delete(s.servers, endpoint.ID)
		}
	}
}
