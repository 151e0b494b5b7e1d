package router

import "marlstage/policy"

// maxReadGap is the time in microseconds without a read after which unread bytes of a connection count as
// possibly having arrived at any time since the last read.
const maxReadGap = 20_000

// minDataAge is the minimum age in microseconds, as reported by the system, at which bytes count as having
// arrived before their read. The system measures the age with a clock that ticks every 1 to 10 ms.
const minDataAge = 20_000

// arrivalTime estimates when the bytes that were read last arrived. A client counts the timeout of a request
// from when it sent the request, even if the request stays unread because the replies to earlier ones have
// to be written first.
type arrivalTime struct {
	earliest       policy.Time // earliest time at which the last bytes may have arrived
	lastReadAt     policy.Time // end of the last read
	previousReadAt policy.Time // end of the read before the last one
	bufferFilled   bool        // the last read filled its buffer, so more bytes may have been available
}

// mayHaveWaited reports whether bytes that are unread now may have arrived some time ago.
func (t *arrivalTime) mayHaveWaited(now policy.Time) bool {
	return t.bufferFilled || now-t.lastReadAt > maxReadGap
}

// noteRead records a read that has just ended. waited reports whether bytes were unread before the read that
// may have arrived some time ago; bufferFilled reports whether the read filled its buffer.
func (t *arrivalTime) noteRead(now policy.Time, waited, bufferFilled bool) {
	switch {
	case !waited:
		t.earliest = now
	case !t.bufferFilled:
		t.earliest = t.lastReadAt // the previous read returned everything that had arrived
	}
	t.previousReadAt, t.lastReadAt, t.bufferFilled = t.lastReadAt, now, bufferFilled
}

// noteDataAge records how many microseconds before the last read the last bytes arrived, as reported by the
// system. A stalled process reads late what arrived during the stall, although its reader was waiting. Bytes
// that arrived before the previous read were returned by that read.
func (t *arrivalTime) noteDataAge(age policy.Time) {
	if age >= minDataAge {
		t.earliest = min(t.earliest, max(t.lastReadAt-age, t.previousReadAt))
	}
}

// noteStall records the earliest time at which the bytes of the last read may have arrived if the process was
// stalled before the read. Bytes that arrived before the previous read were returned by that read.
func (t *arrivalTime) noteStall(since policy.Time) {
	t.earliest = min(t.earliest, max(since, t.previousReadAt))
}

// noteEmptyRead records a read or a check that found no bytes.
func (t *arrivalTime) noteEmptyRead(now policy.Time) {
	t.lastReadAt, t.bufferFilled = now, false
}
