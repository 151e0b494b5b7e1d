package router

import (
	"marlstage/policy"
)

// writeAttempt writes the attempt at the head of the pool's queue. The loop itself writes as much as
// the socket takes at once, which is nearly always all of it, so that nothing happens between
// canStart and the first byte. A goroutine writes the remainder.
func (c *upstreamConn) writeAttempt(a *attempt) {
	isNew := c.isNew()
	if !c.beginAttempt() {
		// What has arrived would be taken for the beginning of the reply, or the end of the
		// connection for a reset after which the request may have been executed.
		c.failUnsent(a, isNew)
		return
	}
	buf := a.encode(c.pool.loop.now)
	n, err := c.nc.TryWrite(buf)
	if n == 0 && err != nil {
		c.failUnsent(a, isNew) // the server had closed the connection
		return
	}
	c.pool.queue = c.pool.queue[1:]
	c.attempt, a.conn = a, c
	switch {
	case err != nil:
		a.state = attemptWriting
		c.close()
		a.finish(policy.ConnectFailed, nil)
	case n == len(buf):
		a.state = attemptWritten
	default:
		a.state = attemptWriting
		go c.writeRemainder(a, buf[n:])
	}
}

// beginAttempt counts an attempt unless anything has arrived before it. The lock keeps bytes from
// arriving unnoticed between the check and the count.
func (c *upstreamConn) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSilent() {
		return false
	}
	c.sequence.Add(1)
	return true
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

// writeRemainder writes what the socket didn't take at once. It runs in its own goroutine.
func (c *upstreamConn) writeRemainder(a *attempt, buf []byte) {
	n, _ := c.nc.Write(buf) // an error leaves the write incomplete
	c.pool.loop.post(func() { c.writeDone(a, n == len(buf)) })
}

// writeDone takes the outcome of writeRemainder. An incomplete request has not been executed,
// whatever became of the connection.
func (c *upstreamConn) writeDone(a *attempt, complete bool) {
	if a.state != attemptWriting {
		return
	}
	abandonedByRouter := a.abandoned && a.abandonResult != policy.ConnectionLost
	switch {
	case !complete && abandonedByRouter:
		a.finish(policy.NotSent, nil)
	case !complete:
		c.close()
		a.finish(policy.ConnectFailed, nil)
	case c.earlyReply != nil && !abandonedByRouter:
		// The server may have closed the connection behind its reply.
		c.close()
		a.finish(c.earlyReply.Result, c.earlyReply)
	case a.abandoned:
		a.finish(a.abandonResult, nil)
	default:
		a.state = attemptWritten
	}
}
