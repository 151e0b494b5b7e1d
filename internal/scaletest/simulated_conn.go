package scaletest

// This file implements simulated connections to cache servers.

import (
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// pingTime is the time that a simulated cache server takes to answer a health check.
const pingTime = 100 * time.Microsecond

// mirrorQueueSize is the number of messages that may wait for one mirror. Further ones are dropped and
// counted as failures.
const mirrorQueueSize = 64

// simulatedConn is a simulated connection of a hollow router to a cache server. It sends nothing itself;
// its mirrors, if any, send its messages on sockets.
type simulatedConn struct {
	pool      *pool
	idleSince policy.Time
	attempt   *attempt // waiting for its reply; nil if there is none
	closed    bool
	mirrors   []chan mirroredMessage // one for each mirror
}

// startMirrors starts a mirror for the router itself and for each router that it represents.
func (c *simulatedConn) startMirrors() {
	f := c.pool.router.fleet
	for _, delay := range c.pool.router.mirrorDelays {
		messages := make(chan mirroredMessage, mirrorQueueSize)
		c.mirrors = append(c.mirrors, messages)
		openedAt := time.Now()
		f.mirrors.Go(func() { f.mirror(c.pool.addr, openedAt, delay, messages) })
	}
}

// send sends an attempt and schedules its reply after the simulated service time.
func (c *simulatedConn) send(a *attempt) {
	p, h := c.pool, c.pool.router
	c.attempt, a.conn = a, c
	message := mirroredMessage{sentAt: time.Now(), healthCheck: a.isHealthCheck()}
	elapsed, miss := pingTime, false
	if a.isHealthCheck() {
		p.stats.HealthChecks++
		message.bytes = resp.AppendPing(nil)
	} else {
		p.stats.Attempts++
		elapsed, miss = serviceTime()
		if p.connected {
			message.bytes = a.command(h.now)
		}
	}
	c.mirrorMessage(message)
	h.scheduleAt(h.now+elapsed.Microseconds(), func() {
		if c.attempt == a {
			a.finish(policy.Served, miss)
			p.release(c)
		}
	})
}

func (c *simulatedConn) mirrorMessage(message mirroredMessage) {
	f := c.pool.router.fleet
	for _, messages := range c.mirrors {
		select {
		case messages <- message:
		default:
			f.withLock(func() { f.mirrorFailures++ })
		}
	}
}

func (c *simulatedConn) close() {
	c.closed = true
	for _, messages := range c.mirrors {
		close(messages)
	}
	c.pool.stats.OpenConns--
	c.pool.router.releaseDescriptor()
}
