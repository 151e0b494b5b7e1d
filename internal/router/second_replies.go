package router

import "marlstage/policy"

const (
	// secondReplyRetention is how long, in microseconds, a late second reply prolongs the settle time of the
	// cache's connections.
	secondReplyRetention = 60_000_000
	// maxSecondReplyLateness is the maximum time in microseconds after a reply for further bytes to count as a
	// second reply. Bytes after that are more likely a notice that the cache sends before it closes.
	maxSecondReplyLateness = 1_000_000
	// maxSettleTime is the maximum settle time in microseconds.
	maxSettleTime = 200_000
	// settleTimePerLateness is the ratio of the settle time to the longest recorded lateness.
	settleTimePerLateness = 4
)

// secondReplies records that a cache has sent a second reply to a request some time after the first. Replies carry
// no ID, so a second reply that arrives while the connection carries the next request is matched to that
// request, the reply to that request is matched to the one after it, and so on. Second replies that arrive on
// idle connections show how long the settle time has to be to prevent this.
type secondReplies struct {
	longestLateness policy.Time // longest time between a reply and the second one; 0 if there was none recently
	expiresAt       policy.Time // when longestLateness expires
}

// note records a second reply that arrived the given time after the first.
func (s *secondReplies) note(now, lateness policy.Time) {
	if lateness > maxSecondReplyLateness {
		return
	}
	s.longestLateness = max(s.current(now), lateness)
	s.expiresAt = now + secondReplyRetention
}

// current returns the longest recorded lateness, or 0 if it has expired.
func (s *secondReplies) current(now policy.Time) policy.Time {
	if now >= s.expiresAt {
		return 0
	}
	return s.longestLateness
}

// settleTime returns the settle time of the cache's connections. usual is the settle time without second
// replies.
func (s *secondReplies) settleTime(now, usual policy.Time) policy.Time {
	return max(usual, min(settleTimePerLateness*s.current(now), maxSettleTime))
}

// settleTime returns the minimum time between a reply on a connection and the next request on it.
func (p *pool) settleTime() policy.Time {
	return p.secondReplies.settleTime(p.loop.now, p.loop.settleTime)
}

// settlesSoon reports whether an idle connection has settled, or will have within the usual settle time.
func (p *pool) settlesSoon(c *upstreamConn) bool {
	return c.isNew() || c.idleSince+p.settleTime() <= p.loop.now+p.loop.settleTime
}

// noteUnsolicited counts and logs bytes from the cache that are not part of the reply to an outstanding request.
// If the connection was idle when they arrived, they are recorded as a second reply to its last request.
func (c *upstreamConn) noteUnsolicited(idle bool) {
	loop := c.pool.loop
	lateness := loop.now - c.idleSince
	if idle {
		c.pool.secondReplies.note(loop.now, lateness)
	}
	loop.statistics.unsolicited.Add(1)
	loop.logger.logFault("unsolicited bytes from a cache", "cache", c.pool.name, "after_reply", microseconds(lateness),
		"settle_time", microseconds(c.pool.settleTime()))
}

// noteUncertainReply counts and logs bytes from the cache that arrived while the process was stalled around a write:
// they may be the reply to the attempt, or a second reply to an earlier one.
func (l *eventLoop) noteUncertainReply(c *upstreamConn) {
	l.statistics.uncertainReplies.Add(1)
	l.logger.logFault("bytes from a cache while a write was stalled", "cache", c.pool.name)
}
