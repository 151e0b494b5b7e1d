package router

import (
	"bytes"
	"errors"
	"os"
	"time"

	"marlstage/internal/resp"
)

const (
	// writeTimeout is the timeout of writing a batch of replies to a client that does not read.
	writeTimeout = 5 * time.Second
	// writeRetryInterval is the time after which a blocked write is tried again.
	writeRetryInterval = 100 * time.Millisecond
	// blockedWriteTime is the time after which a write counts as blocked, as the client does not read.
	blockedWriteTime = 20 * time.Millisecond
	// maxRejectionBatch is the maximum number of rejections in one write.
	maxRejectionBatch = 512
	// maxReplyBatch is the maximum number of replies in one write.
	maxReplyBatch = 64
	// lingerTime is the time that a client has to read the last reply before its connection is closed.
	lingerTime = time.Second
)

// writeLoop writes the replies in the order of the commands and then closes the connection.
func (c *clientConn) writeLoop() {
	defer c.srv.wg.Done()
	connected, answered := true, false
	for slot := c.replies.next(); slot != nil; slot = c.replies.next() {
		if c.awaitsQueueSpace.Load() {
			c.interruptRead()
		}
		answered = answered || connected
		if slot.rejected > 0 {
			connected = connected && c.writeRejections(slot.rejected)
			c.repliesDone(slot.rejected)
			continue
		}
		connected = c.writeReplies(slot) && connected
	}
	// A connection on which nothing was answered is closed immediately: lingering would occupy a
	// descriptor that a queued connection needs. A request that has just arrived on it is still unread.
	if connected && answered {
		c.linger()
	}
	c.nc.Close()
	c.srv.removeClient(c)
}

// writeReplies waits for the reply of a slot and writes it. If it is small, it adds the following replies that are
// already available, up to the first that is not small. It reports whether the client is still connected.
func (c *clientConn) writeReplies(slot *replySlot) bool {
	slots := []*replySlot{slot}
	last := c.awaitReply(slot) // the reply that is not part of the batch
	var batch []byte
	for isSmall(last) && len(slots) < maxReplyBatch {
		batch, last = append(batch, last...), noReply
		slot = c.replies.takeReady()
		if slot == nil {
			break
		}
		slots = append(slots, slot)
		last = <-slot.reply
	}
	connected := len(batch) == 0 || c.writeReply(batch)
	if last == nil || len(last) > 0 {
		connected = connected && c.writeReply(last)
	}
	for _, slot := range slots {
		slot.release()
	}
	c.repliesDone(len(slots))
	return connected
}

// noReply stands for a reply that is not needed, as opposed to nil, which stands for the end of the connection.
var noReply = []byte{}

// isSmall reports whether a reply may be part of a batch.
func isSmall(reply []byte) bool { return reply != nil && len(reply) <= smallReply }

// awaitReply waits for the reply of a slot. It returns nil if the client has disconnected or the event loop has
// ended without a reply.
func (c *clientConn) awaitReply(slot *replySlot) []byte {
	select {
	case reply := <-slot.reply:
		return reply
	case <-c.srv.loop.done:
	}
	select {
	case reply := <-slot.reply: // the loop filled the slot just before it ended
		return reply
	default:
		return nil
	}
}

// writeReply writes a reply and reports whether the client is still connected. If there is no reply or the
// write fails, it closes the connection; the reader then reports the disconnect.
func (c *clientConn) writeReply(reply []byte) bool {
	if reply != nil && c.writeAll(reply) == nil {
		return true
	}
	c.nc.Close()
	return false
}

// rejections is the longest write of writeRejections. All connections share it.
var rejections = bytes.Repeat([]byte(resp.BusyReply), maxRejectionBatch)

// writeRejections writes a rejection for each of the given number of commands and reports whether the client
// is still connected.
func (c *clientConn) writeRejections(commands int) bool {
	for commands > 0 {
		batch := min(commands, maxRejectionBatch)
		if !c.writeReply(rejections[:batch*len(resp.BusyReply)]) {
			return false
		}
		commands -= batch
	}
	return true
}

// writeAll writes all bytes within writeTimeout. It retries at a fixed interval instead of relying on the
// socket to become writable, since no such event follows a write that failed for lack of memory.
func (c *clientConn) writeAll(b []byte) error {
	deadline := time.Now().Add(writeTimeout)
	c.writeBegunAt.Store(c.srv.loop.clock())
	defer c.writeBegunAt.Store(0)
	for {
		c.nc.SetWriteDeadline(time.Now().Add(writeRetryInterval))
		n, err := c.nc.Write(b)
		b = b[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return err
		}
	}
}

// repliesDone records that the given number of replies are done. If the connection is draining and no other
// reply is pending, it interrupts the reader, which then closes the connection.
func (c *clientConn) repliesDone(replies int) {
	c.lastReplyAt.Store(c.srv.loop.clock())
	if c.pendingReplies.Add(-int64(replies)) == 0 && c.draining.Load() {
		c.interruptRead()
	}
}

// linger keeps the connection half-open so that the client can read the last reply. If bytes are unread or
// still arrive when a connection is closed (the rest of an oversized command, or a request that crosses the
// close), the system resets it, and replies that the client's machine has not acknowledged are lost.
func (c *clientConn) linger() {
	now := c.srv.loop.clock()
	idle := now-c.lastReplyAt.Load() > c.srv.lingerTime.Microseconds()
	unacknowledged := c.nc.MayHaveUnacknowledged()
	if idle && !unacknowledged && !c.nc.MayHaveUnread() {
		return
	}
	if c.nc.CloseWrite() != nil {
		return
	}
	end := now + c.lingerTime().Microseconds()
	c.lingerEnd.Store(end)
	c.lingerLimit.Store(end)
	if unacknowledged {
		c.lingerLimit.Store(max(end, now+writeTimeout.Microseconds()))
	}
	c.lingering.Store(true)
	c.interruptRead()
	<-c.readerDone
}

// lingerCheckDelay returns how long to wait before the next call of lingerExpired.
func (c *clientConn) lingerCheckDelay() time.Duration {
	remaining := time.Duration(c.lingerEnd.Load()-c.srv.loop.clock()) * time.Microsecond
	return max(remaining, hangupCheckInterval)
}

// lingerExpired reports whether the client has had enough time to read the last reply.
func (c *clientConn) lingerExpired() bool {
	now := c.srv.loop.clock()
	switch {
	case !c.lingering.Load() || now < c.lingerEnd.Load():
		return false
	case now >= c.lingerLimit.Load():
		return true
	}
	return !c.nc.MayHaveUnacknowledged()
}

// lingerTime returns how long the connection lingers. The time is shorter on an evicted connection:
// otherwise many clients that do not react to the router closing their connections would keep out the
// connection whose PING checks whether the router is ready.
func (c *clientConn) lingerTime() time.Duration {
	if c.evicting.Load() {
		return min(evictionGrace, c.srv.lingerTime)
	}
	return c.srv.lingerTime
}
