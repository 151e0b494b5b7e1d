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
	// maxDials bounds the connections to one cache server that are being established at a time.
	maxDials = 4
	// minDialPause and maxDialPause are the times in microseconds without dials to a server after a
	// fault of the router's own machine. The pause doubles from one to the other.
	minDialPause = 10_000
	maxDialPause = 80_000
)

// dialFault is why dials to a server are paused.
type dialFault uint8

const (
	noDialFault  dialFault = iota
	machineFault           // the router's own machine has run out of something
	routeFault             // no route leads to the server, perhaps for a moment
)

// dialMissing dials as many connections as are needed and allowed, counting the idle ones that settle
// soon. A dial for each request of a burst would fill the server's connection table and cost
// it time.
func (p *pool) dialMissing() {
	for p.needsConn() {
		if !p.loop.acquireDescriptor() {
			p.loop.starvedPools[p] = struct{}{}
			return
		}
		c := &upstreamConn{pool: p, addr: p.addr}
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
		p.resumeDials()
		c.nc, c.connectedAt = nc, p.loop.now
		p.release(c)
	}
}

// dialFailed handles the error of a dial. One of the peer fails the attempt at the head of the queue.
// A dial that timed out fails none that has time left to connect: it may have been queued long after
// the dial began. After a fault of the router's own machine all attempts wait for further dials.
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

// failHead fails the attempt at the head of the queue, if there is one and the condition holds.
func (p *pool) failHead(condition func(*attempt) bool) {
	if len(p.queue) > 0 && condition(p.queue[0]) {
		p.queue[0].finish(policy.ConnectFailed, nil)
	}
}

// pauseDials leaves out dials for a while. The dials that fail together count once.
func (p *pool) pauseDials(fault dialFault) {
	p.dialFault = fault
	if p.loop.now < p.dialPausedUntil {
		return
	}
	p.dialPause = min(max(2*p.dialPause, minDialPause), maxDialPause)
	p.dialPausedUntil = p.loop.now + p.dialPause
	p.loop.schedule(p.dialPausedUntil, p.dispatch)
}

// resumeDials ends what pauseDials began, as the router's own machine is at no fault any more.
func (p *pool) resumeDials() {
	p.dialFault, p.dialPause, p.dialPausedUntil = noDialFault, 0, 0
}

// missingConnResult is the result of an attempt that got no connection in time.
func (p *pool) missingConnResult() policy.Result {
	// A lack of descriptors or of other resources says nothing about the server: with more servers
	// than descriptors, healthy ones would count as unreachable.
	starved := len(p.conns) == 0 && p.dialFault != routeFault
	if starved || p.dialFault == machineFault {
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// classifyDialError tells the faults of the router's own machine, as socket(2), connect(2) and
// epoll_ctl(2) list them, from errors of the peer. Those may pass in a moment.
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

// isDialTimeout reports whether a dial ended at the router's own timeout. The system has errors of
// its own that call themselves timeouts.
func isDialTimeout(err error) bool {
	var errno unix.Errno
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && !errors.As(err, &errno)
}
