package scaletest

// This file implements a hollow router's connection pool for one cache server.

import (
	"slices"

	"marlstage/policy"
)

// The bounds of a router's connections to one cache server, as in package router: its part of what
// all routers may have there, and at least so many.
const (
	maxFleetConns = 72
	minConns      = 2
)

// settleTime is the time between a reply on a connection and its next request, as in package
// router.
const settleTime = 10_000 // microseconds

// pool is the connections of one hollow router to one cache server, kept as a router keeps them. A
// connection comes up at once. The cache server's part is simulated here; where it is connected,
// sockets repeat what the connections carry.
type pool struct {
	router           *hollowRouter
	position         int // of the cache server on the endpoint list
	name, addr       string
	connected        bool // whether sockets are opened to the cache server
	inService        bool // whether the endpoint list allows new work
	settleTimerArmed bool
	maxConns         int
	idle             []*simulatedConn // the most recently used one last
	waiting          []*attempt       // for a connection
	count            CacheCount
}

func newPool(h *hollowRouter, position int, name, addr string) *pool {
	return &pool{
		router:    h,
		position:  position,
		name:      name,
		addr:      addr,
		inService: true,
		maxConns:  max(minConns, maxFleetConns/max(1, h.fleet.settings.Routers)),
	}
}

// send sends an attempt as soon as there is a connection for it.
func (p *pool) send(a *attempt) {
	h := p.router
	h.outstandingAttempts++
	h.scheduleAt(a.deadline, func() { a.giveUp(policy.TimedOut) })
	p.waiting = append(p.waiting, a)
	p.dispatch()
	if a.conn == nil && !a.done {
		h.scheduleAt(a.startedAt+h.fleet.transport.DialTimeout, func() { p.dialTimedOut(a) })
	}
}

// dialTimedOut ends an attempt that still waits for a connection.
func (p *pool) dialTimedOut(a *attempt) {
	switch {
	case a.conn != nil:
	case p.count.OpenConns == 0:
		a.finish(policy.NotSent, false) // no descriptor was left, so nothing was dialed
	default:
		a.finish(policy.ConnectFailed, false)
	}
}

// dispatch gives connections to the attempts that wait for one.
func (p *pool) dispatch() {
	h := p.router
	p.closeIdle(h.now - p.idleCutoff())
	if !p.inService {
		p.closeIdle(h.now)
	}
	for len(p.waiting) > 0 {
		a := p.waiting[0]
		if !p.inService || a.expired(h.now) {
			a.finish(policy.NotSent, false)
			continue
		}
		c := p.acquire()
		if c == nil {
			return
		}
		p.waiting = p.waiting[1:]
		c.carry(a)
	}
}

// idleCutoff is how long a connection may be idle. The cache server closes it only later, so that no
// request meets a connection on its way down.
func (p *pool) idleCutoff() policy.Time { return p.router.fleet.transport.Keepalive * 3 / 4 }

// acquire returns the settled connection that was used last, or a new one, or nil.
func (p *pool) acquire() *simulatedConn {
	if c := p.takeSettled(); c != nil {
		return c
	}
	// Each idle connection settles soon, and then serves one of those that wait.
	mayOpen := len(p.idle) < len(p.waiting) && p.count.OpenConns < int64(p.maxConns)
	if mayOpen && p.router.takeDescriptor() {
		return p.open()
	}
	p.armSettleTimer()
	return nil
}

func (p *pool) takeSettled() *simulatedConn {
	for i, c := range slices.Backward(p.idle) {
		if c.idleSince+settleTime <= p.router.now {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) open() *simulatedConn {
	p.count.OpenConns++
	p.count.Handshakes++
	c := &simulatedConn{pool: p}
	if p.connected {
		c.startMirrors()
	}
	return c
}

// armSettleTimer dispatches again when the connection that was idle first has settled.
func (p *pool) armSettleTimer() {
	if len(p.idle) == 0 || p.settleTimerArmed {
		return
	}
	p.settleTimerArmed = true
	p.router.scheduleAt(p.idle[0].idleSince+settleTime, func() {
		p.settleTimerArmed = false
		p.dispatch()
	})
}

// release takes back a connection that has had its reply.
func (p *pool) release(c *simulatedConn) {
	c.idleSince = p.router.now
	p.idle = append(p.idle, c)
	p.dispatch()
}

// closeIdle closes the connections that have been idle since a time or longer.
func (p *pool) closeIdle(since policy.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *simulatedConn) bool {
		if c.idleSince <= since {
			c.close()
		}
		return c.closed
	})
}
