package router

import (
	"slices"

	"marlstage/policy"
)

const (
	// maxFleetConns bounds the connections of all routers together to one cache server. It accepts
	// 90, and slows down when its connection table is full.
	maxFleetConns = 72
	// minConns is the least that one router may take of them.
	minConns = 2
	// maxIdleQuarters is how long a connection may be idle, in quarters of the server's keepalive.
	maxIdleQuarters = 3
	// defaultSettleTime is the time in microseconds between a reply on a connection and the next
	// request on it.
	defaultSettleTime = 10_000
)

// pool holds the connections to one cache server and the attempts that are queued for one. All of
// it belongs to the event loop.
type pool struct {
	loop            *eventLoop
	name            string
	addr            string
	startedAt       policy.Time // start of the server's incarnation, by the endpoint list
	inService       bool        // by the endpoint list, new requests may be sent to the server
	conns           map[*upstreamConn]struct{}
	idle            []*upstreamConn // in the order of their last use
	dialing         int             // connections that are being established
	settleTimerSet  bool            // a timer is set for when an idle connection has settled
	maxConns        int
	dialFault       dialFault   // of the last dials, if the router's own machine was at fault
	dialPause       policy.Time // length of the last pause of dials
	dialPausedUntil policy.Time
	queue           []*attempt  // first in, first out
	postponed       []*attempt  // of clients of which it can't be told for a moment whether they are connected
	lateReplies     lateReplies // of the server's present incarnation
}

func newPool(l *eventLoop, name string) *pool {
	return &pool{
		loop:     l,
		name:     name,
		conns:    map[*upstreamConn]struct{}{},
		maxConns: max(minConns, maxFleetConns/max(1, l.cfg.Settings.Routers)),
	}
}

// update applies the server's entry in the endpoint list, with its start time by the loop's clock.
func (p *pool) update(addr string, startedAt policy.Time, inService bool) {
	if addr != p.addr {
		p.move(addr)
	}
	if startedAt != p.startedAt {
		p.restart(startedAt)
	}
	p.inService = inService
	if !inService {
		p.drain()
	}
}

// move closes the connections that carry no attempt and redirects the queued attempts to the new
// address.
func (p *pool) move(addr string) {
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

// restart closes the idle connections to the server's earlier incarnation.
func (p *pool) restart(startedAt policy.Time) {
	p.startedAt = startedAt
	p.lateReplies = lateReplies{}
	for _, c := range slices.Clone(p.idle) {
		if !c.matchesEndpoint() {
			p.closeConn(c)
		}
	}
}

// drain ends the queued attempts, as none may be sent once the router knows that the server is
// draining, and closes the idle connections.
func (p *pool) drain() {
	for _, a := range slices.Concat(p.queue, p.postponed) {
		a.finish(policy.NotSent, nil)
	}
	p.closeIdle(p.loop.now)
}

// release takes back a connection that is ready for the next attempt.
func (p *pool) release(c *upstreamConn) {
	if !p.inService || !c.matchesEndpoint() {
		c.close()
		return
	}
	c.idleSince = p.loop.now
	p.setIdle(append(p.idle, c))
	p.dispatch()
}

// setIdle sets the idle connections.
func (p *pool) setIdle(conns []*upstreamConn) {
	p.idle = conns
	if len(conns) > 0 {
		p.loop.idlePools[p] = struct{}{}
	} else {
		delete(p.loop.idlePools, p)
	}
}

// returnUnused takes back a connection to which nothing was written.
func (p *pool) returnUnused(c *upstreamConn) {
	later := func(other *upstreamConn) bool { return other.idleSince > c.idleSince }
	if i := slices.IndexFunc(p.idle, later); i >= 0 {
		p.setIdle(slices.Insert(p.idle, i, c))
		return
	}
	p.setIdle(append(p.idle, c))
}

// takeSettledConn removes the connection used last from the idle ones that have settled and returns
// it, or nil if none has. A faulty server may send a second reply some milliseconds after the first
// one; the settle time keeps it from being taken for the reply to the next request.
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

// idleCutoff is the time since which a connection may have been idle at most. It precedes the
// server's own limit: a server that closes a connection as a request is written to it leaves open
// whether the request was executed.
func (p *pool) idleCutoff() policy.Time {
	return p.loop.now - p.loop.cfg.Transport.Keepalive*maxIdleQuarters/4
}

// closeIdle closes the connections that have been idle since the given time or longer.
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

// closeConn closes a connection that may be idle.
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
