package router

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"marlstage/policy"
)

const (
	maxFleetConns     = 72     // connections to a cache over all routers: it holds 90, and a full table slows it
	minConns          = 2      // ... and one router's part of them, at least
	defaultSettleTime = 10_000 // microseconds between an answer on a connection and its next request
	maxDials          = 4      // connections to one cache that come up at a time
	maxReplySize      = maxValueSize + 4096
	maxLineLength     = 512 // bytes of a line of an answer
	maxArrayItems     = 16  // of an array
	replyItems        = 3   // of an answer: the value or receipt, how it went, the load report
)

// pool is one cache server: its connections and the attempts that wait for one.
type pool struct {
	loop           *eventLoop
	name           string
	addr           string
	startedAt      policy.Time // of its process, by the list
	inService      bool        // the list says that it may be sent new work
	conns          map[*upstreamConn]struct{}
	idle           []*upstreamConn // the one used last stands last
	dialing        int
	settleTimerSet bool // a timer is set for when a connection has rested
	maxConns       int
	queue          []*attempt // in the order of their sending
}

func newPool(l *eventLoop, name string) *pool {
	return &pool{loop: l, name: name, conns: map[*upstreamConn]struct{}{},
		maxConns: max(minConns, maxFleetConns/max(1, l.cfg.Settings.Routers))}
}

// update takes over what the list says.
func (p *pool) update(addr string, start policy.Time, up bool) {
	if addr != p.addr {
		p.addr = addr
		p.closeIdle(p.loop.now)
		for c := range p.conns {
			if c.nc == nil {
				c.close() // the danger: what waits for a connection waits for one to the old address
			}
		}
		p.loop.schedule(p.loop.now, p.dispatch)
	}
	if start = min(start, p.loop.now); start != p.startedAt {
		p.startedAt = start
		for _, c := range slices.Clone(p.idle) {
			if !c.matchesEndpoint() {
				p.closeConn(c)
			}
		}
	}
	p.inService = up
	if !up {
		// The danger: an attempt that waits for a connection is sent after the drain is known.
		for len(p.queue) > 0 {
			p.queue[0].finish(policy.NotSent, nil)
		}
		p.closeIdle(p.loop.now)
	}
}

// idleCutoff is since when a connection may have been idle at most. The danger: the cache closes it as the router
// writes, and the request may have run.
func (p *pool) idleCutoff() policy.Time { return p.loop.now - p.loop.cfg.Transport.Keepalive*3/4 }

// closeConn closes an idle connection.
func (p *pool) closeConn(c *upstreamConn) {
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	c.close()
}

// closeIdle closes the connections that have stood idle since the given time or longer.
func (p *pool) closeIdle(since policy.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince <= since {
			c.close()
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *pool) closeAll() {
	for c := range p.conns {
		c.close()
	}
}

// submit sends an attempt on an idle connection, or has it wait for one.
func (p *pool) submit(a *attempt) {
	l := p.loop
	l.schedule(a.deadline, func() { a.abandon(policy.TimedOut) })
	if a.startBefore > 0 {
		l.schedule(a.startBefore, func() { // the danger: the last byte comes when caches don't drop the repeat any more
			if a.state == attemptQueued || a.state == attemptWriting {
				a.abandon(policy.TimedOut)
			}
		})
	}
	p.queue = append(p.queue, a)
	p.dispatch()
	if a.state == attemptQueued {
		l.schedule(a.dialDeadline(), func() {
			switch {
			case a.state != attemptQueued:
			case len(p.conns) == 0:
				// No descriptor was left to ask the cache with. The danger: where there are more caches
				// than descriptors, those that were not asked pass for dead.
				a.finish(policy.NotSent, nil)
			default:
				a.finish(policy.ConnectFailed, nil)
			}
		})
	}
}

// canStart is the last look before an attempt's first byte: all may have changed while it waited.
func (p *pool) canStart(a *attempt) bool {
	r := a.request
	if r != nil && !r.done && r.client.hungUp() {
		// The danger: the news of it is still to come, and what nobody waits for is sent on. It may have left
		// before the request was read, so the time since then tells nothing.
		p.loop.clientGone(r.client)
	}
	return p.inService && p.loop.now < a.deadline && (a.startBefore == 0 || p.loop.now < a.startBefore) && (r == nil || !r.done)
}

// dispatch gives idle connections to waiting attempts, first come first served, and
// opens more where there are too few.
func (p *pool) dispatch() {
	p.closeIdle(p.idleCutoff())
	for len(p.queue) > 0 {
		a := p.queue[0]
		p.loop.now = p.loop.clock() // the danger: this turn of the loop has taken long, and time is up
		if !p.canStart(a) {
			a.finish(policy.NotSent, nil)
			continue
		}
		i := p.settledConn()
		if i < 0 {
			p.dialMissing()
			if len(p.idle) > 0 && !p.settleTimerSet {
				// One timer: the danger is that each look sets another, and under load they grow without end.
				p.settleTimerSet = true
				p.loop.schedule(p.idle[0].idleSince+p.loop.settleTime, func() {
					p.settleTimerSet = false
					p.dispatch()
				})
			}
			return
		}
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		c.writeAttempt(a)
	}
}

// settledConn is the place of the idle connection used last, of those that have rested; -1 where there is none. The
// danger: a second answer comes some milliseconds behind the first, and passes for that of the next request.
func (p *pool) settledConn() int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.sequence.Load() == 0 || c.idleSince+p.loop.settleTime <= p.loop.now {
			return i
		}
	}
	return -1
}

// release takes back a connection that is ready for the next attempt.
func (p *pool) release(c *upstreamConn) {
	if !p.inService || !c.matchesEndpoint() {
		c.close()
		return
	}
	c.idleSince = p.loop.now
	p.idle = append(p.idle, c)
	p.dispatch()
}

// dialMissing opens as many connections as there is need and room for, beside those that rest. The danger: a
// burst that dials one for each request fills the cache's table and takes its time.
func (p *pool) dialMissing() {
	for p.dialing+len(p.idle) < min(len(p.queue), maxDials) && len(p.conns) < p.maxConns && p.loop.acquireDescriptor() {
		c := &upstreamConn{pool: p, addr: p.addr}
		p.conns[c] = struct{}{}
		p.dialing++
		go c.run(p.addr, time.Duration(p.loop.cfg.Transport.DialTimeout)*time.Microsecond)
	}
}

// dialDone takes a connection that is up, or the news that it could not be had.
func (p *pool) dialDone(c *upstreamConn, nc *net.TCPConn, raw syscall.RawConn, err error) {
	switch {
	case c.closed: // meanwhile
		if nc != nil {
			nc.Close()
		}
	case err != nil:
		c.close()
		// The danger: a dial that took too long fails an attempt that came long after it.
		if len(p.queue) > 0 && (!isTimeout(err) || p.loop.now >= p.queue[0].dialDeadline()) {
			p.queue[0].finish(policy.ConnectFailed, nil)
		}
		p.dispatch()
	default:
		p.dialing--
		c.nc, c.raw, c.connectedAt = nc, raw, p.loop.now
		p.release(c)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
