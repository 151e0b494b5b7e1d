package router

import (
	"marlstage/internal/discovery"
	"marlstage/policy"
)

const (
	// maxListDelay is the expected maximum time from a cache's start until it appears in the endpoint
	// list, as long as the router is in contact with the discovery service. Slow start tolerates an age
	// that is wrong by this much.
	maxListDelay policy.Time = 500_000
	// startRetention is how long the start time of a cache is kept after the cache is no longer listed,
	// since it may be listed again without a restart.
	startRetention policy.Time = 600_000_000
	// startCleanupInterval is the minimum time between two removals of expired start times.
	startCleanupInterval policy.Time = 60_000_000
)

// startTimes converts the start times in endpoint lists, which are based on the wall clock of the caches, to
// the event loop's clock. The wall clock that the loop read at its start may have been wrong, so an age
// computed with it counts only if it is consistent with the time at which the start was first listed.
type startTimes struct {
	caches         map[string]startTime // by the name of the cache
	newestStart    policy.Time          // latest start ever listed, by the caches' clock
	newestListedAt policy.Time          // when that start was first listed, by the loop's clock
	lastContact    policy.Time          // when the last list that was not stale arrived; 0 if there was none
	inContact      bool                 // no call to the discovery service has failed since lastContact
	nextCleanup    policy.Time          // time of the next removal of expired start times
}

// startTime is the start of one incarnation of a cache, by two clocks.
type startTime struct {
	listed     policy.Time // by the caches' clock, as in the endpoint list
	local      policy.Time // by the event loop's clock
	unlistedAt policy.Time // when a list first omitted or removed the cache; 0 while it is listed
}

func newStartTimes() *startTimes { return &startTimes{caches: map[string]startTime{}} }

// noteContactLost records that a call to the discovery service failed. Starts in later lists may be as old as
// the last contact.
func (s *startTimes) noteContactLost() { s.inContact = false }

// convert returns the endpoints of a list that arrived at the time now, with their start times by the loop's
// clock. The converted start time of an incarnation does not change when later lists repeat it.
func (s *startTimes) convert(list *discovery.EndpointList, kind policy.UpdateKind, now policy.Time) []policy.Endpoint {
	for _, endpoint := range list.Endpoints {
		if endpoint.StartedAt > s.newestStart {
			s.newestStart, s.newestListedAt = endpoint.StartedAt, now
		}
	}
	maxAge := s.maxAge(now)
	converted := make([]policy.Endpoint, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		start, known := s.caches[endpoint.ID]
		if !known || start.listed != endpoint.StartedAt {
			start = startTime{listed: endpoint.StartedAt, local: s.localTime(endpoint.StartedAt, maxAge, now)}
		}
		start.unlistedAt = 0
		if endpoint.State == policy.Removed {
			start.unlistedAt = now
		}
		s.caches[endpoint.ID] = start
		endpoint.StartedAt = start.local
		converted[i] = endpoint
	}
	if list.Snapshot {
		s.noteUnlisted(list.Endpoints, now)
	}
	s.removeExpired(now)
	if kind != policy.UpdateStale {
		s.lastContact, s.inContact = now, true
	}
	return converted
}

// maxAge returns the maximum age of a start that is listed for the first time now. There is no bound before
// the router has received a list that is not stale.
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

// localTime returns the start time of a cache by the loop's clock. listed is its start by the caches' clock. A
// listed start that is in the future, or older than maxAge, shows that the loop's clock is wrong. A start that
// seems too old then gets the age maxListDelay, because a cold cache can be overloaded. A start that seems to
// be in the future may be an old one: its age is the time since the newest start was first listed, plus the
// difference between the two starts by the caches' clock.
func (s *startTimes) localTime(listed, maxAge, now policy.Time) policy.Time {
	age := now - listed
	switch {
	case listed == 0:
		return 0 // 0 means that the cache started long ago
	case age < 0:
		return now - max(0, s.newestStart-listed+now-s.newestListedAt)
	case age > maxAge:
		return now - maxListDelay
	default:
		return listed
	}
}

// noteUnlisted records which caches a snapshot does not list.
func (s *startTimes) noteUnlisted(endpoints []policy.Endpoint, now policy.Time) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
	}
	for id, start := range s.caches {
		if !listed[id] && start.unlistedAt == 0 {
			start.unlistedAt = now
			s.caches[id] = start
		}
	}
}

// removeExpired removes the start times of caches that have not been listed for startRetention.
func (s *startTimes) removeExpired(now policy.Time) {
	if now < s.nextCleanup {
		return
	}
	s.nextCleanup = now + startCleanupInterval
	for id, start := range s.caches {
		if start.unlistedAt > 0 && start.unlistedAt+startRetention <= now {
			delete(s.caches, id)
		}
	}
}
