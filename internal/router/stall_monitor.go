package router

import (
	"sync"
	"time"

	"marlstage/policy"
)

const (
	// heartbeatInterval is the time between two heartbeats of an event loop that has nothing to do.
	heartbeatInterval = 30 * time.Millisecond
	// minStall is the time in microseconds without a heartbeat from which on the process counts as having
	// been stalled. Clients allow for as much beside the travel time of a reply.
	minStall policy.Time = 40_000
	// backlogTime is how long after a stall, in microseconds, bytes may be read for the first time that
	// arrived during it.
	backlogTime policy.Time = 20_000
)

// stallMonitor notes the times in which the process did not run, by heartbeats that are missing. A client
// counts the timeout of a request from when it has sent it, and nothing else tells on each system how
// long the request has waited for a process that was stalled. Any goroutine may use it.
type stallMonitor struct {
	reported func(duration policy.Time) // is told of each stall

	mu       sync.Mutex
	lastBeat policy.Time // latest time at which the process was seen running
	begin    policy.Time // of the last stall, or of the first in a series, ...
	end      policy.Time // ... and the end of the last one
}

func newStallMonitor(now policy.Time, reported func(duration policy.Time)) *stallMonitor {
	return &stallMonitor{reported: reported, lastBeat: now}
}

// beat notes that the process runs at the given time.
func (m *stallMonitor) beat(now policy.Time) {
	m.mu.Lock()
	duration := m.beatLocked(now)
	m.mu.Unlock()
	if duration > 0 {
		m.reported(duration)
	}
}

// beatLocked returns the length of the stall that ends now; 0 if there was none.
func (m *stallMonitor) beatLocked(now policy.Time) policy.Time {
	previous := m.lastBeat
	m.lastBeat = max(previous, now)
	if now-previous < minStall {
		return 0
	}
	if previous >= m.end+backlogTime {
		m.begin = previous
	} else {
		// What arrived during the stall before may still be unread, but for no longer than another one.
		m.begin = max(m.begin, previous-maxStall.Microseconds())
	}
	m.end = now
	return now - previous
}

// arrivedSince returns the earliest time at which bytes may have arrived that a waiting reader gets at the
// given time. That it gets them now says when they arrived only if the process has been running.
func (m *stallMonitor) arrivedSince(now policy.Time) policy.Time {
	m.beat(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.end+backlogTime {
		return min(now, m.begin)
	}
	return now
}
