package router

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	// maxReadAhead is the number of bytes of one connection from which on no more are read ahead.
	maxReadAhead = 4 * resp.MaxCommandSize
	// minReadAhead is the initial size in bytes of the buffer for what is read ahead.
	minReadAhead = 4 << 10
)

// readAhead holds bytes that were read before the commands in front of them could be handled.
type readAhead struct {
	bytes        []byte
	hold         memoryHold  // the capacity of bytes
	notBefore    policy.Time // earliest time at which the first of them may have arrived
	lastFilledAt policy.Time // when fillReadAhead last began to read all that had arrived
}

// fillReadAhead reads what has arrived while the reply queue is full. Left unread, the bytes would fill the
// receive window and hide a disconnect of the client, for which attempts would still begin. It reports false
// if bytes stay unread because no more may be read ahead.
func (r *commandReader) fillReadAhead() bool {
	if len(r.ahead.bytes) == 0 {
		r.ahead.notBefore = max(r.arrival.earliestUnread(), r.ahead.lastFilledAt)
	}
	beganAt := r.conn.srv.loop.clock()
	for r.conn.nc.MayHaveUnread() {
		if !r.ahead.makeRoom() {
			return false
		}
		free := r.ahead.bytes[len(r.ahead.bytes):cap(r.ahead.bytes)]
		_ = r.conn.noteWindow() // the check before an attempt returns the error, if it lasts
		n, err := r.conn.nc.ReadAvailable(free)
		r.ahead.bytes = r.ahead.bytes[:len(r.ahead.bytes)+n]
		if n == 0 || err != nil {
			break // hungUp detects the end of the connection, and the next read returns its error
		}
	}
	r.ahead.lastFilledAt = beganAt
	return true
}

// makeRoom enlarges a full buffer. It returns false if no more may be read ahead.
func (a *readAhead) makeRoom() bool {
	if len(a.bytes) < cap(a.bytes) {
		return true
	}
	size := max(minReadAhead, min(2*len(a.bytes), maxReadAhead))
	if len(a.bytes) >= size || !a.hold.tryGrow(int64(size)-a.hold.bytes.Load()) {
		return false
	}
	a.bytes = append(make([]byte, 0, size), a.bytes...)
	return true
}

// takeReadAhead moves bytes that were read ahead to the free part of the buffer. It reports false if there are
// none.
func (r *commandReader) takeReadAhead() bool {
	if len(r.ahead.bytes) == 0 {
		return false
	}
	n := copy(r.buf.free(r.buf.space()), r.ahead.bytes)
	r.buf.received(n)
	r.arrival = arrivalTime{earliest: r.ahead.notBefore, lastReadAt: r.ahead.lastFilledAt}
	r.ahead.bytes = r.ahead.bytes[n:]
	if len(r.ahead.bytes) == 0 {
		r.dropReadAhead()
	}
	return true
}

// dropReadAhead discards what was read ahead and releases its memory.
func (r *commandReader) dropReadAhead() {
	r.ahead.bytes = nil
	r.ahead.hold.release()
}
