package router

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"time"

	"marlstage/internal/resp"
)

const (
	writeTimeout       = 5 * time.Second        // for a reply to a client that does not read
	writeRetryInterval = 100 * time.Millisecond // between attempts to write to a socket that took nothing
	maxRejectionBatch  = 512                    // rejections that are written at once
	maxReplyBatch      = 16 << 10               // bytes of replies to which no more is added
	lingerTime         = time.Second            // for a client to read the last reply before its connection is closed
)

// writeLoop sends the replies in the order of the commands and then closes the connection.
func (c *clientConn) writeLoop() {
	defer c.srv.wg.Done()
	connected, answered := true, false
	for slot := c.replies.next(); slot != nil; slot = c.replies.next() {
		if c.awaitsRoom.Load() {
			c.interruptRead()
		}
		answered = answered || connected
		if slot.rejected > 0 {
			connected = connected && c.writeRejections(slot.rejected)
			c.repliesDone(slot.rejected)
			continue
		}
		batch := c.collectReplies(slot)
		connected = connected && c.writeReply(batch.wire)
		c.srv.memory.release(batch.charge)
		c.repliesDone(batch.replies)
	}
	// Connections that were never answered are closed at once: while they linger, they occupy
	// descriptors that queued connections need. A request that has just arrived is unread.
	if connected && answered {
		c.linger()
	}
	c.nc.Close()
	c.srv.removeClient(c)
}

// replyBatch holds replies that are written at once.
type replyBatch struct {
	wire    []byte // nil stands for no reply
	charge  int64  // bytes of the memory budget
	replies int
}

// collectReplies waits for the reply of a slot and adds those behind it that are there.
func (c *clientConn) collectReplies(slot *replySlot) replyBatch {
	// What is added must not be written behind the reply in memory that others use.
	batch := replyBatch{wire: slices.Clip(c.awaitReply(slot)), replies: 1}
	batch.charge = slot.charge + int64(len(batch.wire))
	for batch.wire != nil && len(batch.wire) < maxReplyBatch {
		slot = c.replies.takeReady()
		if slot == nil {
			break
		}
		reply := <-slot.reply
		batch.charge += slot.charge + int64(len(reply))
		batch.replies++
		if reply == nil {
			_ = c.writeReply(batch.wire) // the connection ends behind it
			batch.wire = nil
			break
		}
		batch.wire = append(batch.wire, reply...)
	}
	return batch
}

// awaitReply returns the reply of a slot. It is nil if the client is gone or the event loop has
// ended without one.
func (c *clientConn) awaitReply(slot *replySlot) []byte {
	select {
	case reply := <-slot.reply:
		return reply
	case <-c.srv.loop.done:
	}
	select {
	case reply := <-slot.reply: // the loop's last one
		return reply
	default:
		return nil
	}
}

// writeReply sends a reply and reports whether the client is still connected. Without a reply, or
// if it cannot be sent, it closes the connection; the reader then reports the client as gone.
func (c *clientConn) writeReply(reply []byte) bool {
	if reply != nil && c.writeAll(reply) == nil {
		return true
	}
	c.nc.Close()
	return false
}

// writeRejections rejects so many commands and reports whether the client is still connected.
func (c *clientConn) writeRejections(commands int) bool {
	for commands > 0 {
		batch := min(commands, maxRejectionBatch)
		if !c.writeReply(bytes.Repeat([]byte(resp.BusyReply), batch)) {
			return false
		}
		commands -= batch
	}
	return true
}

// writeAll writes all bytes within the timeout. It does not rely on the event that a socket has room
// again, as there is none where a write was refused for want of memory.
func (c *clientConn) writeAll(b []byte) error {
	timeout := time.Now().Add(writeTimeout)
	for {
		c.nc.SetWriteDeadline(time.Now().Add(writeRetryInterval))
		n, err := c.nc.Write(b)
		b = b[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(timeout) {
			return err
		}
	}
}

// repliesDone notes that so many replies are written. If the connection is to be closed and no other
// reply is due, it interrupts the reader.
func (c *clientConn) repliesDone(replies int) {
	c.lastReplyAt.Store(c.srv.loop.clock())
	if c.pendingReplies.Add(-int64(replies)) == 0 && c.draining.Load() {
		c.interruptRead()
	}
}

// linger lets the client read the last reply. Closing a connection while bytes are unread or still
// arrive, of an oversized command or of a request that crosses the close, resets it, and replies
// that are not acknowledged would be lost.
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
	<-c.readEnded
}

// lingerWait is how long to wait before lingerOver is asked again.
func (c *clientConn) lingerWait() time.Duration {
	remaining := time.Duration(c.lingerEnd.Load()-c.srv.loop.clock()) * time.Microsecond
	return max(remaining, hangupCheckInterval)
}

// lingerOver reports whether the client has had the time to read the last reply.
func (c *clientConn) lingerOver() bool {
	now := c.srv.loop.clock()
	switch {
	case !c.lingering.Load() || now < c.lingerEnd.Load():
		return false
	case now >= c.lingerLimit.Load():
		return true
	}
	return !c.nc.MayHaveUnacknowledged()
}

// lingerTime is shorter on a connection that is evicted. Otherwise many clients that ignore the
// router's end of their connections would shut out the PING that checks whether it is ready.
func (c *clientConn) lingerTime() time.Duration {
	if c.evicting.Load() {
		return min(evictGrace, c.srv.lingerTime)
	}
	return c.srv.lingerTime
}
