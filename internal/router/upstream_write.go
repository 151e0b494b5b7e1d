package router

import (
	"errors"

	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	// defaultMaxWriteTime is the maximum time in microseconds from when the timeout in a command is computed to
	// its last write. The cache counts that timeout from when it has received the command's last byte.
	defaultMaxWriteTime = 100_000
	// minWriteRetryDelay and maxWriteRetryDelay are the shortest and longest delay in microseconds before a write is
	// retried on a socket that has accepted nothing. The delay doubles with each retry.
	minWriteRetryDelay = 1_000
	maxWriteRetryDelay = 16_000
	// maxTryWriteTime is the maximum time in microseconds from the checks before a write to the write, and to its
	// end. If they take longer, the process counts as having been stalled in between.
	maxTryWriteTime = 5_000
	// maxStalledWrites is how often the writes of one attempt are begun anew after a stall. Where the router itself
	// takes longer than maxTryWriteTime, more would not help.
	maxStalledWrites = 3
)

// errUnexpectedInput reports that bytes or the end of the connection have arrived before a command was completely
// written. The bytes would be taken for the beginning of the reply, and the end of the connection for a reset
// after which the request may have been executed.
var errUnexpectedInput = errors.New("unexpected bytes or end of the connection")

// errStalledBeforeWrite reports that nothing was written, as the process was stalled after it had checked whether the
// attempt may start or continue, and had computed the timeout in the command. Both may be out of date.
var errStalledBeforeWrite = errors.New("stalled before the write")

// commandWrite is the progress of writing an attempt's command.
type commandWrite struct {
	command    []byte
	written    int         // number of bytes written
	encodedAt  policy.Time // when the timeout in the command was computed
	retryDelay policy.Time // before the next retry
}

// writeAttempt writes the attempt at the head of the pool's queue. The socket nearly always accepts the complete
// command at once. Commands are written by the loop only, so that its state cannot change between the check
// whether the attempt may continue and the write of the last byte, at which the cache begins to execute the
// command. It returns false if the attempt is to be postponed, because it cannot be determined at present whether
// the client is still connected. After a stall, the attempt stays at the head of the queue.
func (c *upstreamConn) writeAttempt(a *attempt) bool {
	isNew := c.isNew()
	now := c.pool.loop.now
	command := a.encode(now)
	n, err := c.tryWrite(a, command)
	switch {
	case errors.Is(err, errStalledBeforeWrite):
		c.pool.returnUnused(c)
		return true
	case n == 0 && isClientCheckError(err):
		c.pool.returnUnused(c)
		return c.pool.loop.handleClientCheckError(a, err)
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
	c.write = commandWrite{command: command, encodedAt: now, retryDelay: minWriteRetryDelay}
	c.writeDone(a, n, err)
	if a.state == attemptWriting {
		c.writing.grow(int64(cap(command)))
	}
	c.writeRemainder(a)
	return true
}

// tryWrite writes as much of the rest of a command as the socket accepts at once, unless checkWrite finds a reason
// against it. The lock prevents the reader from reading bytes between the check and the write.
func (c *upstreamConn) tryWrite(a *attempt, rest []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.isNew()
	begunAt := c.pool.loop.clock()
	err = c.checkWrite(a)
	if err == nil {
		n, err = c.nc.TryWrite(rest)
	}
	if !isClientCheckError(err) && socket.IsTransient(err) {
		err = nil
	}
	if n == len(rest) {
		c.attemptsWritten.Add(1)
	}
	stalled := c.pool.loop.clock()-begunAt > maxTryWriteTime
	if stalled && !isNew && c.checkNothingReceived() != nil {
		// A late reply to an earlier request may have arrived between the check and the write.
		c.pool.loop.noteUncertainReply(c)
		return n, errUnexpectedInput
	}
	return n, err
}

// checkWrite returns an error if anything has arrived from the cache, the client has disconnected, or the process was
// stalled since the loop read the clock for the attempt. The process may be stalled between any two steps, most likely
// where it makes a system call, and the client may disconnect meanwhile. Therefore the client is checked last but for
// the clock, right before the write.
func (c *upstreamConn) checkWrite(a *attempt) error {
	if err := c.checkNothingReceived(); err != nil {
		return err
	}
	if err := a.request.checkClient(); err != nil {
		return err
	}
	loop := c.pool.loop
	if a.stalledWrites < maxStalledWrites && loop.clock()-loop.now > maxTryWriteTime {
		a.stalledWrites++
		loop.statistics.stalledWrites.Add(1)
		return errStalledBeforeWrite
	}
	return nil
}

// failUnsent closes a connection that can't carry the attempt, of which nothing has been written. The attempt
// stays queued for another connection. If this connection was new, the attempt fails instead: otherwise a cache
// that closes each connection it accepts would be dialed without end.
func (c *upstreamConn) failUnsent(a *attempt, isNew bool) {
	c.close()
	if isNew {
		a.finish(policy.ConnectFailed, nil)
	}
}

// writeDone records a write of n bytes and handles its error, if any.
func (c *upstreamConn) writeDone(a *attempt, n int, err error) {
	c.write.written += n
	if c.write.written == len(c.write.command) {
		a.state = attemptWritten
		c.write = commandWrite{}
		c.writing.release()
	}
	if err != nil {
		c.failAttempt(a)
	}
}

// failAttempt closes the connection and ends the attempt that it carries. If the command was not completely
// written, the result is ConnectFailed, because a cache does not execute an incomplete command.
func (c *upstreamConn) failAttempt(a *attempt) {
	result := policy.ConnectionLost
	if a.state == attemptWriting {
		result = policy.ConnectFailed
	}
	c.close()
	a.finish(result, nil)
}

// writeRemainder writes the rest of a command that the socket has not completely accepted. Before each write it
// checks whether the attempt may continue. If the socket accepts nothing, it schedules a retry.
func (c *upstreamConn) writeRemainder(a *attempt) {
	for a.state == attemptWriting {
		c.pool.loop.now = c.pool.loop.clock()
		if !c.canContinue(a) {
			return
		}
		n, err := c.tryWrite(a, c.write.command[c.write.written:])
		if isClientCheckError(err) {
			if !c.pool.loop.handleClientCheckError(a, err) {
				c.scheduleWriteRetry(a)
			}
			return
		}
		if errors.Is(err, errStalledBeforeWrite) {
			continue
		}
		c.writeDone(a, n, err)
		if n == 0 && err == nil {
			c.scheduleWriteRetry(a)
			return
		}
		c.write.retryDelay = minWriteRetryDelay
	}
}

// scheduleWriteRetry schedules the next write of the command after a delay.
func (c *upstreamConn) scheduleWriteRetry(a *attempt) {
	c.pool.loop.scheduleAfter(c.write.retryDelay, func() { c.writeRemainder(a) })
	c.write.retryDelay = min(2*c.write.retryDelay, maxWriteRetryDelay)
}

// canContinue reports whether the rest of an attempt's command may be written, and ends the attempt if not.
func (c *upstreamConn) canContinue(a *attempt) bool {
	now := c.pool.loop.now
	begun := c.write.written > 0
	// A drain of the cache prevents attempts only if their first byte has not been written.
	allowed := c.pool.canComplete(a) && (begun || c.pool.inService)
	switch {
	case !allowed:
		a.abandon(policy.NotSent)
		return false
	case !begun:
		c.write.command, c.write.encodedAt = a.encode(now), now
	case now-c.write.encodedAt > c.pool.loop.maxWriteTime:
		c.failAttempt(a) // the cache would count the timeout in the command from too late a time
		return false
	}
	return true
}
