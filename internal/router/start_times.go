package router

import (
	"marlstage/internal/discovery"
	"marlstage/policy"
)

const (
	// maxListDelay is how long after a server's start the endpoint list is expected to tell of it, as
	// long as the router is in contact with the discovery service. Slow start allows for an age that is
	// wrong by as much.
	maxListDelay policy.Time = 500_000
	// startRetention is how long the start of a server is kept that is no longer listed. It may be
	// listed again without a restart.
	startRetention policy.Time = 600_000_000
	// startCleanupInterval is the least time between two searches for starts that are kept no longer.
	startCleanupInterval policy.Time = 60_000_000
)

// startTimes converts the start times of the endpoint list, which follow the wall clock of the
// servers, to the event loop's clock. The wall clock that the loop read at its start may have been
// off, so an age by that clock counts only if it agrees with when the list told of the start.
type startTimes struct {
	servers     map[string]startTime // by name
	newest      policy.Time          // latest start ever listed, by the servers' clock ...
	newestAt    policy.Time          // ... and when it was listed first, by the loop's
	lastContact policy.Time          // when the last list came; 0 before the first one that is not stale
	inContact   bool                 // the discovery service has answered each call since
	cleanupAt   policy.Time          // before that, no start is forgotten
}

// startTime is the start of one incarnation of a server, by two clocks.
type startTime struct {
	listed policy.Time // by the servers' clock, as the endpoint list has it
	local  policy.Time // by the event loop's
	goneAt policy.Time // when the list no longer had the server; 0 while it has
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
	for i, endpoint := range list.Endpoints {
		start, known := s.servers[endpoint.ID]
		if !known || start.listed != endpoint.StartedAt {
			start = startTime{listed: endpoint.StartedAt, local: s.localTime(endpoint.StartedAt, maxAge, now)}
		}
		start.goneAt = 0
		if endpoint.State == policy.Removed {
			start.goneAt = now
		}
		s.servers[endpoint.ID] = start
		endpoint.StartedAt = start.local
		converted[i] = endpoint
	}
	if list.Snapshot {
		s.noteUnlisted(list.Endpoints, now)
	}
	s.forgetGone(now)
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
// that clock, or too old to be news, shows that the clock was off. News is then taken for as young as
// it is expected to be, since a server that is cold can be overloaded. A start in the future may be
// one of long ago, and precedes the newest start by as much as the servers' clock says.
func (s *startTimes) localTime(listed, maxAge, now policy.Time) policy.Time {
	age := now - listed
	switch {
	case listed == 0:
		return 0 // long ago
	case age < 0:
		return now - max(0, s.newest-listed+now-s.newestAt)
	case age > maxAge:
		return now - maxListDelay
	default:
		return listed
	}
}

// noteUnlisted notes which servers a snapshot does not list.
func (s *startTimes) noteUnlisted(endpoints []policy.Endpoint, now policy.Time) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
	}
	for id, start := range s.servers {
		if !listed[id] && start.goneAt == 0 {
			start.goneAt = now
			s.servers[id] = start
		}
	}
}

// forgetGone forgets the starts of servers that have not been listed for long.
func (s *startTimes) forgetGone(now policy.Time) {
	if now < s.cleanupAt {
		return
	}
	s.cleanupAt = now + startCleanupInterval
	for id, start := range s.servers {
		if start.goneAt > 0 && start.goneAt+startRetention <= now {
			delete(s.servers, id)
		}
	}
}
