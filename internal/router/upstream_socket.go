package router

import "marlstage/internal/socket"

// replyReader reads replies from a connection's socket. When the first bytes of a reply arrive, it records
// how many attempts had been completely written by then.
type replyReader struct {
	conn            *upstreamConn
	nc              *socket.Conn
	attemptsWritten uint32 // 0 until the first bytes of a reply have arrived
}

// Read implements io.Reader. It holds the connection's lock while it reads and records, so that tryWrite never
// sees bytes that have been read but not recorded.
func (r *replyReader) Read(b []byte) (int, error) {
	return r.nc.ReadLocked(b, &r.conn.mu, r.noteReplyStart)
}

func (r *replyReader) noteReplyStart() {
	if r.attemptsWritten == 0 {
		r.attemptsWritten = r.conn.attemptsWritten.Load()
		r.conn.replyStarted.Store(true)
	}
}

// checkNothingReceived returns errUnexpectedInput if bytes or the end of the connection have arrived since the
// last reply. Any other error means that the check failed.
func (c *upstreamConn) checkNothingReceived() error {
	if c.replyStarted.Load() {
		return errUnexpectedInput
	}
	silent, err := c.nc.NothingToRead()
	if !silent && err == nil {
		return errUnexpectedInput
	}
	return err
}
