package router

import (
	"sync"
	"sync/atomic"
	"time"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

// upstreamConn is a connection to a cache. It carries one attempt at a time, because a cache replies in the
// order of the requests, and a fast reply must not wait for a slow one.
//
// Its reader runs in a goroutine of its own. The fields above mu are owned by the event loop, except pool, which
// does not change.
type upstreamConn struct {
	pool        *pool
	addr        string
	nc          *socket.Conn // nil until the connection is established
	connectedAt policy.Time
	attempt     *attempt     // attempt that it carries; nil if none
	write       commandWrite // progress of that attempt while it is partly written
	idleSince   policy.Time
	closed      bool
	writing     memoryHold // the command while it is partly written
	reading     memoryHold // the reader's buffer

	// mu is held by the reader while it reads from the socket and records what has arrived, and by the
	// loop while it checks that nothing has arrived and writes.
	mu              sync.Mutex
	attemptsWritten atomic.Uint32 // number of attempts completely written to the connection
	replyStarted    atomic.Bool   // part of the next reply has been read
	ended           atomic.Bool   // the connection is closed; any goroutine may read it
}

// newUpstreamConn returns a connection to the pool's current address that has not been established.
func newUpstreamConn(p *pool) *upstreamConn {
	return &upstreamConn{
		pool:    p,
		addr:    p.addr,
		writing: memoryHold{budget: p.loop.memory, use: memoryUpstreamWrites},
		reading: memoryHold{budget: p.loop.memory, use: memoryUpstreamReplies},
	}
}

// isNew reports whether no attempt has been completely written to the connection yet.
func (c *upstreamConn) isNew() bool { return c.attemptsWritten.Load() == 0 }

// matchesEndpoint reports whether the connection was made to the address and the incarnation of the cache in
// the current endpoint list.
func (c *upstreamConn) matchesEndpoint() bool {
	return c.addr == c.pool.addr && c.connectedAt >= c.pool.startedAt
}

// run dials the connection and then reads replies until it ends. It runs in its own goroutine.
func (c *upstreamConn) run(addr string, timeout time.Duration) {
	loop := c.pool.loop
	nc, err := socket.Dial(loop.system, addr, timeout)
	loop.post(func() { c.pool.dialDone(c, nc, err) })
	if err != nil {
		return
	}
	defer nc.Close()
	in := &replyReader{conn: c, nc: nc}
	replies := resp.NewReplyReader(in, upstreamMemory{c})
	defer replies.Close()
	for {
		reply, err := replies.Next()
		if err != nil {
			loop.post(c.connectionLost)
			return
		}
		hold := c.reading.split(int64(reply.Memory))
		// No request is outstanding for bytes that follow a reply, so the connection is out of sync.
		inSync := replies.Buffered() == 0
		attemptsWritten := in.attemptsWritten
		in.attemptsWritten = 0
		c.replyStarted.Store(false)
		loop.postDiscardable(func() { c.replyReceived(reply, hold, attemptsWritten, inSync) }, hold.release)
	}
}

// replyReceived handles a reply, for whose value memory is held. attemptsWritten is the number of attempts that had been completely written when
// the first bytes of the reply arrived. inSync is false if more bytes arrived together with the end of the reply.
func (c *upstreamConn) replyReceived(reply *resp.Reply, hold *memoryHold, attemptsWritten uint32, inSync bool) {
	defer hold.release() // unless it has become that of the client's reply
	if c.closed {
		return
	}
	a := c.attempt
	if a == nil || a.state != attemptWritten || attemptsWritten != c.attemptsWritten.Load() {
		// No request is outstanding, or the reply arrived before the request was completely written. Later
		// replies can't be matched to requests either.
		c.noteUnsolicited(a == nil || a.state == attemptWritten)
		c.connectionLost()
		return
	}
	inSync = inSync && a.expectsReply(reply)
	a.replyHold = hold
	a.finish(a.resultOf(reply), reply)
	if !inSync {
		c.close()
		return
	}
	c.pool.release(c)
}

// connectionLost closes the connection after an error, and fails the attempt that it carries.
func (c *upstreamConn) connectionLost() {
	c.pool.closeConn(c)
	if a := c.attempt; a != nil {
		c.failAttempt(a)
	}
	c.pool.dispatch()
}

// close closes the connection and releases its descriptor. The reader ends with an error from its next read.
func (c *upstreamConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.ended.Store(true)
	c.writing.release()
	p := c.pool
	delete(p.conns, c)
	if c.nc != nil {
		c.nc.Close()
	} else {
		p.dialing--
	}
	p.loop.releaseDescriptor()
}
