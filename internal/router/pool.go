package router

import (
	"slices"

	"marlstage/policy"
)

const (
	// maxConnsPerCache is the maximum number of connections that all routers together hold to one cache. A cache
	// accepts 90, and slows down when its connection table is full.
	maxConnsPerCache = 72
	// minConnsPerRouter is the lower limit of one router's share of maxConnsPerCache.
	minConnsPerRouter = 2
	// maxIdleKeepaliveQuarters is how long a connection may be idle, in quarters of the cache's keepalive time.
	maxIdleKeepaliveQuarters = 3
	// defaultSettleTime is the minimum time in microseconds between a reply on a connection and the next
	// request on it.
	defaultSettleTime = 10_000
)

// pool holds the connections to one cache and the attempts that wait for a connection to it. It is owned by
// the event loop.
type pool struct {
	loop            *eventLoop
	name            string
	addr            string
	startedAt       policy.Time // start of the cache's current incarnation, from the endpoint list
	inService       bool        // new attempts may be sent to the cache, according to the endpoint list
	conns           map[*upstreamConn]struct{}
	idle            []*upstreamConn // ordered by idleSince
	dialing         int             // connections that are being established
	settleTimerSet  bool            // a timer is set for when the first idle connection has settled
	maxConns        int
	dialFault       dialFault   // fault of the last dials on the router's own machine, if any
	dialPause       policy.Time // length of the last pause of dials; 0 if the last dial showed no such fault
	dialPausedUntil policy.Time
	queue           []*attempt    // first in, first out
	postponed       []*attempt    // attempts whose clients could not be checked for a disconnect
	secondReplies   secondReplies // second replies of the cache's current incarnation
}

func newPool(l *eventLoop, name string) *pool {
	return &pool{
		loop:     l,
		name:     name,
		conns:    map[*upstreamConn]struct{}{},
		maxConns: max(minConnsPerRouter, maxConnsPerCache/max(1, l.cfg.Settings.Routers)),
	}
}

// update applies the cache's entry in the endpoint list. startedAt is its start time by the loop's clock.
func (p *pool) update(addr string, startedAt policy.Time, inService bool) {
	if addr != p.addr {
		p.changeAddress(addr)
	}
	if startedAt != p.startedAt {
		p.startIncarnation(startedAt)
	}
	p.inService = inService
	if !inService {
		p.drain()
	}
}

// changeAddress sets a new address of the cache. It closes the connections that are idle or being dialed, so that
// the queued attempts go to the new address.
func (p *pool) changeAddress(addr string) {
	p.addr = addr
	p.closeIdle(p.loop.now)
	for c := range p.conns {
		if c.nc == nil {
			// Queued attempts must not wait for a connection to the old address.
			c.close()
		}
	}
	p.loop.schedule(p.loop.now, p.dispatch)
}

// startIncarnation sets the start time of a new incarnation of the cache and closes the idle connections to the
// previous one.
func (p *pool) startIncarnation(startedAt policy.Time) {
	p.startedAt = startedAt
	p.secondReplies = secondReplies{}
	for _, c := range slices.Clone(p.idle) {
		if !c.matchesEndpoint() {
			p.closeConn(c)
		}
	}
}

// drain ends the queued attempts and closes the idle connections. No attempt may be sent to a cache once the
// router has been notified that it is draining.
func (p *pool) drain() {
	for _, a := range slices.Concat(p.queue, p.postponed) {
		a.finish(policy.NotSent, nil)
	}
	p.closeIdle(p.loop.now)
}

// release makes a connection idle whose attempt is done, or that has just been established. It closes the
// connection if it must not carry further attempts.
func (p *pool) release(c *upstreamConn) {
	if !p.inService || !c.matchesEndpoint() {
		c.close()
		return
	}
	c.idleSince = p.loop.now
	p.setIdle(append(p.idle, c))
	p.dispatch()
}

// setIdle sets the idle connections and updates the loop's set of pools that have any.
func (p *pool) setIdle(conns []*upstreamConn) {
	p.idle = conns
	if len(conns) > 0 {
		p.loop.idlePools[p] = struct{}{}
	} else {
		delete(p.loop.idlePools, p)
	}
}

// returnUnused makes a connection idle again that was taken by takeSettledConn and to which nothing was written.
func (p *pool) returnUnused(c *upstreamConn) {
	later := func(other *upstreamConn) bool { return other.idleSince > c.idleSince }
	if i := slices.IndexFunc(p.idle, later); i >= 0 {
		p.setIdle(slices.Insert(p.idle, i, c))
		return
	}
	p.setIdle(append(p.idle, c))
}

// takeSettledConn removes and returns the most recently used of the idle connections that have settled, or
// returns nil if none has. A faulty cache may send a second reply some milliseconds after the first one. The
// settle time prevents such a reply from being matched to the next request on the connection.
func (p *pool) takeSettledConn() *upstreamConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.isNew() || c.idleSince+p.settleTime() <= p.loop.now {
			p.setIdle(slices.Delete(p.idle, i, i+1))
			return c
		}
	}
	return nil
}

// idleCutoff returns the time for closeIdle that keeps connections from reaching the cache's own idle limit. If
// the cache closed a connection while a request is written to it, it would be unknown whether the request was
// executed.
func (p *pool) idleCutoff() policy.Time {
	return p.loop.now - p.loop.cfg.Transport.Keepalive*maxIdleKeepaliveQuarters/4
}

// closeIdle closes the connections that became idle at or before the given time.
func (p *pool) closeIdle(since policy.Time) {
	if len(p.idle) == 0 || p.idle[0].idleSince > since {
		return
	}
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince <= since {
			c.close()
		} else {
			remaining = append(remaining, c)
		}
	}
	clear(p.idle[len(remaining):])
	p.setIdle(remaining)
}

// closeConn closes a connection and removes it from the idle ones if it is among them.
func (p *pool) closeConn(c *upstreamConn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.setIdle(slices.Delete(p.idle, i, i+1))
	}
	c.close()
}

func (p *pool) closeAll() {
	for c := range p.conns {
		c.close()
	}
}
