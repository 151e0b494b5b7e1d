package router

import (
	"sync"
	"time"

	"marlstage/policy"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 20 * time.Millisecond
	// minStall is the time in microseconds without a heartbeat from which on the process counts as having
	// been stalled.
	minStall policy.Time = 30_000
)

// stallMonitor notes the times in which the process did not run, by heartbeats that are missing. Any
// goroutine may use it.
type stallMonitor struct {
	clock    func() policy.Time
	reported func(duration policy.Time) // is told of each stall

	mu       sync.Mutex
	lastBeat policy.Time // latest time at which the process was seen running
}

func newStallMonitor(clock func() policy.Time, reported func(duration policy.Time)) *stallMonitor {
	return &stallMonitor{clock: clock, reported: reported, lastBeat: clock()}
}

// run makes heartbeats until done is closed.
func (m *stallMonitor) run(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.beat(m.clock())
		case <-done:
			return
		}
	}
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
	return now - previous
}
