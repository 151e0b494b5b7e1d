package router

import "marlstage/policy"

const (
	// minDelay is the time in microseconds by which an event is handled late from which on the event loop
	// counts as behind.
	minDelay policy.Time = 50_000
	// longTurn is the time in microseconds from which on a turn of the event loop is logged.
	longTurn policy.Time = 20_000
)

// postedEvent is a function that runs in the event loop, and when it was posted.
type postedEvent struct {
	run      func()
	postedAt policy.Time
}

// loopDelay tells how late the event loop handles what it is given. It belongs to the event loop.
type loopDelay struct {
	loop   *eventLoop
	behind bool // the last event was handled late
}

// noteEvent takes an event that was due at the given time and is handled now.
func (d *loopDelay) noteEvent(dueAt policy.Time) {
	l := d.loop
	delay := l.now - dueAt
	behind := delay >= minDelay
	if behind {
		l.statistics.delayedEvents.Add(1)
		storeMax(&l.statistics.longestDelay, delay)
		l.stalls.noteLate(dueAt, l.now)
	}
	if behind != d.behind {
		d.behind = behind
		l.logger.fault("event loop delay changed", "behind", behind, "delay", microseconds(delay),
			"queued_events", len(l.events), "open_requests", l.openRequests)
	}
}

// noteTurn takes a turn of the loop that ends at the given time.
func (d *loopDelay) noteTurn(end policy.Time) {
	l := d.loop
	duration := end - l.turnBegan
	storeMax(&l.statistics.longestTurn, duration)
	if duration < longTurn {
		return
	}
	l.logger.fault("event loop turn took long", "for", microseconds(duration), "engine_events", l.turnEvents,
		"queued_events", len(l.events), "open_requests", l.openRequests)
}
