package router

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// lastCommandGrace is the time for the rest of the last command of a connection to arrive.
	lastCommandGrace = 100 * time.Millisecond
	// maxLastReads is the maximum number of reads for that rest. A valid command of a fast client needs a
	// few dozen.
	maxLastReads = 1 << 10
)

// lastCommand is the state of the last command of a connection that the router closes while the client may
// still be sending commands.
type lastCommand struct {
	ending    bool      // the command being read is the last one; if none has begun, nothing more is read
	deadline  time.Time // deadline of its last byte
	restReads int       // number of reads for its rest
	afterQuit bool      // the client has sent QUIT
}

// isEnding reports whether no further command may begin.
func (r *commandReader) isEnding() bool {
	if !r.last.ending && r.conn.srv.noNewCommands.Load() {
		r.endAfterCurrent()
	}
	return r.last.ending
}

// endAfterCurrent makes the command that is being read, if any, the last one of the connection. Its rest may
// already have arrived.
func (r *commandReader) endAfterCurrent() {
	r.last.ending = true
	r.last.deadline = time.Now().Add(lastCommandGrace)
}

// readLast reads what may still be read on a connection that is ending: the first command if none has been
// received, and the rest of a partial command. It reads nothing after that command, because each command that
// has been read must be answered, whereas the client sends an unread one again.
func (r *commandReader) readLast() error {
	switch {
	case r.buf.len() > 0:
		return r.readRest()
	case r.conn.hasCommand.Load():
		return errIdleClose
	default:
		return r.readBeforeClose(errIdleClose)
	}
}

// readRest reads no more than the rest of the partial command in the buffer. It does not read the rest of an
// inline command, which no valid client sends: its length is not known in advance, so it would have to be
// read byte by byte.
func (r *commandReader) readRest() error {
	if r.last.restReads++; r.buf.unread()[0] != redcon.Array || r.last.restReads > maxLastReads {
		return errCommandTimeout
	}
	limit := r.parser.MinMissingSize(r.buf.unread())
	n, err := r.readWith(r.readAvailable, limit)
	if n > 0 || err != nil {
		return err
	}
	if !time.Now().Before(r.last.deadline) {
		return errCommandTimeout
	}
	r.conn.nc.SetReadDeadline(r.last.deadline)
	if _, err := r.readWith(r.readWaiting, limit); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil // the next call makes a last read without waiting
}
