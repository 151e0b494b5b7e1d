package router

import (
	"errors"
	"net"
	"time"

	"marlstage/internal/socket"
	"marlstage/policy"
)

// maxDials bounds the connections to one cache server that are being established at a time.
const maxDials = 4

// dialMissing dials as many connections as are needed and allowed, counting the idle ones that have
// not settled. A dial for each request of a burst would fill the server's connection table and cost
// it time.
func (p *pool) dialMissing() {
	for p.needsConn() && p.loop.acquireDescriptor() {
		c := &upstreamConn{pool: p, addr: p.addr}
		p.conns[c] = struct{}{}
		p.dialing++
		go c.run(p.addr, time.Duration(p.loop.cfg.Transport.DialTimeout)*time.Microsecond)
	}
}

func (p *pool) needsConn() bool {
	wanted := min(len(p.queue), maxDials)
	return p.dialing+len(p.idle) < wanted && len(p.conns) < p.maxConns
}

// dialDone takes the outcome of a dial: a connection, or an error.
func (p *pool) dialDone(c *upstreamConn, nc *socket.Conn, err error) {
	switch {
	case c.closed: // while it was being established
		if nc != nil {
			nc.Close()
		}
	case err != nil:
		p.dialFailed(c, err)
	default:
		p.dialing--
		c.nc, c.connectedAt = nc, p.loop.now
		p.release(c)
	}
}

// dialFailed fails the attempt at the head of the queue. A dial that timed out fails none that has
// time left to connect: it may have been queued long after the dial began.
func (p *pool) dialFailed(c *upstreamConn, err error) {
	c.close()
	if len(p.queue) > 0 {
		a := p.queue[0]
		if !isTimeout(err) || p.loop.now >= a.dialDeadline() {
			a.finish(policy.ConnectFailed, nil)
		}
	}
	p.dispatch()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
