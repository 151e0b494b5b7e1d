package router

import (
	"container/heap"
	"time"

	"marlstage/policy"
)

// timer is a function to be run by the event loop at a given time.
type timer struct {
	at       policy.Time
	sequence int64 // orders timers with equal times by creation
	run      func()
}

// timerHeap implements heap.Interface. Its first element is the timer that is due next.
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

// schedule schedules f to be run by the loop at the given time.
func (l *eventLoop) schedule(at policy.Time, f func()) {
	l.lastID++
	heap.Push(&l.timers, timer{at: at, sequence: l.lastID, run: f})
}

// scheduleAfter schedules f to be run by the loop after the given delay.
func (l *eventLoop) scheduleAfter(delay policy.Time, f func()) { l.schedule(l.now+delay, f) }

// resetWakeTimer sets the timer that wakes the loop to when the next of the loop's timers is due, or the next
// heartbeat if that comes first. now is the current time.
func (l *eventLoop) resetWakeTimer(wakeTimer *time.Timer, now policy.Time) {
	wait := heartbeatInterval
	if len(l.timers) > 0 {
		wait = min(wait, microseconds(l.timers[0].at-now))
	}
	wakeTimer.Reset(wait)
}

// runDueTimers runs the timers that are due. It delivers the events that each of them adds before it runs the
// next one.
func (l *eventLoop) runDueTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		heap.Pop(&l.timers).(timer).run()
		l.deliverEvents()
	}
}
