package router

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	// maxPipelined is the number of commands of one connection that may await their replies. Further
	// commands wait or are rejected (see enqueue).
	maxPipelined = 512
	// maxDiscarded is the number of bytes after a malformed command that are read and discarded once all
	// replies are written.
	maxDiscarded = 4 * resp.MaxCommandSize
	// discardBufferSize is the maximum number of bytes discarded by one read.
	discardBufferSize = 64 << 10
	// hangupCheckInterval is the time between checks for a disconnect while nothing is read.
	hangupCheckInterval = 25 * time.Millisecond
)

// connState is the state of a client's connection after a command has been handled.
type connState uint8

const (
	connOpen         connState = iota // further commands are read
	connClosing                       // nothing more is read; the client may still read its replies
	connMalformed                     // like connClosing, but what follows can't be parsed into commands
	connDisconnected                  // the client has disconnected
)

// clientConn is a client's connection. A reader takes commands from it and queues a reply slot for
// each, and a writer sends the replies in that order.
type clientConn struct {
	srv              *Server
	nc               *socket.Conn
	requests         map[int64]*request // without a final reply; owned by the event loop
	held             []*request         // not reported to the engine yet, in order; owned by the event loop
	disconnected     bool               // the client has disconnected; owned by the event loop
	reader           *commandReader     // owned by the reader's goroutine
	replies          *replyQueue
	draining         atomic.Bool  // the connection is closed once no request is in flight
	evicting         atomic.Bool  // draining for lack of descriptors; shortens the time for partial commands
	pendingReplies   atomic.Int64 // commands whose replies have not been written
	openRequests     atomic.Int64 // requests without a final reply that the policy decides about
	awaitsQueueSpace atomic.Bool  // the reader waits for space in the reply queue, or for bytes to read ahead
	readingStopped   atomic.Bool  // the reader reads nothing more; bytes that arrive stay unread
	partialSince     atomic.Int64 // when the partial command that is being read began; policy.Time, 0 if there is none
	givenUp          atomic.Bool  // the partial command is to be given up
	writeBegunAt     atomic.Int64 // when the write of replies that is in progress began; policy.Time, 0 if there is none
	windowShortAt    atomic.Int64 // when the receive window was last found too small; policy.Time, 0 if never
	hasCommand       atomic.Bool  // a command has been received
	closedEarly      bool         // the client had closed its side before the connection was accepted
	lastReplyAt      atomic.Int64 // time of the last reply, or of the accept if there was none; policy.Time

	lingering   atomic.Bool   // all replies are written, and the client is given time to read them
	lingerEnd   atomic.Int64  // when lingering ends if all replies are acknowledged; policy.Time
	lingerLimit atomic.Int64  // when lingering ends in any case; policy.Time
	readerDone  chan struct{} // closed when the reader's goroutine ends
}

// newClientConn returns the state of an accepted connection. queuedSince is the earliest time from which it
// may have waited in the listener's queue, or 0 if it was accepted immediately.
func newClientConn(s *Server, nc *socket.Conn, queuedSince policy.Time) *clientConn {
	c := &clientConn{
		srv:        s,
		nc:         nc,
		requests:   map[int64]*request{},
		replies:    newReplyQueue(),
		readerDone: make(chan struct{}),
	}
	now := s.loop.clock()
	c.reader = newCommandReader(c, c.earliestUnreadArrival(queuedSince, now))
	c.lastReplyAt.Store(now)
	return c
}

// earliestUnreadArrival returns the earliest time at which the unread bytes of a new connection may have
// arrived. If the system reports when the only segment arrived, the result is no earlier than that.
func (c *clientConn) earliestUnreadArrival(queuedSince, now policy.Time) policy.Time {
	since := c.srv.loop.stalls.earliestArrival(now)
	if queuedSince != 0 {
		since = max(min(since, queuedSince), c.earliestEstablishment(now))
	}
	age, segments, err := c.nc.LastDataAge()
	lastSegmentAt := now - age.Microseconds()
	switch {
	case err != nil:
		return since
	case segments > 1: // earlier ones may hold other requests
		return min(since, lastSegmentAt)
	case segments == 1 && now-lastSegmentAt >= minDataAge: // the connection was accepted late
		return lastSegmentAt
	default:
		return max(since, lastSegmentAt)
	}
}

// earliestEstablishment returns the earliest time at which a new connection may have been established, or 0 if it is not
// known. A connection is usually established long after the listener's queue was last empty, if many clients connect.
func (c *clientConn) earliestEstablishment(now policy.Time) policy.Time {
	age, err := c.nc.Age()
	if err != nil {
		return 0
	}
	return now - age.Microseconds() - maxSystemTick
}

// closeWhenIdle makes the reader close the connection as soon as no request is in flight on it.
func (c *clientConn) closeWhenIdle() {
	if !c.draining.Swap(true) {
		c.interruptRead()
	}
}

// isEvictable reports whether the connection may be closed for lack of descriptors: it is idle, and it has
// sent a command or was accepted before firstCommandCutoff. On a newer connection the first command is
// probably on its way and would be lost.
func (c *clientConn) isEvictable(firstCommandCutoff policy.Time) bool {
	if c.pendingReplies.Load() != 0 || c.draining.Load() {
		return false
	}
	return c.hasCommand.Load() || c.lastReplyAt.Load() < firstCommandCutoff
}

// readLoop handles commands until the client disconnects or no more commands are accepted on the connection.
// It then waits until the connection may be closed.
func (c *clientConn) readLoop() {
	defer c.srv.wg.Done()
	defer close(c.readerDone)
	state, reason := c.readCommands()
	c.noteClosed(reason, c.reader.unhandled())
	c.reader.dropReadAhead()
	c.reader.buf.drop()
	c.replies.close()
	switch state {
	case connDisconnected:
		c.reportDisconnect()
	case connMalformed:
		c.discard()
	default:
		c.awaitHangup()
	}
}

// isWriteBlocked reports whether the client has not taken replies for blockedWriteTime.
func (c *clientConn) isWriteBlocked() bool {
	begunAt := c.writeBegunAt.Load()
	return begunAt != 0 && c.srv.loop.clock()-begunAt > blockedWriteTime.Microseconds()
}

// reportDisconnect makes the event loop end the client's requests.
func (c *clientConn) reportDisconnect() {
	c.srv.loop.post(func() { c.srv.loop.clientDisconnected(c) })
}

// awaitHangup waits until the client has disconnected or the connection may be closed. It reads nothing: a
// request that has been read must be answered, whereas the client sends an unread one again.
func (c *clientConn) awaitHangup() {
	c.readingStopped.Store(true)
	for {
		c.nc.SetReadDeadline(time.Now().Add(c.lingerCheckDelay()))
		if c.lingerExpired() {
			return
		}
		if err := c.nc.AwaitHangup(); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.reportDisconnect()
			return
		}
	}
}

// discard reads and drops what the client sends after a malformed command until the connection may be closed.
// Without it, a client that sends everything before it reads would block and never read the error reply.
// maxDiscarded bounds the bytes only once all replies are written: before that, unread bytes would hide a
// disconnect of the client.
func (c *clientConn) discard() {
	for total := 0; c.mayDiscard(total); {
		if !c.srv.work.mayDiscard() {
			if c.awaitsHangup(hangupCheckInterval) {
				c.reportDisconnect()
				return
			}
			if c.lingerExpired() {
				return
			}
			continue
		}
		n, err := c.srv.discarder.discard(c.nc)
		total += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.reportDisconnect()
			return
		case c.lingerExpired():
			return
		default: // the deadline of a command has passed, or the writer has interrupted the read
			c.nc.SetReadDeadline(time.Time{})
			if c.lingering.Load() {
				c.nc.SetReadDeadline(time.Now().Add(c.lingerCheckDelay()))
			}
		}
	}
	c.awaitHangup()
}

// awaitsHangup waits for a time and reports whether the client has disconnected meanwhile.
func (c *clientConn) awaitsHangup(wait time.Duration) bool {
	c.nc.SetReadDeadline(time.Now().Add(wait))
	return !errors.Is(c.nc.AwaitHangup(), os.ErrDeadlineExceeded)
}

// mayDiscard reports whether more bytes may be discarded in addition to the given number. If a client waits for a
// descriptor, the connection ends once its replies are written.
func (c *clientConn) mayDiscard(total int) bool {
	return c.pendingReplies.Load() > 0 || total < maxDiscarded && !c.srv.awaitsDescriptor.Load()
}

// discarder reads bytes that nobody needs. All connections share its buffer.
type discarder struct {
	mu  sync.Mutex
	buf [discardBufferSize]byte
}

// discard waits until there is something to read and drops some of it. It returns the number of bytes, and io.EOF at
// the end of the stream.
func (d *discarder) discard(nc *socket.Conn) (int, error) {
	if err := nc.AwaitReadable(); err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return nc.ReadAvailable(d.buf[:])
}

// enqueueResult is the outcome of queueing a command's reply slot.
type enqueueResult uint8

const (
	enqueued            enqueueResult = iota
	enqueueRejected                   // the command is rejected
	enqueueDisconnected               // the client has disconnected
)

// enqueue queues the reply slot of a command. While the queue is full, it reads ahead what the client sends.
// When no more can be read ahead, the command is rejected if the client has open requests, because unread
// bytes would hide a disconnect. If it has none, the remaining bytes stay unread until the queue has space.
func (c *clientConn) enqueue(slot *replySlot) enqueueResult {
	c.pendingReplies.Add(1)
	if c.replies.tryAdd(slot) {
		return enqueued
	}
	if c.openRequests.Load() > 0 && !c.replies.isFull() {
		// There is no memory for the slot, and it may take long until there is.
		c.replies.addRejected()
		return enqueueRejected
	}
	c.awaitsQueueSpace.Store(true)
	defer c.awaitsQueueSpace.Store(false)
	for {
		// The deadline is set before tryAdd: a writer that frees space after tryAdd changes the deadline and
		// so ends the wait below.
		c.nc.SetReadDeadline(time.Now().Add(hangupCheckInterval))
		switch {
		case c.replies.tryAdd(slot):
			return enqueued
		case c.hungUp():
			return enqueueDisconnected
		}
		await := c.nc.AwaitReadable
		switch {
		case c.reader.isEnding():
			await = c.nc.AwaitHangup // nothing more is read
		case c.reader.fillReadAhead():
		case c.openRequests.Load() > 0:
			c.replies.addRejected()
			return enqueueRejected
		default:
			await = c.nc.AwaitHangup
		}
		_ = await() // the next iteration notices any error other than the deadline
	}
}

// reply queues a reply that the router itself gives to the command that is being handled, and leaves the connection
// open. It drops the command first, as the client may make the reply wait.
func (c *clientConn) reply(reply []byte) connState {
	c.reader.dropCommand()
	slot := newReplySlot(c.srv.memory)
	switch c.enqueue(slot) {
	case enqueueDisconnected:
		return connDisconnected
	case enqueued:
		slot.fill(reply) // only once queued: it acquires memory that the writer releases
	}
	return connOpen
}

// replyLast queues the last reply of the connection, which the router itself gives, and returns next.
func (c *clientConn) replyLast(reply []byte, next connState) connState {
	slot := newReplySlot(c.srv.memory)
	c.pendingReplies.Add(1)
	c.replies.addLast(slot)
	slot.fill(reply)
	return next
}
