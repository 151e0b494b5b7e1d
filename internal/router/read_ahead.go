package router

import "marlstage/internal/resp"

const (
	maxReadAhead  = 4 * resp.MaxCommandSize // bytes of a connection that are read ahead
	readAheadStep = 16 << 10                // bytes acquired for one read
)

// readAhead reads what has arrived while the reply queue is full. Left unread it would fill the
// receive window, and a client's end behind it would stay hidden while attempts for it begin.
func (r *commandReader) readAhead() {
	memory := r.conn.srv.memory
	for len(r.ahead) < maxReadAhead && r.conn.nc.HasUnread() && memory.tryAcquire(readAheadStep) {
		step := make([]byte, readAheadStep)
		n, err := r.conn.nc.ReadArrived(step)
		memory.release(int64(readAheadStep - n))
		r.conn.aheadCharge.Add(int64(n))
		r.ahead = append(r.ahead, step[:n]...)
		if n == 0 || err != nil {
			return // hungUp shows the end of the connection, and the next read its error
		}
	}
}

// takeAhead moves bytes that were read ahead to the free part of the buffer and reports whether there
// were any.
func (r *commandReader) takeAhead() bool {
	if len(r.ahead) == 0 {
		return false
	}
	n := copy(r.buf[len(r.buf):cap(r.buf)], r.ahead)
	r.buf = r.buf[:len(r.buf)+n]
	r.ahead = r.ahead[n:]
	if len(r.ahead) == 0 {
		r.dropAhead()
	}
	return true
}

// dropAhead gives up what was read ahead and releases its memory.
func (r *commandReader) dropAhead() {
	r.ahead = nil
	r.conn.srv.memory.release(r.conn.aheadCharge.Swap(0))
}
