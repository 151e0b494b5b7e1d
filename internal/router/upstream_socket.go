package router

import (
	"net"
	"time"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
)

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

// upstreamMemory is the memory budget of a connection's reader.
type upstreamMemory struct{ conn *upstreamConn }

// replyMemoryPatience is how often a reader waits for memoryRetryInterval for the memory of a reply.
const replyMemoryPatience = 3

// Acquire implements resp.MemoryBudget. It waits a moment for the memory, and leaves what the cache sends unread
// meanwhile. It does not wait longer, as the connection would be missing for other requests.
func (m upstreamMemory) Acquire(bytes int) error {
	for range replyMemoryPatience {
		if m.conn.reading.tryGrow(int64(bytes)) {
			return nil
		}
		if m.conn.ended.Load() {
			return net.ErrClosed
		}
		time.Sleep(memoryRetryInterval)
	}
	return resp.ErrNoMemory
}

// Release implements resp.MemoryBudget.
func (m upstreamMemory) Release(bytes int) { m.conn.reading.shrink(int64(bytes)) }
