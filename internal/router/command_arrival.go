package router

import "marlstage/policy"

// maxReadGap is the time in microseconds that a connection may go without a read before what is
// unread by then counts as having arrived in that time.
const maxReadGap = 20_000

// minDataAge is the age in microseconds from which on bytes count as older than their read. The system
// tells it by a clock that ticks every 1 to 10 ms.
const minDataAge = 20_000

// arrivalTime tells since when the bytes that were read last may have been there. A client counts
// the timeout of a request from when it has sent it, however long the request lies unread because
// the replies to earlier ones have to be written first.
type arrivalTime struct {
	at         policy.Time // by which the last bytes had not arrived yet, or had just arrived
	readAt     policy.Time // end of the last read
	previousAt policy.Time // end of the read before
	filled     bool        // the last read filled its buffer, so there may have been more
}

// mayHaveWaited reports whether bytes that are unread now may have arrived long ago.
func (t *arrivalTime) mayHaveWaited(now policy.Time) bool {
	return t.filled || now-t.readAt > maxReadGap
}

// noteRead takes a read that has just ended. waited is true if bytes were unread before it although
// they may have arrived long ago; filled is true if it filled its buffer.
func (t *arrivalTime) noteRead(now policy.Time, waited, filled bool) {
	switch {
	case !waited:
		t.at = now
	case !t.filled:
		t.at = t.readAt // the read before this one took all that was there
	}
	t.previousAt, t.readAt, t.filled = t.readAt, now, filled
}

// noteDataAge takes how many microseconds before the last read the last bytes arrived, as the system
// tells. A process that is stalled reads late what arrived meanwhile, though its reader was waiting
// for it. What arrived before the previous read was read with that.
func (t *arrivalTime) noteDataAge(age policy.Time) {
	if age >= minDataAge {
		t.at = min(t.at, max(t.readAt-age, t.previousAt))
	}
}

// noteStall takes the earliest time at which the bytes of the last read may have arrived, as the process
// was stalled before. What arrived before the previous read was read with that.
func (t *arrivalTime) noteStall(since policy.Time) { t.at = min(t.at, max(since, t.previousAt)) }

// noteEmptyRead takes a read or a look that has found no bytes.
func (t *arrivalTime) noteEmptyRead(now policy.Time) {
	t.readAt, t.filled = now, false
}
