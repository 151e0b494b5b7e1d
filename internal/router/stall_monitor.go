package router

import (
	"sync"
	"time"

	"marlstage/policy"
)

const (
	// heartbeatInterval is the time between two heartbeats of an idle event loop.
	heartbeatInterval = 30 * time.Millisecond
	// minStall is the time in microseconds without a heartbeat from which on the process counts as stalled.
	// Clients tolerate a delay of this length in addition to the travel time of a reply.
	minStall policy.Time = 40_000
	// backlogTime is the time in microseconds after a stall during which bytes that arrived in the stall may
	// still be unread.
	backlogTime policy.Time = 20_000
)

// maxProbeTime is the time in microseconds after which a probe that has not returned counts as lost.
const maxProbeTime policy.Time = 2_000_000

// stallMonitor detects the times in which the process did not run (heartbeats are missing) or was late to
// handle events. A client counts the timeout of a request from when it sent the request, and there is no other
// way on all systems to find out how long the request has waited for a process that was stalled or is behind.
// The methods may be called from any goroutine.
type stallMonitor struct {
	onStall func(duration policy.Time) // called after each stall
	// sendProbe sends a probe and reports whether that succeeded. probeReturned is called once what has
	// arrived by now is being read. Without a probe, bytes that arrived during a stall count as read after
	// backlogTime.
	sendProbe func() bool

	mu                sync.Mutex
	lastBeat          policy.Time // latest time at which the process was known to run
	backlogStart      policy.Time // earliest arrival of bytes left unread by the last stall or delay
	backlogEnd        policy.Time // end of that stall or delay, or of the probe that followed it
	probeSentAt       policy.Time // when the pending probe was sent; 0 if there is none
	lastProbeAt       policy.Time // when the last probe was sent
	routineProbe      bool        // the pending probe was not sent for a stall or delay
	stalledSinceProbe bool        // another stall or delay has occurred since then
}

func newStallMonitor(now policy.Time, onStall func(duration policy.Time)) *stallMonitor {
	return &stallMonitor{onStall: onStall, sendProbe: func() bool { return false }, lastBeat: now}
}

// useProbe sets the function that sends a probe and reports whether that succeeded.
func (m *stallMonitor) useProbe(send func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendProbe = send
}

// beat records that the process runs at the given time.
func (m *stallMonitor) beat(now policy.Time) {
	m.mu.Lock()
	duration := m.beatLocked(now)
	m.mu.Unlock()
	if duration > 0 {
		m.onStall(duration)
	}
}

// beatLocked is beat for callers that hold the lock. It returns the length of the stall that ends now, or 0 if
// there was none.
func (m *stallMonitor) beatLocked(now policy.Time) policy.Time {
	previous := m.lastBeat
	m.lastBeat = max(previous, now)
	if now-previous < minStall {
		m.probeRoutinely(now)
		return 0
	}
	m.noteBacklog(previous, now)
	return now - previous
}

// probeRoutinely sends a probe if none was sent for a heartbeat interval. It shows delays of the readers that the event
// loop does not have: the runtime may poll the sockets late while the loop always has something to do.
func (m *stallMonitor) probeRoutinely(now policy.Time) {
	due := m.lastProbeAt + heartbeatInterval.Microseconds()
	if m.probeSentAt > 0 || now < due || now < m.backlogEnd+backlogTime || !m.sendProbe() {
		return
	}
	m.backlogStart, m.probeSentAt, m.lastProbeAt, m.routineProbe = now, now, now, true
}

// noteLate records that the process, although it was running, handles only now what was due at the given time.
func (m *stallMonitor) noteLate(due, now policy.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteBacklog(due, now)
}

// noteBacklog records that bytes that arrived since the given time may be unread. The caller holds the lock.
func (m *stallMonitor) noteBacklog(since, now policy.Time) {
	switch {
	case m.probeSentAt > 0:
		m.stalledSinceProbe = true
		if m.routineProbe {
			m.backlogStart = min(m.backlogStart, since)
		}
	case m.sendProbe():
		m.backlogStart, m.probeSentAt, m.lastProbeAt, m.routineProbe = since, now, now, false
	case since >= m.backlogEnd+backlogTime:
		m.backlogStart = since
	default:
		// Bytes that arrived during the previous stall may still be unread, but no longer than maxStall
		// before this one.
		m.backlogStart = max(m.backlogStart, since-maxStall.Microseconds())
	}
	m.backlogEnd = now
}

// probeReturned records that what arrived before the probe was sent has been read. If the process was stalled
// since then, or the probe took long, later bytes may have waited as well, and another probe covers them.
func (m *stallMonitor) probeReturned(now policy.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sentAt := m.probeSentAt
	if sentAt == 0 {
		return // the probe already counts as lost
	}
	m.probeSentAt = 0
	delayed := m.stalledSinceProbe || now-sentAt >= minStall
	m.stalledSinceProbe = false
	if m.routineProbe && !delayed {
		return // the readers are in time
	}
	m.backlogEnd = now
	if delayed && m.sendProbe() {
		m.backlogStart, m.probeSentAt, m.lastProbeAt, m.routineProbe = sentAt, now, now, false
	}
}

// earliestArrival returns the earliest time at which bytes may have arrived that a waiting reader receives now.
// They have just arrived if the process was neither stalled nor late; otherwise they may be older.
func (m *stallMonitor) earliestArrival(now policy.Time) policy.Time {
	m.beat(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.probeSentAt > 0 && now-m.probeSentAt > maxProbeTime {
		m.probeSentAt, m.stalledSinceProbe = 0, false
	}
	if m.probeSentAt > 0 || now < m.backlogEnd+backlogTime {
		return min(now, m.backlogStart)
	}
	return now
}
