package router

import "marlstage/policy"

// maxReadGap is the time in microseconds without a read after which unread bytes of a connection count as
// possibly having arrived at any time since the last read.
const maxReadGap = 20_000

// maxSystemTick is the longest time in microseconds between the ticks of the clock with which the system measures ages.
const maxSystemTick = 10_000

// minDataAge is the minimum age in microseconds, as reported by the system, at which bytes count as having
// arrived before their read.
const minDataAge = 20_000

// arrivalTime estimates when the bytes that were read last arrived. A client counts the timeout of a request
// from when it sent the request, even if the request stays unread because the replies to earlier ones have
// to be written first.
type arrivalTime struct {
	earliest       policy.Time // earliest time at which the last bytes may have arrived
	lastReadAt     policy.Time // start of the last read
	previousReadAt policy.Time // start of the read before the last one
	waitedUntil    policy.Time // end of the last wait for bytes that ended without any
	bufferFilled   bool        // the last read filled its buffer, so more bytes may have been available
}

// mayHaveWaited reports whether bytes that are unread now may have arrived some time ago.
func (t *arrivalTime) mayHaveWaited(now policy.Time) bool {
	return t.bufferFilled || now-t.noneUnreadAt() > maxReadGap
}

// noneUnreadAt returns the last time at which nothing was unread, unless the last read filled its buffer.
func (t *arrivalTime) noneUnreadAt() policy.Time { return max(t.lastReadAt, t.waitedUntil) }

// earliestUnread returns the earliest time at which bytes may have arrived that the last read did not return.
func (t *arrivalTime) earliestUnread() policy.Time {
	if t.bufferFilled {
		return t.earliest
	}
	return t.lastReadAt
}

// noteRead records a read that began at the given time. waited reports whether bytes were unread before the read
// that may have arrived some time ago; bufferFilled reports whether the read filled its buffer.
func (t *arrivalTime) noteRead(beganAt policy.Time, waited, bufferFilled bool) {
	switch {
	case !waited:
		t.earliest = beganAt
	case !t.bufferFilled:
		t.earliest = t.noneUnreadAt() // the previous read returned everything that had arrived
	}
	t.previousReadAt, t.lastReadAt, t.bufferFilled = t.lastReadAt, beganAt, bufferFilled
}

// noteDataAge records the age of the last bytes in microseconds, as the system reported it when it was asked after
// the last read. A stalled process reads late what arrived during the stall, although its reader was waiting. Bytes
// that arrived before the previous read were returned by that read.
func (t *arrivalTime) noteDataAge(askedAt, age policy.Time) {
	if age >= minDataAge {
		t.earliest = min(t.earliest, max(askedAt-age, t.previousReadAt))
	}
}

// noteStall records the earliest time at which the bytes of the last read may have arrived if the process was
// stalled before the read. Bytes that arrived before the previous read were returned by that read.
func (t *arrivalTime) noteStall(since policy.Time) {
	t.earliest = min(t.earliest, max(since, t.previousReadAt))
}

// noteEmptyRead records a read that began at the given time and found no bytes.
func (t *arrivalTime) noteEmptyRead(beganAt policy.Time) {
	t.lastReadAt, t.bufferFilled = beganAt, false
}

// noteWaitEnd records that a wait for bytes has ended without any. The reader may learn of the end late, so this
// time is no bound for bytes that arrived during a stall.
func (t *arrivalTime) noteWaitEnd(now policy.Time) { t.waitedUntil = now }

// readAttempt is an attempt to read from the socket. Its reader may be delayed before and after the system call, by a
// stall of the process or by other goroutines. Bytes that arrive after the attempt has begun may therefore be left
// to the next one, so arrival times count from the beginning of attempts.
type readAttempt struct {
	beganAt      policy.Time
	foundNothing bool // an earlier attempt of the same read found nothing, so that the bytes arrived after it
}

// beginAttempt records that an attempt to read from the socket begins.
func (r *commandReader) beginAttempt() {
	r.noteWindowBeforeRead()
	r.attempt.beganAt = r.conn.srv.loop.clock()
}

// foundNothing records that the attempt found nothing to read.
func (r *commandReader) foundNothing() {
	r.attempt.foundNothing = true
	r.arrival.noteEmptyRead(r.attempt.beganAt)
}

// recordArrival records when the bytes arrived that the last attempt has read.
func (r *commandReader) recordArrival(bufferFilled bool) {
	loop := r.conn.srv.loop
	beganAt := r.attempt.beganAt
	waited := !r.attempt.foundNothing && r.arrival.mayHaveWaited(beganAt)
	r.arrival.noteRead(beganAt, waited, bufferFilled)
	// The system reports the age of the last bytes only, so a stall is recorded in any case.
	r.arrival.noteStall(loop.stalls.earliestArrival(beganAt))
	askedAt := loop.clock()
	if age, _, err := r.conn.nc.LastDataAge(); err == nil {
		r.arrival.noteDataAge(askedAt, age.Microseconds())
	}
}

// readAvailable reads bytes that have been received, without waiting.
func (r *commandReader) readAvailable(b []byte) (int, error) {
	n, err := r.conn.nc.ReadAvailable(b)
	if n == 0 && err == nil {
		r.arrival.noteEmptyRead(r.attempt.beganAt)
	}
	return n, err
}

// readWaiting waits for bytes and reads them.
func (r *commandReader) readWaiting(b []byte) (int, error) {
	return r.conn.nc.ReadWhile(b, func() bool {
		r.beginAttempt()
		return true
	}, r.foundNothing)
}
