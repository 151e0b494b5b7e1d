package router

import (
	"testing"

	"marlstage/policy"
)

// TestBacklogProbe checks since when bytes count as arrived while a probe is on its way, and behind it.
func TestBacklogProbe(t *testing.T) {
	const (
		start  policy.Time = 10_000_000
		stall  policy.Time = 256_000
		paused policy.Time = 38_000 // of a process that gets a small share of the processor, again and again
	)
	sent := 0
	m := newStallMonitor(start, func(policy.Time) {})
	m.useProbe(func() bool {
		sent++
		return true
	})
	now := start + stall
	check := func(since policy.Time, probes int) {
		t.Helper()
		if got := m.earliestArrival(now); got != since {
			t.Errorf("%d after the stall: arrived since %d, want %d", now-start-stall, got-start, since-start)
		}
		if sent != probes {
			t.Errorf("%d probes, want %d", sent, probes)
		}
	}
	m.beat(now)
	check(start, 1)
	for range 5 { // the time that it takes to read what has arrived is no measure of a fixed length
		now += paused
		m.beat(now)
		check(start, 1)
	}
	m.probeReturned(now) // so late that what came behind the probe has waited, too
	check(start+stall, 2)
	now += 1000
	m.probeReturned(now)
	check(start+stall, 2)
	now += backlogTime
	check(now, 2)
	m.noteLate(now-minBehindDelay, now)
	check(now-minBehindDelay, 3)
	now += 1000
	m.probeReturned(now)
	now += backlogTime
	check(now, 3)
}

// TestLostBacklogProbe checks that a probe that does not return does not make all requests count as old.
func TestLostBacklogProbe(t *testing.T) {
	m := newStallMonitor(0, func(policy.Time) {})
	m.useProbe(func() bool { return true })
	m.beat(minStall)
	now := policy.Time(0)
	for ; now <= minStall+maxProbeTime+backlogTime; now += minStall / 2 {
		m.beat(now)
	}
	if got := m.earliestArrival(now); got != now {
		t.Errorf("arrived since %d, want %d", got, now)
	}
	m.probeReturned(now)
	if got := m.earliestArrival(now); got != now {
		t.Errorf("arrived since %d behind the lost probe, want %d", got, now)
	}
}

// TestProbeReturns checks that a probe returns once for each send.
func TestProbeReturns(t *testing.T) {
	returned := make(chan struct{}, 10)
	p := newBacklogProbe(func() { returned <- struct{}{} })
	if p == nil {
		t.Fatal("no pipe")
	}
	for range 3 {
		if !p.send() {
			t.Fatal("the probe is not sent")
		}
		receive(t, returned, "return of the probe")
	}
	p.close()
	if p.send() {
		t.Error("a probe is sent behind the end")
	}
	if len(returned) > 0 {
		t.Error("a probe returns twice")
	}
}
