package router

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
)

const (
	lastCommandGrace = 100 * time.Millisecond // for the rest of the command at which the reading of a connection ends
	maxLastReads     = 1 << 10                // of that rest; a proper command of a quick client needs a few dozen
)

// lastCommand is how the reading of a connection ends that the router closes in the middle of commands.
type lastCommand struct {
	isNext    bool      // the command that is being read is the last one; if there is none, nothing more is read
	due       time.Time // when it has to be complete
	reads     int       // of its rest
	afterQuit bool      // the client has sent a QUIT
}

// isEnding reports whether no further command may be begun.
func (r *commandReader) isEnding() bool {
	if !r.last.isNext && r.conn.srv.readingEnded.Load() {
		r.end()
	}
	return r.last.isNext
}

// end has the connection end with the command that is being read, if there is one. Its rest may have
// arrived already.
func (r *commandReader) end() {
	r.last.isNext = true
	r.last.due = time.Now().Add(lastCommandGrace)
}

// readLast takes what may still be read of a connection that is to end: the first command, if it has
// had none, and the rest of a command of which a part has been read. Nothing is read beyond that
// command, as each that is read has to be answered, while a client sends an unread one once more.
func (r *commandReader) readLast() error {
	switch {
	case len(r.buf) > 0:
		return r.readRest()
	case r.conn.hasCommand.Load():
		return errIdleClose
	default:
		return r.readArrived(errIdleClose)
	}
}

// readRest reads at most the rest of the partial command in the buffer. An inline command, which no
// proper client sends, has an end that is not known in advance: it would be read byte by byte.
func (r *commandReader) readRest() error {
	if r.last.reads++; r.buf[0] != redcon.Array || r.last.reads > maxLastReads {
		return errCommandTimeout
	}
	most := min(cap(r.buf), len(r.buf)+resp.MinMissingSize(r.buf))
	n, err := r.readWith(r.conn.nc.ReadAvailable, most)
	if n > 0 || err != nil {
		return err
	}
	if !time.Now().Before(r.last.due) {
		return errCommandTimeout
	}
	r.conn.nc.SetReadDeadline(r.last.due)
	if _, err := r.readWith(r.conn.nc.Read, most); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil // the next look is the last one
}
