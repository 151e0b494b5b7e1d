package router

import (
	"errors"

	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	// defaultMaxWriteTime is the time in microseconds that writing a command may take, from when the
	// timeout in it was computed. The server counts that timeout from the command's last byte.
	defaultMaxWriteTime = 100_000
	// minWriteDelay and maxWriteDelay are the times in microseconds until a socket that took nothing
	// is tried again. The delay doubles from one to the other.
	minWriteDelay = 1_000
	maxWriteDelay = 16_000
	// maxUninterrupted is the time in microseconds between two successive system calls beyond which
	// the process counts as having been stalled between them.
	maxUninterrupted = 5_000
)

// errOutOfStep reports that something has arrived on a connection before a command was complete. It
// would be taken for the beginning of the reply, or the end of the connection for a reset after
// which the request may have been executed.
var errOutOfStep = errors.New("unexpected bytes or end of the connection")

// commandWrite is the progress of writing an attempt's command.
type commandWrite struct {
	command   []byte
	written   int         // bytes of the command
	encodedAt policy.Time // when the timeout in the command was computed
	delay     policy.Time // until the socket is tried again
}

// writeAttempt writes the attempt at the head of the pool's queue. The socket nearly always takes
// all of it at once. All of a command is written by the loop, so that nothing happens between the
// check whether the attempt may go on and the last byte, at which the server begins it. It reports
// false if it cannot be told for a moment whether the client is still there.
func (c *upstreamConn) writeAttempt(a *attempt) bool {
	isNew := c.isNew()
	now := c.pool.loop.now
	command := a.encode(now)
	n, err := c.tryWrite(a, command)
	switch {
	case n == 0 && isClientCheck(err):
		c.pool.returnUnused(c)
		return c.pool.loop.resolveClientCheck(a, err)
	case n == 0 && err != nil:
		if c.nc.HasUnreadBytes() {
			c.noteUnsolicited(!isNew)
		}
		c.failUnsent(a, isNew)
		return true
	}
	c.pool.queue = c.pool.queue[1:]
	c.attempt, a.conn = a, c
	a.state = attemptWriting
	c.write = commandWrite{command: command, encodedAt: now, delay: minWriteDelay}
	c.wrote(a, n, err)
	c.writeRemainder(a)
	return true
}

// tryWrite writes as much of the rest of a command as the socket takes at once, unless anything has
// arrived before or the client has gone. The lock keeps bytes from being read unnoticed between the
// check and the write. The process may be stalled at each step, most of all where it reads the clock,
// and the client may leave meanwhile: the look at the client comes last before the write.
func (c *upstreamConn) tryWrite(a *attempt, rest []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.isNew()
	begunAt := c.pool.loop.clock()
	err = c.checkSilent()
	if err == nil {
		err = a.request.checkClient()
	}
	if err == nil {
		n, err = c.nc.TryWrite(rest)
	}
	if !isClientCheck(err) && socket.IsTransient(err) {
		err = nil
	}
	if n == len(rest) {
		c.sequence.Add(1)
	}
	stalled := c.pool.loop.clock()-begunAt > maxUninterrupted
	if stalled && !isNew && c.checkSilent() != nil {
		// A late reply to an earlier request may have arrived between the check and the write.
		return n, errOutOfStep
	}
	return n, err
}

// failUnsent closes a connection that can't carry the attempt, of which not a byte has been written.
// The attempt stays queued for another connection. If this one was new, the attempt fails: a server
// that closes each connection it accepts would be dialed without end.
func (c *upstreamConn) failUnsent(a *attempt, isNew bool) {
	c.close()
	if isNew {
		a.finish(policy.ConnectFailed, nil)
	}
}

// wrote takes the outcome of a write of n bytes.
func (c *upstreamConn) wrote(a *attempt, n int, err error) {
	c.write.written += n
	if c.write.written == len(c.write.command) {
		a.state = attemptWritten
		c.write = commandWrite{}
	}
	if err != nil {
		c.fail(a)
	}
}

// fail closes the connection and ends the attempt that it carries. A server does not begin a command
// that is not complete.
func (c *upstreamConn) fail(a *attempt) {
	result := policy.ConnectionLost
	if a.state == attemptWriting {
		result = policy.ConnectFailed
	}
	c.close()
	a.finish(result, nil)
}

// writeRemainder goes on with a command that the socket has not taken completely, and tries again
// later if the socket takes nothing. Before each write it checks that the attempt may go on.
func (c *upstreamConn) writeRemainder(a *attempt) {
	for a.state == attemptWriting {
		c.pool.loop.now = c.pool.loop.clock()
		if !c.canContinue(a) {
			return
		}
		n, err := c.tryWrite(a, c.write.command[c.write.written:])
		if isClientCheck(err) {
			if !c.pool.loop.resolveClientCheck(a, err) {
				c.scheduleWrite(a)
			}
			return
		}
		c.wrote(a, n, err)
		if n == 0 && err == nil {
			c.scheduleWrite(a)
			return
		}
		c.write.delay = minWriteDelay
	}
}

// scheduleWrite has the loop go on with the command after a delay.
func (c *upstreamConn) scheduleWrite(a *attempt) {
	c.pool.loop.scheduleAfter(c.write.delay, func() { c.writeRemainder(a) })
	c.write.delay = min(2*c.write.delay, maxWriteDelay)
}

// canContinue checks that an attempt whose command is not complete may go on, and ends it otherwise.
func (c *upstreamConn) canContinue(a *attempt) bool {
	now := c.pool.loop.now
	begun := c.write.written > 0
	// A drain binds attempts from their first byte on.
	allowed := c.pool.canComplete(a) && (begun || c.pool.inService)
	switch {
	case !allowed:
		a.abandon(policy.NotSent)
		return false
	case !begun:
		c.write.command, c.write.encodedAt = a.encode(now), now
	case now-c.write.encodedAt > c.pool.loop.maxWriteTime:
		c.fail(a) // the server would count the timeout that it is sent from too late
		return false
	}
	return true
}
