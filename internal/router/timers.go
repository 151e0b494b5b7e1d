package router

import (
	"container/heap"
	"time"

	"marlstage/policy"
)

// timer is a function to be run by the event loop at a given time.
type timer struct {
	at       policy.Time
	sequence int64 // orders timers of equal time by their creation
	run      func()
}

// timerHeap implements heap.Interface; its first timer is the next one due.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface. It clears the slot, so that the heap does not retain the function.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// schedule has f run by the loop at the given time.
func (l *eventLoop) schedule(at policy.Time, f func()) {
	l.lastID++
	heap.Push(&l.timers, timer{at: at, sequence: l.lastID, run: f})
}

// scheduleAfter has f run by the loop after the given delay.
func (l *eventLoop) scheduleAfter(delay policy.Time, f func()) { l.schedule(l.now+delay, f) }

// resetAlarm sets the alarm, at the given time, to the next timer due, or to the next heartbeat if that comes first.
func (l *eventLoop) resetAlarm(alarm *time.Timer, now policy.Time) {
	wait := heartbeatInterval
	if len(l.timers) > 0 {
		wait = min(wait, microseconds(l.timers[0].at-now))
	}
	alarm.Reset(wait)
}

// runDueTimers runs the timers that are due and delivers the events of each before the next runs.
func (l *eventLoop) runDueTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		heap.Pop(&l.timers).(timer).run()
		l.deliverEvents()
	}
}
