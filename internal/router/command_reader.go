package router

import (
	"bytes"
	"errors"
	"os"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	minReadBuffer  = 1 << 10                 // bytes of a read buffer when it is first allocated
	maxIdleBuffer  = 8 << 10                 // bytes of the buffer that a connection keeps between commands
	commandTimeout = 2200 * time.Millisecond // for a connection's first command, and for the rest of any partial one
	evictGrace     = 100 * time.Millisecond  // for the rest of a partial command on a connection that is evicted
)

// errCommandTimeout says that the rest of a command did not come in time. What may still come of it has
// not been read.
var errCommandTimeout = errors.New("the command did not come whole in time")

// errIdleClose says that the connection is to be closed, and that no command is lost with it.
var errIdleClose = errors.New("connection closed between commands")

var errCommandTooBig = errors.New("too big a command")

// protocolError says that what a client sent is not a command, or not a complete one. The
// connection ends with it, since the next command cannot be found.
type protocolError struct{ err error }

func (e *protocolError) Error() string { return "protocol error: " + e.err.Error() }

func (e *protocolError) Unwrap() error { return e.err }

// reply returns the error as it is sent to the client.
func (e *protocolError) reply() []byte {
	return resp.AppendError(nil, "Protocol error: "+e.err.Error())
}

// commandReader reads commands from a client's connection.
type commandReader struct {
	conn     *clientConn
	buf      []byte      // received, and not yet handled
	deadline time.Time   // for the first command, or the rest of a partial one; zero if none is due
	evicting bool        // the deadline has been brought forward, as the connection is evicted
	arrival  arrivalTime // of the last bytes in buf
	ahead    readAhead   // received behind buf while the reply queue was full
	late     int         // bytes read by readArrived since the last command
	last     lastCommand // how the reading ends, once it does
}

// newCommandReader makes a reader that expects the first command in time: a silent peer must not
// occupy a descriptor for ever. Bytes that are unread by now may have arrived since the given time.
func newCommandReader(c *clientConn, unreadSince policy.Time) *commandReader {
	return &commandReader{
		conn:     c,
		deadline: time.Now().Add(c.srv.commandTimeout),
		arrival:  arrivalTime{readAt: unreadSince},
	}
}

// readCommands reads and handles commands until the connection takes no more. It returns
// connClosing, connMalformed or connGone, and why.
func (c *clientConn) readCommands() (connState, closeReason) {
	r := c.reader
	for {
		args, raw, err := r.next()
		if err != nil {
			return c.readFailed(err)
		}
		if state := c.handleCommand(args, raw, r.arrival.at); state != connOpen {
			return state, closedByClient
		}
		if len(args) > 0 {
			c.hasCommand.Store(true)
			r.clearDeadline()
		}
		r.consume(len(raw))
	}
}

// readFailed answers an error of commandReader.next.
func (c *clientConn) readFailed(err error) (connState, closeReason) {
	var malformed *protocolError
	switch {
	case errors.Is(err, errCommandTimeout):
		return c.replyAndLeave(c.incompleteReply(), connClosing), closedIncomplete
	case errors.As(err, &malformed):
		return c.replyAndLeave(malformed.reply(), connMalformed), closedMalformed
	case errors.Is(err, errIdleClose):
		return connClosing, c.idleCloseReason()
	default:
		return connGone, closedByClient
	}
}

// incompleteReply returns the reply to a command that did not come whole in time. Where the router gave
// it less time than usual, the client did nothing wrong and may send the command again.
func (c *clientConn) incompleteReply() []byte {
	if c.reader.last.isNext || c.reader.evicting {
		return []byte(resp.BusyReply)
	}
	return (&protocolError{errCommandTimeout}).reply()
}

// idleCloseReason returns why the router closes the connection between commands.
func (c *clientConn) idleCloseReason() closeReason {
	switch {
	case c.reader.last.afterQuit:
		return closedQuit
	case c.srv.readingEnded.Load():
		return closedFinalReplies
	case c.evicting.Load():
		return closedEvicted
	case c.draining.Load():
		return closedDraining
	default:
		return closedSilent
	}
}

// next returns the next command, its arguments and its bytes. Both are valid until the bytes are
// consumed. An error is a *protocolError, errIdleClose, or one of the connection.
func (r *commandReader) next() (args [][]byte, raw []byte, err error) {
	for {
		args, used, err := resp.NextCommand(r.buf)
		switch {
		case err != nil:
			return nil, nil, &protocolError{err}
		case used > 0:
			return args, r.buf[:used], nil
		case len(r.buf) >= resp.MaxCommandSize:
			return nil, nil, &protocolError{errCommandTooBig}
		}
		if err := r.fill(); err != nil {
			return nil, nil, err
		}
	}
}

// consume drops the first n bytes of the buffer.
func (r *commandReader) consume(n int) {
	rest := r.buf[n:]
	if cap(r.buf) > maxIdleBuffer && len(rest) <= maxIdleBuffer {
		// A connection that once had a large command must not keep the memory for it.
		r.buf = bytes.Clone(rest)
		return
	}
	r.buf = append(r.buf[:0], rest...)
}

// fill adds what one read returns to the buffer. It may return without an error and without bytes.
func (r *commandReader) fill() error {
	r.grow()
	if r.takeAhead() {
		return nil
	}
	r.updateDeadline()
	r.conn.nc.SetReadDeadline(r.deadline)
	switch {
	case r.isEnding():
		return r.readLast()
	case len(r.buf) == 0 && r.conn.closesBetweenRequests():
		return r.readArrived(errIdleClose)
	}
	_, err := r.readWith(r.readWhileNotEnding, cap(r.buf))
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case r.deadline.IsZero() || time.Now().Before(r.deadline):
		return nil // closeWhenIdle has interrupted the read: the next one checks whether to close
	case len(r.buf) > 0:
		return r.readArrived(errCommandTimeout)
	default:
		return r.readArrived(errIdleClose)
	}
}

// readWhileNotEnding waits for bytes of any command until the reading of connections ends.
func (r *commandReader) readWhileNotEnding(b []byte) (int, error) {
	return r.conn.nc.ReadWhile(b, func() bool { return !r.conn.srv.readingEnded.Load() })
}

// readWith adds what one call of read returns to the buffer, to the given number of bytes there, and
// notes when it has arrived.
func (r *commandReader) readWith(read func([]byte) (int, error), most int) (n int, err error) {
	loop := r.conn.srv.loop
	waited := r.lookForUnread()
	n, err = read(r.buf[len(r.buf):most])
	r.buf = r.buf[:len(r.buf)+n]
	if n > 0 {
		age, ageErr := r.conn.nc.LastDataAge()
		now := loop.clock()
		r.arrival.noteRead(now, waited, len(r.buf) == most)
		// A system that tells the age of the last bytes does not tell that of those before them.
		r.arrival.noteStall(loop.stalls.arrivedSince(now))
		if ageErr == nil {
			r.arrival.noteDataAge(age.Microseconds())
		}
	} else if !waited {
		r.arrival.noteEmptyRead(loop.clock())
	}
	return n, err
}

// lookForUnread reports whether bytes are unread that may have arrived long ago.
func (r *commandReader) lookForUnread() bool {
	now := r.conn.srv.loop.clock()
	if !r.arrival.mayHaveWaited(now) {
		return false
	}
	if r.conn.nc.MayHaveUnread() {
		return true
	}
	r.arrival.noteEmptyRead(now)
	return false
}

// readArrived takes the last look at the socket before the connection is given up for a reason, which
// it returns if nothing has arrived. The deadline of a read may pass without a look, and a request
// that arrived before must be served. After many bytes without a command it looks no more.
func (r *commandReader) readArrived(reason error) error {
	if r.late > resp.MaxCommandSize {
		return reason
	}
	n, err := r.readWith(r.conn.nc.ReadAvailable, cap(r.buf))
	r.late += n
	if n == 0 && err == nil {
		return reason
	}
	return err
}

// grow makes room for a read in a full buffer.
func (r *commandReader) grow() {
	if len(r.buf) == cap(r.buf) {
		r.buf = append(make([]byte, 0, max(minReadBuffer, 2*cap(r.buf))), r.buf...)
	}
}

// updateDeadline sets the deadline for the rest of a partial command, and brings it forward once if
// the connection is evicted.
func (r *commandReader) updateDeadline() {
	if len(r.buf) == 0 {
		return
	}
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(r.conn.srv.commandTimeout)
	}
	if r.evicting || !r.conn.evicting.Load() {
		return
	}
	if grace := time.Now().Add(evictGrace); grace.Before(r.deadline) {
		r.deadline = grace
		r.evicting = true
	}
}

// unhandled returns how many bytes were read that no command has been taken from.
func (r *commandReader) unhandled() int { return len(r.buf) + len(r.ahead.bytes) }

func (r *commandReader) clearDeadline() {
	r.deadline = time.Time{}
	r.evicting = false
	r.late = 0
}

// closesBetweenRequests reports whether the connection is to be closed and is between requests. While
// requests are in flight it is read on, as a command that follows them on an open connection has to
// be accepted.
func (c *clientConn) closesBetweenRequests() bool {
	return c.draining.Load() && c.pendingReplies.Load() == 0
}
