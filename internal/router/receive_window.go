package router

import "time"

// A client's host sends a FIN behind all bytes that were written before it, and it does not send these while the receive
// window is too small for them. A disconnect is hidden as long as that lasts.

const (
	// minUnreadHidingDisconnect is the number of unread bytes from which on the receive window may be full at any time.
	minUnreadHidingDisconnect = 16 << 10
	// windowReopenTime is the time in which a client's host sends more once the receive window is large enough again.
	windowReopenTime = 10 * time.Millisecond
)

// noteWindow records whether the receive window is too small for what the client may send. The system enlarges the
// window only once much of the receive buffer is free, where a single unread byte occupies as much as the segment that
// it came in: few unread bytes do not show that the window is large.
func (c *clientConn) noteWindow() error {
	fits, err := c.nc.WindowFitsSegment()
	if err == nil && !fits {
		c.windowShortAt.Store(c.srv.loop.clock())
	}
	return err
}

// windowWasShort reports whether the receive window was too small until so recently that more of what the client has
// sent may be on its way.
func (c *clientConn) windowWasShort() bool {
	at := c.windowShortAt.Load()
	return at != 0 && c.srv.loop.clock()-at < windowReopenTime.Microseconds()
}

// checkUnread returns an error if unread bytes of a client may hide its disconnect.
func (c *clientConn) checkUnread() error {
	unread, err := c.nc.UnreadBytes()
	switch {
	case err != nil || unread == 0:
		return err
	case unread >= minUnreadHidingDisconnect:
		return errDisconnectHidden
	default:
		return c.noteWindow()
	}
}

// noteWindowBeforeRead calls noteWindow if more bytes may be unread than a client sends that waits for its replies: a
// read that takes them all lets the system enlarge the window at once.
func (r *commandReader) noteWindowBeforeRead() {
	if r.arrival.bufferFilled || r.buf.space() >= minUnreadHidingDisconnect {
		_ = r.conn.noteWindow() // the check before an attempt returns the error, if it lasts
	}
}
