package router

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	// maxDials is the maximum number of connections to one cache that are being dialed at a time.
	maxDials = 4
	// minDialPause and maxDialPause are the shortest and longest time in microseconds for which dials to a
	// cache are paused after a fault of the router's own machine. The pause doubles with each further fault.
	minDialPause = 10_000
	maxDialPause = 80_000
)

// dialFault is the reason why dials to a cache are paused.
type dialFault uint8

const (
	noDialFault  dialFault = iota
	machineFault           // the router's own machine lacks a resource
	routeFault             // there is no route to the cache, perhaps only briefly
)

// dialNeededConns dials as many connections as are needed and allowed. Idle connections that settle soon count as
// available: a dial for each request of a burst would fill the cache's connection table and cost it time.
func (p *pool) dialNeededConns() {
	for p.needsConn() {
		if !p.loop.acquireDescriptor() {
			p.loop.starvedPools[p] = struct{}{}
			return
		}
		c := newUpstreamConn(p)
		p.conns[c] = struct{}{}
		p.dialing++
		go c.run(p.addr, time.Duration(p.loop.cfg.Transport.DialTimeout)*time.Microsecond)
	}
}

func (p *pool) needsConn() bool {
	if p.loop.now < p.dialPausedUntil {
		return false
	}
	available := p.dialing
	for _, c := range p.idle {
		if p.settlesSoon(c) {
			available++
		}
	}
	return available < min(len(p.queue), maxDials) && len(p.conns) < p.maxConns
}

// dialDone handles the outcome of a dial: a connection or an error.
func (p *pool) dialDone(c *upstreamConn, nc *socket.Conn, err error) {
	switch {
	case c.closed: // closed while it was being dialed
		if nc != nil {
			nc.Close()
		}
	case err != nil:
		p.dialFailed(c, err)
	default:
		p.dialing--
		p.resumeDials()
		c.nc, c.connectedAt = nc, p.loop.now
		p.release(c)
	}
}

// dialFailed handles the error of a dial:
//
//   - After a fault of the router's own machine, dials are paused and all attempts stay queued.
//   - After a timeout, the attempt at the head of the queue fails only if its dial deadline has passed, because
//     it may have been queued long after the dial began.
//   - After any other error, which the peer has caused, the attempt at the head of the queue fails.
func (p *pool) dialFailed(c *upstreamConn, err error) {
	c.close()
	switch fault := classifyDialError(err); {
	case fault != noDialFault:
		p.pauseDials(fault)
	case isDialTimeout(err):
		p.resumeDials()
		p.failHead(func(a *attempt) bool { return p.loop.now >= a.dialDeadline() })
	default:
		p.resumeDials()
		p.failHead(func(*attempt) bool { return true })
	}
	p.dispatch()
}

// failHead fails the attempt at the head of the queue if there is one and it meets the condition.
func (p *pool) failHead(condition func(*attempt) bool) {
	if len(p.queue) > 0 && condition(p.queue[0]) {
		p.queue[0].finish(policy.ConnectFailed, nil)
	}
}

// pauseDials pauses dials after a fault. Errors of dials during a pause do not extend it: dials that fail
// together count once.
func (p *pool) pauseDials(fault dialFault) {
	p.dialFault = fault
	if p.loop.now < p.dialPausedUntil {
		return
	}
	p.dialPause = min(max(2*p.dialPause, minDialPause), maxDialPause)
	p.dialPausedUntil = p.loop.now + p.dialPause
	p.loop.schedule(p.dialPausedUntil, p.dispatch)
}

// resumeDials ends a pause of dials and resets its length. It is called when the outcome of a dial shows that
// the router's own machine is not at fault.
func (p *pool) resumeDials() {
	p.dialFault, p.dialPause, p.dialPausedUntil = noDialFault, 0, 0
}

// missingConnResult returns the result of an attempt that got no connection in time.
func (p *pool) missingConnResult() policy.Result {
	// A lack of descriptors or other local resources says nothing about the cache. If there are more caches
	// than descriptors, healthy caches would otherwise count as unreachable.
	starved := len(p.conns) == 0 && p.dialFault != routeFault
	if starved || p.dialFault == machineFault {
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// classifyDialError distinguishes faults of the router's own machine, as documented for socket(2), connect(2)
// and epoll_ctl(2), from errors that the peer causes. The former may be transient.
func classifyDialError(err error) dialFault {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return noDialFault
	}
	switch errno {
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
		unix.EAGAIN, unix.EINTR, unix.ECONNABORTED, unix.ENOSPC:
		return machineFault
	case unix.ENETUNREACH, unix.ENETDOWN:
		return routeFault
	default:
		return noDialFault
	}
}

// isDialTimeout reports whether a dial ended at the router's own timeout. Some system errors, such as
// ETIMEDOUT, also report themselves as timeouts and do not count.
func isDialTimeout(err error) bool {
	var errno unix.Errno
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.As(err, &errno)
}
