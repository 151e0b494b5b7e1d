package router

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	maxPipelined        = 512                     // commands of one connection that may await their replies; more are rejected
	maxDiscarded        = 4 * resp.MaxCommandSize // bytes read and discarded after the last command, once all replies are written
	discardBufferSize   = 4 << 10                 // bytes discarded with one read, at most
	hangupCheckInterval = 25 * time.Millisecond   // between checks for a disconnect while nothing is read
)

// connState is the state in which handling a command leaves a client's connection.
type connState uint8

const (
	connOpen      connState = iota // further commands are read
	connClosing                    // nothing more is read; the client may still read its replies
	connMalformed                  // like connClosing, but no command can be found in what follows
	connGone                       // the client has disconnected
)

// clientConn is a client's connection. A reader takes commands from it and queues a reply slot for
// each, and a writer sends the replies in that order.
type clientConn struct {
	srv            *Server
	nc             *socket.Conn
	requests       map[int64]*request // without a final reply; owned by the event loop
	gone           bool               // the client has disconnected; owned by the event loop
	reader         *commandReader     // owned by the reader's goroutine
	replies        *replyQueue
	draining       atomic.Bool  // the connection is to be closed between requests
	evicting       atomic.Bool  // it is drained for want of descriptors, so a partial command is given less time
	pendingReplies atomic.Int64 // commands whose reply is not written
	openRequests   atomic.Int64 // requests without a final reply that the policy decides about
	awaitsRoom     atomic.Bool  // the reader waits for a reply to be written, or for bytes to read ahead
	readingStopped atomic.Bool  // what arrives stays unread
	aheadCharge    atomic.Int64 // bytes acquired for what is read ahead
	hasCommand     atomic.Bool  // a command has been received
	lastReplyAt    atomic.Int64 // when the last reply was written, or the connection accepted; policy.Time

	lingering   atomic.Bool   // all replies are written, and the client is given time to read them, ...
	lingerEnd   atomic.Int64  // ... until then, ...
	lingerLimit atomic.Int64  // ... and until then while replies are not acknowledged; policy.Time
	readEnded   chan struct{} // closed when the reader has ended
}

// newClientConn makes a connection that may have been queued at the listener since the given time; 0
// if it was accepted at once.
func newClientConn(s *Server, nc *socket.Conn, queuedSince policy.Time) *clientConn {
	c := &clientConn{
		srv:       s,
		nc:        nc,
		requests:  map[int64]*request{},
		replies:   newReplyQueue(),
		readEnded: make(chan struct{}),
	}
	now := s.loop.clock()
	c.reader = newCommandReader(c, c.firstBytesSince(queuedSince, now))
	c.lastReplyAt.Store(now)
	return c
}

// firstBytesSince returns since when bytes may lie unread on a new connection. Where the system can't
// tell when they arrived, they count from the earliest time at which they may have.
func (c *clientConn) firstBytesSince(queuedSince, now policy.Time) policy.Time {
	since := c.srv.loop.stalls.arrivedSince(now)
	if queuedSince != 0 {
		since = min(since, queuedSince)
	}
	if age, err := c.nc.LastDataAge(); err == nil {
		since = max(since, now-age.Microseconds())
	}
	return since
}

// closeWhenIdle has the connection closed as soon as it has no request in flight.
func (c *clientConn) closeWhenIdle() {
	if !c.draining.Swap(true) {
		c.interruptRead()
	}
}

// isEvictable reports whether the connection may be closed for want of descriptors: it is idle, and
// has sent a command or was accepted before newSince. The first command of a new connection is
// probably on its way, and would be lost.
func (c *clientConn) isEvictable(newSince policy.Time) bool {
	if c.pendingReplies.Load() != 0 || c.draining.Load() {
		return false
	}
	return c.hasCommand.Load() || c.lastReplyAt.Load() < newSince
}

// readLoop handles commands until the connection ends or takes no more, and then waits until it may
// be closed.
func (c *clientConn) readLoop() {
	defer c.srv.wg.Done()
	defer close(c.readEnded)
	state, reason := c.readCommands()
	c.noteClosed(reason, c.reader.unhandled())
	c.reader.dropAhead()
	c.replies.close()
	switch state {
	case connGone:
		c.reportGone()
	case connMalformed:
		c.discard()
	default:
		c.awaitHangup()
	}
}

// reportGone has the event loop end the client's requests.
func (c *clientConn) reportGone() {
	c.srv.loop.post(func() { c.srv.loop.clientGone(c) })
}

// awaitHangup waits until the client has disconnected or the connection may be closed. It reads
// nothing: a request that is read would have to be answered, while the client sends one once more
// that was left unread.
func (c *clientConn) awaitHangup() {
	c.readingStopped.Store(true)
	for {
		c.nc.SetReadDeadline(time.Now().Add(c.lingerWait()))
		if c.lingerOver() {
			return
		}
		if err := c.nc.AwaitHangup(); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.reportGone()
			return
		}
	}
}

// discard reads and drops what the client sends behind a malformed command, for as long as replies
// are due and the client may read them. A client that sends all before it reads, and a short error
// reply, would otherwise not meet. While requests are in flight there is no other bound: the client's end
// would stay hidden behind what is left unread.
func (c *clientConn) discard() {
	buf := make([]byte, discardBufferSize)
	for total := 0; total < maxDiscarded || c.pendingReplies.Load() > 0; {
		n, err := c.nc.Read(buf)
		total += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.reportGone()
			return
		case c.lingerOver():
			return
		default: // the deadline was that of a command, or the read was interrupted
			c.nc.SetReadDeadline(time.Time{})
			if c.lingering.Load() {
				c.nc.SetReadDeadline(time.Now().Add(c.lingerWait()))
			}
		}
	}
	c.awaitHangup()
}

// enqueueResult is what came of a command's reply slot.
type enqueueResult uint8

const (
	enqueued        enqueueResult = iota
	enqueueRejected               // the command is rejected
	enqueueGone                   // the client has disconnected
)

// enqueue queues the reply slot of a command. While the queue is full, what the client sends is read
// ahead. When no more of it can be, the command is rejected if requests of the client are open, as its end
// must not stay hidden; else the rest of what it sends waits.
func (c *clientConn) enqueue(slot *replySlot) enqueueResult {
	c.pendingReplies.Add(1)
	if c.replies.tryAdd(slot) {
		return enqueued
	}
	c.awaitsRoom.Store(true)
	defer c.awaitsRoom.Store(false)
	for {
		// The writer interrupts the wait for bytes from here on.
		c.nc.SetReadDeadline(time.Now().Add(hangupCheckInterval))
		switch {
		case c.replies.tryAdd(slot):
			return enqueued
		case c.hungUp():
			return enqueueGone
		}
		await := c.nc.AwaitReadable
		switch {
		case c.reader.isEnding():
			await = c.nc.AwaitHangup // nothing more is read
		case c.reader.readMore():
		case c.openRequests.Load() > 0:
			c.replies.addRejected()
			return enqueueRejected
		default:
			await = c.nc.AwaitHangup
		}
		_ = await() // its error, if it is not the deadline, shows with the next look
	}
}

// reply queues a reply of the router's own and leaves the connection open.
func (c *clientConn) reply(reply []byte) connState {
	slot := newReplySlot(c.srv.memory)
	switch c.enqueue(slot) {
	case enqueueGone:
		return connGone
	case enqueued:
		slot.fill(reply) // only now, as the writer releases the reply's memory
	}
	return connOpen
}

// replyAndLeave queues the last reply, one of the router's own, and returns the next state of the
// connection.
func (c *clientConn) replyAndLeave(reply []byte, next connState) connState {
	slot := newReplySlot(c.srv.memory)
	c.pendingReplies.Add(1)
	c.replies.addLast(slot)
	slot.fill(reply)
	return next
}
