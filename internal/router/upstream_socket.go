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

// isSilent reports whether neither bytes nor the end of the connection have arrived since the last
// reply.
func (c *upstreamConn) isSilent() bool {
	return !c.replyBegun.Load() && c.nc.IsSilent()
}
