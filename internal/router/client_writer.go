package router

import (
	"time"
)

// writeLoop sends the answers in the order of the commands.
func (c *clientConn) writeLoop() {
	defer c.srv.wg.Done()
	gone, answered := false, false
	for s := range c.replies {
		var b []byte
		select {
		case b = <-s.reply:
		case <-c.srv.loop.done:
		}
		if !gone {
			if b == nil {
				gone = true
			} else {
				c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
				_, err := c.nc.Write(b)
				gone, answered = err != nil, true
			}
			if gone {
				c.nc.Close() // its reader notes that the client is gone
			}
		}
		s.memory.release(s.charge + int64(len(b)))
		c.lastReplyAt.Store(c.srv.loop.clock())
		if c.pendingReplies.Add(-1) == 0 && c.draining.Load() {
			c.nc.SetReadDeadline(time.Now())
		}
	}
	// The danger: idle connections that were never answered hold their descriptors while others queue.
	if !gone && (answered || c.hasUnread()) {
		c.linger()
	}
	c.nc.Close()
	c.srv.mu.Lock()
	delete(c.srv.clients, c)
	c.srv.mu.Unlock()
	c.srv.descriptors.releaseClient()
}

// linger lets the client read the last answer. The danger: closing while bytes still come, of an oversized
// command or of a request that crosses the close, resets the connection, and the answer is lost with it.
func (c *clientConn) linger() {
	rested := c.srv.loop.clock()-c.lastReplyAt.Load() > c.srv.lingerTime.Microseconds()
	if rested && !c.hasUnread() && !c.hasUnacknowledged() || c.nc.CloseWrite() != nil {
		return
	}
	c.lingering.Store(true)
	c.nc.SetReadDeadline(time.Now().Add(c.lingerTime()))
	<-c.readEnded
}

// lingerTime is short where others wait for room. The danger: a crowd that does not heed the router's end of
// its connections shuts out the PING that tells whether the router is ready.
func (c *clientConn) lingerTime() time.Duration {
	if c.evicting.Load() {
		return min(evictGrace, c.srv.lingerTime)
	}
	return c.srv.lingerTime
}
