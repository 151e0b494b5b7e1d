package router

import "marlstage/policy"

const (
	// minBehindDelay is the delay in microseconds of an event at which the event loop starts to count as behind.
	minBehindDelay policy.Time = 50_000
	// minLongTurn is the minimum duration in microseconds of an event loop turn that is logged.
	minLongTurn policy.Time = 20_000
)

// postedEvent is a function to be run by the event loop, with the time at which it was posted.
type postedEvent struct {
	run      func()
	discard  func() // called if the loop ends before it has run the event; may be nil
	postedAt policy.Time
}

// delayMonitor monitors the delay with which the event loop handles events. It is owned by the event loop.
type delayMonitor struct {
	loop   *eventLoop
	behind bool // the last event was delayed by minBehindDelay or more
}

// noteEvent records that an event is handled now that was due at the given time.
func (d *delayMonitor) noteEvent(dueAt policy.Time) {
	l := d.loop
	delay := l.now - dueAt
	behind := delay >= minBehindDelay
	if behind {
		l.statistics.delayedEvents.Add(1)
		storeMax(&l.statistics.longestDelay, delay)
		l.stalls.noteLate(dueAt, l.now)
	}
	if behind != d.behind {
		d.behind = behind
		l.logger.logFault("event loop delay changed", "behind", behind, "delay", microseconds(delay),
			"queued_events", len(l.events), "open_requests", l.openRequests)
	}
}

// noteTurn records that the current turn of the loop ends at the given time.
func (d *delayMonitor) noteTurn(end policy.Time) {
	l := d.loop
	duration := end - l.turnStartedAt
	storeMax(&l.statistics.longestTurn, duration)
	if duration < minLongTurn {
		return
	}
	l.logger.logFault("event loop turn took long", "for", microseconds(duration), "engine_events", l.eventsInTurn,
		"queued_events", len(l.events), "open_requests", l.openRequests)
}
