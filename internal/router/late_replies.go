package router

import "marlstage/policy"

const (
	// lateReplyMemory is how long, in microseconds, the connections to a server rest longer that has
	// sent a late second reply.
	lateReplyMemory = 60_000_000
	// maxReplyLateness is the time in microseconds after a reply up to which further bytes count as a
	// late second one. What comes later is more likely a notice before the server closes.
	maxReplyLateness = 1_000_000
	// maxSettleTime bounds the settle time in microseconds of a server's connections.
	maxSettleTime = 200_000
	// settlePerLateness is the settle time over the longest lateness seen.
	settlePerLateness = 4
)

// lateReplies remembers that a server has replied twice to a request, the second time after a while.
// Replies carry no id, so a second one that arrives when the connection carries the next request is
// taken for the reply to that; and the reply to that for the one to the request after it, and so on. The
// second replies that reach a connection at rest show how long the others have to rest.
type lateReplies struct {
	longest policy.Time // time between a reply and the second one; 0 if there was none lately
	until   policy.Time // when it is forgotten
}

// note takes a second reply.
func (l *lateReplies) note(now, lateness policy.Time) {
	if lateness > maxReplyLateness {
		return
	}
	l.longest = max(l.current(now), lateness)
	l.until = now + lateReplyMemory
}

func (l *lateReplies) current(now policy.Time) policy.Time {
	if now >= l.until {
		return 0
	}
	return l.longest
}

// settleTime returns how long a connection has to rest after a reply, where it rests for the given time
// if the server has sent no second replies.
func (l *lateReplies) settleTime(now, usual policy.Time) policy.Time {
	return max(usual, min(settlePerLateness*l.current(now), maxSettleTime))
}

// settleTime is the time between a reply on a connection and the next request on it.
func (p *pool) settleTime() policy.Time {
	return p.lateReplies.settleTime(p.loop.now, p.loop.settleTime)
}

// settlesSoon reports whether an idle connection can carry a request, or can after the usual settle time.
func (p *pool) settlesSoon(c *upstreamConn) bool {
	return c.isNew() || c.idleSince+p.settleTime() <= p.loop.now+p.loop.settleTime
}

// noteUnsolicited counts and logs bytes of the server that no request has asked for. If the connection
// was at rest when they arrived, they are a second reply to its last request.
func (c *upstreamConn) noteUnsolicited(atRest bool) {
	loop := c.pool.loop
	lateness := loop.now - c.idleSince
	if atRest {
		c.pool.lateReplies.note(loop.now, lateness)
	}
	loop.statistics.unsolicited.Add(1)
	loop.logger.fault("unsolicited bytes from a cache", "cache", c.pool.name, "after_reply", microseconds(lateness),
		"settle_time", microseconds(c.pool.settleTime()))
}
