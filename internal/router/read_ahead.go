package router

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	maxReadAhead  = 4 * resp.MaxCommandSize // bytes of a connection that are read ahead
	readAheadStep = 16 << 10                // bytes acquired for one read
)

// readAhead holds bytes that were read before the commands ahead of them could be handled.
type readAhead struct {
	bytes []byte
	since policy.Time // by which the first of them had not arrived yet, ...
	until policy.Time // ... and when the last was read
}

// readMore reads what has arrived while the reply queue is full. Left unread it would fill the
// receive window, and a client's end behind it would stay hidden while attempts for it begin. It reports
// false if something is left unread, as no more may be read ahead.
func (r *commandReader) readMore() bool {
	memory := r.conn.srv.memory
	if len(r.ahead.bytes) == 0 {
		// What had arrived by the last look was read with that.
		r.ahead.since = max(r.arrival.readAt, r.ahead.until)
	}
	r.ahead.until = r.conn.srv.loop.clock()
	for r.conn.nc.MayHaveUnread() {
		if len(r.ahead.bytes) >= maxReadAhead || !memory.tryAcquire(readAheadStep) {
			return false
		}
		step := make([]byte, readAheadStep)
		n, err := r.conn.nc.ReadAvailable(step)
		memory.release(int64(readAheadStep - n))
		r.conn.aheadCharge.Add(int64(n))
		r.ahead.bytes = append(r.ahead.bytes, step[:n]...)
		if n == 0 || err != nil {
			return true // hungUp shows the end of the connection, and the next read its error
		}
	}
	return true
}

// takeAhead moves bytes that were read ahead to the free part of the buffer and reports whether there
// were any.
func (r *commandReader) takeAhead() bool {
	if len(r.ahead.bytes) == 0 {
		return false
	}
	n := copy(r.buf[len(r.buf):cap(r.buf)], r.ahead.bytes)
	r.buf = r.buf[:len(r.buf)+n]
	r.arrival = arrivalTime{at: r.ahead.since, readAt: r.ahead.until}
	r.ahead.bytes = r.ahead.bytes[n:]
	if len(r.ahead.bytes) == 0 {
		r.dropAhead()
	}
	return true
}

// dropAhead gives up what was read ahead and releases its memory.
func (r *commandReader) dropAhead() {
	r.ahead.bytes = nil
	r.conn.srv.memory.release(r.conn.aheadCharge.Swap(0))
}
