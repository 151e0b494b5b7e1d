package router

import (
	"errors"
	"io"
	"os"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	// minReadBuffer is the initial size in bytes of a read buffer.
	minReadBuffer = 1 << 10
	// commandTimeout is the timeout of a connection's first command, and of the rest of any partial command.
	commandTimeout = 2200 * time.Millisecond
	// evictionGrace is the timeout of the rest of a partial command on a connection that is being evicted. It
	// also bounds the linger time of such a connection.
	evictionGrace = 100 * time.Millisecond
)

// errCommandTimeout reports that the rest of a command did not arrive in time. Bytes of it that arrive later
// stay unread. Its text is sent to clients.
var errCommandTimeout = errors.New("the command did not come whole in time")

// errIdleClose reports that the connection is to be closed and that no command is lost by that.
var errIdleClose = errors.New("connection closed between commands")

// protocolError reports that a client sent something that is no command, or an incomplete one. The connection
// is closed after it, since the start of the next command can't be determined.
type protocolError struct{ err error }

func (e *protocolError) Error() string { return "protocol error: " + e.err.Error() }

func (e *protocolError) Unwrap() error { return e.err }

// reply returns the error as it is sent to the client.
func (e *protocolError) reply() []byte {
	return resp.AppendError(nil, "Protocol error: "+e.err.Error())
}

// commandReader reads commands from a client's connection.
type commandReader struct {
	conn              *clientConn
	buf               readBuffer
	parser            resp.CommandParser // state of the partial command in buf
	commandSize       int                // size of the command that is being handled, unless it was taken from buf
	deadline          time.Time          // of the first command, or of the rest of a partial one; zero if none is pending
	deadlineShortened bool               // the deadline has been brought forward because the connection is being evicted
	attempt           readAttempt        // the last one to read from the socket
	arrival           arrivalTime        // of the last bytes in buf
	ahead             readAhead          // bytes that follow buf, received while the reply queue was full
	bytesBeforeClose  int                // bytes read by readBeforeClose since the last command
	last              lastCommand        // state of the last command, once no further one may begin
	work              connWork
	requests          connRequests
	memoryWaitSince   time.Time // since when the reader has waited for memory; zero if it does not
}

// newCommandReader returns a reader with a deadline for the first command, so that a silent peer does not
// occupy a descriptor forever. unreadSince is the earliest time at which bytes that are unread now may have
// arrived.
func newCommandReader(c *clientConn, unreadSince policy.Time) *commandReader {
	return &commandReader{
		conn:     c,
		buf:      newReadBuffer(c.srv.memory),
		ahead:    readAhead{hold: memoryHold{budget: c.srv.memory, use: memoryReadAhead}},
		work:     c.srv.work.newConnWork(c.srv.loop.clock()),
		deadline: time.Now().Add(c.srv.commandTimeout),
		arrival:  arrivalTime{lastReadAt: unreadSince},
	}
}

// readCommands reads and handles commands until no more are accepted on the connection. It returns
// connClosing, connMalformed or connDisconnected, and the reason.
func (c *clientConn) readCommands() (connState, closeReason) {
	r := c.reader
	for {
		args, raw, err := r.next()
		if err != nil {
			return c.handleReadError(err)
		}
		r.commandSize = len(raw)
		isCommand := len(args) > 0
		if isCommand {
			r.work.charge(commandWork)
		}
		if state := c.handleCommand(args, raw, r.arrival.earliest); state != connOpen {
			return state, closedByClient
		}
		if isCommand {
			c.hasCommand.Store(true)
			r.clearDeadline()
		}
		r.buf.consume(r.commandSize)
	}
}

// handleReadError handles an error of commandReader.next. It queues an error reply where the protocol has one.
func (c *clientConn) handleReadError(err error) (connState, closeReason) {
	var malformed *protocolError
	switch {
	case errors.Is(err, errCommandTimeout):
		return c.replyLast(c.incompleteReply(), connClosing), closedIncomplete
	case errors.Is(err, errGivenUp):
		return c.replyLast([]byte(resp.BusyReply), connClosing), closedGivenUp
	case errors.As(err, &malformed):
		return c.replyLast(malformed.reply(), connMalformed), closedMalformed
	case errors.Is(err, errIdleClose):
		return connClosing, c.idleCloseReason()
	default:
		return connDisconnected, closedByClient
	}
}

// incompleteReply returns the reply to a command that did not arrive completely in time. If the router
// allowed less time than usual, the client did nothing wrong, and BUSY tells it to send the command again.
func (c *clientConn) incompleteReply() []byte {
	if c.reader.last.ending || c.reader.deadlineShortened {
		return []byte(resp.BusyReply)
	}
	return (&protocolError{errCommandTimeout}).reply()
}

// idleCloseReason returns the reason for which the router closes the connection between commands.
func (c *clientConn) idleCloseReason() closeReason {
	switch {
	case c.reader.last.afterQuit:
		return closedQuit
	case c.srv.noNewCommands.Load():
		return closedFinalReplies
	case c.evicting.Load():
		return closedEvicted
	case c.draining.Load():
		return closedDraining
	default:
		return closedSilent
	}
}

// next returns the arguments and the bytes of the next command. Both are valid until the bytes are consumed. Of a client
// that had closed its side before the connection was accepted, it reads only what needs no turn.
// An error is a *protocolError, errCommandTimeout, errGivenUp, errIdleClose, or an error of the connection.
func (r *commandReader) next() (args [][]byte, raw []byte, err error) {
	for {
		if r.conn.closedEarly && r.work.left <= 0 {
			return nil, nil, io.EOF
		}
		r.limitWork()
		args, used, err := r.parser.Next(r.buf.unread())
		switch {
		case err != nil:
			return nil, nil, &protocolError{err}
		case used > 0:
			return args, r.buf.unread()[:used], nil
		}
		if err := r.fill(); err != nil {
			return nil, nil, err
		}
	}
}

// takeCommand returns the bytes of the command that is being handled, which the caller then owns. Their memory, if
// it is not that of a copy, moves to the given hold.
func (r *commandReader) takeCommand(hold *memoryHold) []byte {
	size := r.commandSize
	r.commandSize = 0
	return r.buf.take(size, hold)
}

// dropCommand drops the command that is being handled, so that its memory is not held while its reply waits.
func (r *commandReader) dropCommand() {
	r.buf.consume(r.commandSize)
	r.commandSize = 0
}

// fill appends the result of one read to the buffer. It may add no bytes and still return no error.
func (r *commandReader) fill() error {
	hasRoom := r.makeRoom()
	if hasRoom && r.takeReadAhead() {
		return nil
	}
	r.updateDeadline()
	r.conn.nc.SetReadDeadline(r.deadline)
	switch {
	case !hasRoom:
		return r.awaitMemory()
	case r.isEnding():
		return r.readLast()
	case r.buf.len() == 0 && r.conn.isDrained():
		return r.readBeforeClose(errIdleClose)
	}
	_, err := r.readWith(r.readWhileNotEnding, r.buf.space())
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case r.isGivenUp():
		return errGivenUp
	case r.deadline.IsZero() || time.Now().Before(r.deadline):
		return nil // interruptRead has ended the read: the next call checks whether to close
	case r.buf.len() > 0:
		return r.readBeforeClose(errCommandTimeout)
	default:
		return r.readBeforeClose(errIdleClose)
	}
}

// readWhileNotEnding waits for bytes and reads them, unless the server has stopped reading new commands.
func (r *commandReader) readWhileNotEnding(b []byte) (int, error) {
	return r.conn.nc.ReadWhile(b, func() bool {
		r.beginAttempt()
		return !r.conn.srv.noNewCommands.Load()
	}, r.foundNothing)
}

// readWith appends the result of one call of read to the buffer, at most limit bytes, and records when the bytes
// arrived.
func (r *commandReader) readWith(read func([]byte) (int, error), limit int) (n int, err error) {
	r.attempt = readAttempt{}
	r.beginAttempt()
	free := r.buf.free(limit)
	n, err = read(free)
	r.buf.received(n)
	r.work.chargeRead(n)
	switch {
	case n > 0:
		r.recordArrival(n == len(free))
	case r.attempt.foundNothing:
		r.arrival.noteWaitEnd(r.conn.srv.loop.clock())
	}
	return n, err
}

// readBeforeClose makes a last read without waiting before the connection is closed for the given reason. It
// returns that reason if nothing has arrived. The deadline of a read may pass although bytes have arrived,
// and a request that arrived in time must be served. After more than resp.MaxCommandSize bytes without a
// complete command it returns the reason without a read.
func (r *commandReader) readBeforeClose(reason error) error {
	if r.bytesBeforeClose > resp.MaxCommandSize {
		return reason
	}
	n, err := r.readWith(r.readAvailable, r.buf.space())
	r.bytesBeforeClose += n
	if n == 0 && err == nil {
		return reason
	}
	return err
}

// updateDeadline sets the deadline by which the rest of a partial command must arrive. If the connection is
// being evicted, it shortens the time left to evictionGrace, at most once per command.
func (r *commandReader) updateDeadline() {
	if r.buf.len() == 0 {
		return
	}
	if r.deadline.IsZero() {
		r.deadline = time.Now().Add(r.conn.srv.commandTimeout)
	}
	r.conn.partialSince.CompareAndSwap(0, r.conn.srv.loop.clock())
	if r.deadlineShortened || !r.conn.evicting.Load() {
		return
	}
	if grace := time.Now().Add(evictionGrace); grace.Before(r.deadline) {
		r.deadline = grace
		r.deadlineShortened = true
	}
}

// unhandled returns the number of bytes that were read but belong to no handled command.
func (r *commandReader) unhandled() int { return r.buf.len() + len(r.ahead.bytes) }

func (r *commandReader) clearDeadline() {
	r.deadline = time.Time{}
	r.deadlineShortened = false
	r.bytesBeforeClose = 0
	r.conn.partialSince.Store(0)
	r.conn.givenUp.Store(false)
}

// isDrained reports whether the connection is draining and has no pending reply. While replies
// are pending, the router continues to read, because it has to accept a command that follows on an open
// connection.
func (c *clientConn) isDrained() bool {
	return c.draining.Load() && c.pendingReplies.Load() == 0
}
