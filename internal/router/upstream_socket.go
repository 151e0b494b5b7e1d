package router

import "marlstage/internal/socket"

// sequencedReader reads from a connection's socket. With the first bytes of a reply it notes how many
// attempts had been completely written by then.
type sequencedReader struct {
	conn     *upstreamConn
	nc       *socket.Conn
	sequence uint32 // 0 until the first bytes of a reply have arrived
}

// Read implements io.Reader. The read and the note of it are one step for tryWrite.
func (r *sequencedReader) Read(b []byte) (int, error) {
	return r.nc.ReadLocked(b, &r.conn.mu, r.noteSequence)
}

func (r *sequencedReader) noteSequence() {
	if r.sequence == 0 {
		r.sequence = r.conn.sequence.Load()
		r.conn.replyBegun.Store(true)
	}
}

// checkSilent returns errOutOfStep if bytes or the end of the connection have arrived since the last
// reply. Another error means that this cannot be told for a moment.
func (c *upstreamConn) checkSilent() error {
	if c.replyBegun.Load() {
		return errOutOfStep
	}
	silent, err := c.nc.NothingToRead()
	if !silent && err == nil {
		return errOutOfStep
	}
	return err
}
