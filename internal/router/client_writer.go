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
	// writeTimeout is the timeout of writing a batch of replies to a client that does not read.
	writeTimeout = 5 * time.Second
	// writeRetryInterval is the time after which a blocked write is tried again.
	writeRetryInterval = 100 * time.Millisecond
	// maxRejectionBatch is the maximum number of rejections in one write.
	maxRejectionBatch = 512
	// maxReplyBatch is the size in bytes from which on no further replies are added to a batch.
	maxReplyBatch = 16 << 10
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
		batch := c.collectReplies(slot)
		connected = connected && c.writeReply(batch.encoded)
		c.srv.memory.release(batch.charge)
		c.repliesDone(batch.replies)
	}
	// A connection on which nothing was answered is closed immediately: lingering would occupy a
	// descriptor that a queued connection needs. A request that has just arrived on it is still unread.
	if connected && answered {
		c.linger()
	}
	c.nc.Close()
	c.srv.removeClient(c)
}

// replyBatch holds replies that are written with one call.
type replyBatch struct {
	encoded []byte // encoded replies; nil if the last slot got no reply
	charge  int64  // bytes of the memory budget held by the replies and their requests
	replies int    // number of slots in the batch
}

// collectReplies waits for the reply of a slot and appends the following replies that are already available.
func (c *clientConn) collectReplies(slot *replySlot) replyBatch {
	// Clip makes append copy the reply, as its backing array may be shared.
	batch := replyBatch{encoded: slices.Clip(c.awaitReply(slot)), replies: 1}
	batch.charge = slot.charge + int64(len(batch.encoded))
	for batch.encoded != nil && len(batch.encoded) < maxReplyBatch {
		slot = c.replies.takeReady()
		if slot == nil {
			break
		}
		reply := <-slot.reply
		batch.charge += slot.charge + int64(len(reply))
		batch.replies++
		if reply == nil {
			_ = c.writeReply(batch.encoded) // the connection is closed after these replies
			batch.encoded = nil
			break
		}
		batch.encoded = append(batch.encoded, reply...)
	}
	return batch
}

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

// writeRejections writes a rejection for each of the given number of commands and reports whether the client
// is still connected.
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

// writeAll writes all bytes within writeTimeout. It retries at a fixed interval instead of relying on the
// socket to become writable, since no such event follows a write that failed for lack of memory.
func (c *clientConn) writeAll(b []byte) error {
	deadline := time.Now().Add(writeTimeout)
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
