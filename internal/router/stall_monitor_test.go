package router

import (
	"testing"

	"marlstage/policy"
)

// TestStallMonitor checks the earliest arrival time of bytes that are read after heartbeats and stalls.
func TestStallMonitor(t *testing.T) {
	const (
		start        policy.Time = 1_000_000
		interval                 = policy.Time(30_000)
		longestStall             = policy.Time(150_000)
	)
	for name, c := range map[string]struct {
		beats  []policy.Time // after the start
		readAt policy.Time   // after the start
		want   policy.Time
		stalls int
	}{
		"running":                   {[]policy.Time{interval, 2 * interval}, 2*interval + 5, 2*interval + 5, 0},
		"a heartbeat is late":       {[]policy.Time{interval}, interval + minStall - 1, interval + minStall - 1, 0},
		"read ends a stall":         {[]policy.Time{interval}, interval + longestStall, interval, 1},
		"read after a stall":        {[]policy.Time{interval, interval + longestStall}, interval + longestStall + backlogTime - 1, interval, 1},
		"read long after a stall":   {[]policy.Time{longestStall, longestStall + interval}, longestStall + backlogTime, longestStall + backlogTime, 1},
		"two stalls in a row":       {[]policy.Time{interval, interval + 50_000, interval + 60_000}, interval + 120_000, interval, 2},
		"two long stalls":           {[]policy.Time{800_000, 810_000}, 810_000 + longestStall, 810_000 - longestStall, 2},
		"two stalls apart":          {[]policy.Time{longestStall, longestStall + backlogTime}, 2*longestStall + backlogTime, longestStall + backlogTime, 2},
		"read before the heartbeat": {[]policy.Time{longestStall}, longestStall - 1, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			stalls := 0
			m := newStallMonitor(start, func(policy.Time) { stalls++ })
			for _, beat := range c.beats {
				m.beat(start + beat)
			}
			if got := m.earliestArrival(start+c.readAt) - start; got != c.want {
				t.Errorf("earliest arrival %d, want %d", got, c.want)
			}
			if stalls != c.stalls {
				t.Errorf("%d stalls, want %d", stalls, c.stalls)
			}
		})
	}
}

// TestArrivalDuringStall checks that bytes that may have arrived during a stall are assumed to have arrived
// at its beginning, but not before the previous read.
func TestArrivalDuringStall(t *testing.T) {
	const previous, begin, now = policy.Time(1_000_000), policy.Time(1_100_000), policy.Time(1_250_000)
	for name, c := range map[string]struct {
		previous, since, want policy.Time
	}{
		"stall while waiting":   {previous, begin, begin},
		"read during the stall": {begin + 10, begin, begin + 10},
		"running":               {previous, now, now},
	} {
		t.Run(name, func(t *testing.T) {
			arrival := arrivalTime{lastReadAt: c.previous}
			arrival.noteRead(now, false, false)
			arrival.noteStall(c.since)
			if arrival.earliest != c.want {
				t.Errorf("arrived at %d, want %d", arrival.earliest, c.want)
			}
		})
	}
}

// TestRoutineProbeShowsLateReaders checks that bytes count as having arrived since the last routine probe was sent if
// that returns late, although the event loop has its heartbeats in time, and that a probe which returns in time changes
// nothing. It guards against timeouts that count from too late a time while the runtime polls the sockets late.
func TestRoutineProbeShowsLateReaders(t *testing.T) {
	const (
		start    policy.Time = 1_000_000
		interval             = policy.Time(30_000)
		sentAt               = start + interval
	)
	newMonitor := func() *stallMonitor {
		m := newStallMonitor(start, func(policy.Time) {})
		m.useProbe(func() bool { return true })
		m.beat(sentAt)
		return m
	}
	inTime := newMonitor()
	inTime.probeReturned(sentAt + 100)
	if got := inTime.earliestArrival(sentAt + 200); got != sentAt+200 {
		t.Errorf("a probe in time: arrival counts from %d us after it", got-sentAt)
	}
	late := newMonitor()
	for beat := sentAt; beat < sentAt+10*interval; beat += interval {
		late.beat(beat)
	}
	now := sentAt + 10*interval
	if got := late.earliestArrival(now); got != sentAt {
		t.Errorf("before a late probe has returned: arrival counts from %d us after it", got-sentAt)
	}
	late.probeReturned(now + 100)
	if got := late.earliestArrival(now + 200); got != sentAt {
		t.Errorf("behind a late probe: arrival counts from %d us after it", got-sentAt)
	}
	late.probeReturned(now + 300) // the second probe covers what arrived since
	if got := late.earliestArrival(now + 400 + backlogTime); got != now+400+backlogTime {
		t.Errorf("long after a late probe: arrival counts from %d us after it", got-sentAt)
	}
}
