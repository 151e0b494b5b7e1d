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

// maxProbeTime is how long a probe may take, in microseconds, before it counts as lost.
const maxProbeTime policy.Time = 2_000_000

// stallMonitor notes the times in which the process did not run, by heartbeats that are missing, or did not get
// to what was due. A client counts the timeout of a request from when it has sent it, and nothing else tells
// on each system how long the request has waited for a process that was stalled or is behind. Any goroutine
// may use it.
type stallMonitor struct {
	reported func(duration policy.Time) // is told of each stall
	// sendProbe has probeReturned called once what has arrived is being read, and reports whether it can.
	// Without it, what arrived during a stall counts as read a fixed time later.
	sendProbe func() bool

	mu       sync.Mutex
	lastBeat policy.Time // latest time at which the process was seen running
	begin    policy.Time // since then bytes may have arrived that are still unread, ...
	end      policy.Time // ... until some time after this
	probedAt policy.Time // when the probe was sent that has not returned; 0 if there is none
	again    bool        // there was another stall since
}

func newStallMonitor(now policy.Time, reported func(duration policy.Time)) *stallMonitor {
	return &stallMonitor{reported: reported, sendProbe: func() bool { return false }, lastBeat: now}
}

// useProbe has probes sent by a function from now on, which reports whether it could.
func (m *stallMonitor) useProbe(send func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendProbe = send
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
	m.behind(previous, now)
	return now - previous
}

// noteLate notes that the process gets only now to what was due at the given time, though it was running.
func (m *stallMonitor) noteLate(due, now policy.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behind(due, now)
}

// behind notes that bytes may be unread which arrived since the given time.
func (m *stallMonitor) behind(since, now policy.Time) {
	switch {
	case m.probedAt > 0:
		m.again = true
	case m.sendProbe():
		m.begin, m.probedAt = since, now
	case since >= m.end+backlogTime:
		m.begin = since
	default:
		// What arrived during the stall before may still be unread, but for no longer than another one.
		m.begin = max(m.begin, since-maxStall.Microseconds())
	}
	m.end = now
}

// probeReturned notes that what arrived before the probe was sent has been read. If the process was stalled
// meanwhile, or took long to get there, the next probe tells of the rest.
func (m *stallMonitor) probeReturned(now policy.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sentAt := m.probedAt
	if sentAt == 0 {
		return // it counts as lost
	}
	m.end, m.probedAt = now, 0
	if (m.again || now-sentAt >= minStall) && m.sendProbe() {
		m.begin, m.probedAt = sentAt, now
	}
	m.again = false
}

// arrivedSince returns the earliest time at which bytes may have arrived that a waiting reader gets at the
// given time. That it gets them now says when they arrived only if the process has been running.
func (m *stallMonitor) arrivedSince(now policy.Time) policy.Time {
	m.beat(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probedAt > 0 && now-m.probedAt > maxProbeTime {
		m.probedAt, m.again = 0, false
	}
	if m.probedAt > 0 || now < m.end+backlogTime {
		return min(now, m.begin)
	}
	return now
}
