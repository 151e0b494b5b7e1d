package router

import (
	"container/heap"
	"slices"
	"time"

	"marlstage/policy"
)

// minPrunedTimers is the number of timers below which those without an effect are not looked for.
const minPrunedTimers = 256

// timer is a function to be run by the event loop, or a timer of the engine to be fired, at a given time.
type timer struct {
	at       policy.Time
	sequence int64  // orders timers with equal times by creation
	run      func() // nil for a timer of the engine, and for one that was stopped
	token    int64  // of a timer of the engine; 0 for another
}

// stop makes the timer have no effect. It drops the function and what that refers to.
func (t *timer) stop() { t.run = nil }

// timerHeap implements heap.Interface. Its first element is the timer that is due next.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(*timer)) }

// Pop implements heap.Interface. It clears the slot, so that the heap does not retain the function.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// schedule schedules f to be run by the loop at the given time.
func (l *eventLoop) schedule(at policy.Time, f func()) *timer {
	return l.addTimer(&timer{at: at, run: f})
}

// scheduleEngineTimer schedules the firing of a timer of the engine.
func (l *eventLoop) scheduleEngineTimer(set policy.SetTimer) {
	l.addTimer(&timer{at: set.At, token: set.Token})
}

func (l *eventLoop) addTimer(t *timer) *timer {
	l.lastID++
	t.sequence = l.lastID
	if len(l.timers) >= l.pruneTimersAt {
		l.pruneTimers()
	}
	heap.Push(&l.timers, t)
	return t
}

// pruneTimers removes the timers that have no effect any more. Those of requests that were answered long before their
// deadlines would otherwise use memory until then. The next call follows when the number of timers has doubled, so
// that its work is small for each timer.
func (l *eventLoop) pruneTimers() {
	pending := make(timerHeap, 0, len(l.timers))
	for _, t := range l.timers {
		if t.run != nil || t.token != 0 && l.engine.TimerPending(t.token) {
			pending = append(pending, t)
		}
	}
	l.timers = slices.Clip(pending)
	heap.Init(&l.timers)
	l.pruneTimersAt = max(minPrunedTimers, 2*len(pending))
}

// fire runs a timer that is due, unless it was stopped.
func (l *eventLoop) fire(t *timer) {
	switch {
	case t.run != nil:
		t.run()
	case t.token != 0:
		l.pendingEvents = append(l.pendingEvents, &policy.TimerFired{Token: t.token})
	}
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
		l.fire(heap.Pop(&l.timers).(*timer))
		l.deliverEvents()
	}
}
