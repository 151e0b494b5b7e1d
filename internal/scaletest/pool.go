package scaletest

// This file implements a hollow router's connection pool for one cache server.

import (
	"slices"

	"marlstage/policy"
)

// The limit of a router's connections to one cache server, as in package router: an equal share of
// maxFleetConns, which is the limit of all routers together, but at least minConns.
const (
	maxFleetConns = 72
	minConns      = 2
)

// settleTime is the minimum time between a reply on a connection and its next command, as in package
// router.
const settleTime = 10_000 // microseconds

// pool manages the connections of one hollow router to one cache server as a router does. The connections
// and the replies are simulated, and a connection is established at once. If the pool is connected,
// sockets repeat the traffic of its connections.
type pool struct {
	router           *hollowRouter
	position         int // of the cache server on the endpoint list
	name, addr       string
	connected        bool // whether sockets are opened to the cache server
	inService        bool // whether the cache server is in service by the endpoint list
	settleTimerArmed bool
	maxConns         int
	idle             []*simulatedConn // in order of last use, the most recent last
	waiting          []*attempt       // attempts that wait for a connection
	stats            CacheStats
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

// send sends an attempt as soon as a connection is available.
func (p *pool) send(a *attempt) {
	h := p.router
	h.outstandingAttempts++
	h.scheduleAt(a.deadline, func() { a.abandon(policy.TimedOut) })
	p.waiting = append(p.waiting, a)
	p.dispatch()
	if a.conn == nil && !a.done {
		h.scheduleAt(a.startedAt+h.fleet.transport.DialTimeout, func() { p.dialTimedOut(a) })
	}
}

// dialTimedOut ends an attempt if it still waits for a connection after the dial timeout.
func (p *pool) dialTimedOut(a *attempt) {
	switch {
	case a.conn != nil:
	case p.stats.OpenConns == 0:
		a.finish(policy.NotSent, false) // no descriptor was available, so no connection was attempted
	default:
		a.finish(policy.ConnectFailed, false)
	}
}

// dispatch assigns connections to the waiting attempts and closes connections that were idle for too long.
// If the cache server is out of service, it closes all idle connections and ends the waiting attempts.
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
		c.send(a)
	}
}

// idleCutoff returns the time after which an idle connection is closed. It is shorter than the keepalive
// of the cache server, so that no request is sent on a connection that the cache server is closing.
func (p *pool) idleCutoff() policy.Time { return p.router.fleet.transport.Keepalive * 3 / 4 }

// acquire returns the most recently used settled connection or else a new one. It returns nil if the
// attempt has to wait.
func (p *pool) acquire() *simulatedConn {
	if c := p.takeSettled(); c != nil {
		return c
	}
	// Each idle connection settles soon and then serves one of the waiting attempts, so a new one is
	// opened only if more attempts wait than connections are idle.
	mayOpen := len(p.idle) < len(p.waiting) && p.stats.OpenConns < int64(p.maxConns)
	if mayOpen && p.router.acquireDescriptor() {
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
	p.stats.OpenConns++
	p.stats.Handshakes++
	c := &simulatedConn{pool: p}
	if p.connected {
		c.startMirrors()
	}
	return c
}

// armSettleTimer schedules a dispatch for the time when the longest idle connection has settled.
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

// release returns a connection to the pool after its reply.
func (p *pool) release(c *simulatedConn) {
	c.idleSince = p.router.now
	p.idle = append(p.idle, c)
	p.dispatch()
}

// closeIdle closes the connections that became idle at or before the given time.
func (p *pool) closeIdle(since policy.Time) {
	p.idle = slices.DeleteFunc(p.idle, func(c *simulatedConn) bool {
		if c.idleSince <= since {
			c.close()
		}
		return c.closed
	})
}
