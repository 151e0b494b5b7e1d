package router

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	// maxReadAhead is the number of bytes of one connection from which on no more are read ahead.
	maxReadAhead = 4 * resp.MaxCommandSize
	// readAheadStep is the number of bytes acquired from the memory budget for one read.
	readAheadStep = 16 << 10
)

// readAhead holds bytes that were read before the commands in front of them could be handled.
type readAhead struct {
	bytes        []byte
	notBefore    policy.Time // earliest time at which the first of them may have arrived
	lastFilledAt policy.Time // when fillReadAhead last read
}

// fillReadAhead reads what has arrived while the reply queue is full. Left unread, the bytes would fill the
// receive window and hide a disconnect of the client, for which attempts would still begin. It reports false
// if bytes stay unread because no more may be read ahead.
func (r *commandReader) fillReadAhead() bool {
	memory := r.conn.srv.memory
	if len(r.ahead.bytes) == 0 {
		// Bytes that had arrived by the last read were returned by it.
		r.ahead.notBefore = max(r.arrival.lastReadAt, r.ahead.lastFilledAt)
	}
	r.ahead.lastFilledAt = r.conn.srv.loop.clock()
	for r.conn.nc.MayHaveUnread() {
		if len(r.ahead.bytes) >= maxReadAhead || !memory.tryAcquire(readAheadStep) {
			return false
		}
		step := make([]byte, readAheadStep)
		n, err := r.conn.nc.ReadAvailable(step)
		memory.release(int64(readAheadStep - n))
		r.conn.readAheadCharge.Add(int64(n))
		r.ahead.bytes = append(r.ahead.bytes, step[:n]...)
		if n == 0 || err != nil {
			return true // hungUp detects the end of the connection, and the next read returns its error
		}
	}
	return true
}

// takeReadAhead moves bytes that were read ahead to the free part of the buffer. It reports false if there are
// none.
func (r *commandReader) takeReadAhead() bool {
	if len(r.ahead.bytes) == 0 {
		return false
	}
	n := copy(r.buf[len(r.buf):cap(r.buf)], r.ahead.bytes)
	r.buf = r.buf[:len(r.buf)+n]
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
	r.conn.srv.memory.release(r.conn.readAheadCharge.Swap(0))
}
