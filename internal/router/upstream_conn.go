package router

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marlstage/policy"
)

// upstreamConn is one connection to a cache. It carries one request at a time: answers
// come in order, and a quick one must not wait for a slow one.
type upstreamConn struct {
	pool        *pool
	addr        string
	nc          *net.TCPConn // nil until it is up
	raw         syscall.RawConn
	connectedAt policy.Time   // when it came up
	attempt     *attempt      // what it carries
	sequence    atomic.Uint32 // attempts begun on it
	mu          sync.Mutex    // held over a look at what has come, and what follows from it
	replyBegun  atomic.Bool   // some of an answer has been read
	earlyReply  *reply        // an answer that came before the loop learned that its request was whole
	idleSince   policy.Time
	closed      bool
}

// matchesEndpoint reports whether the connection leads to the process that the list names.
func (c *upstreamConn) matchesEndpoint() bool {
	return c.addr == c.pool.addr && c.connectedAt >= c.pool.startedAt
}

// run dials and then reads answers, until the connection ends.
func (c *upstreamConn) run(addr string, timeout time.Duration) {
	u := c.pool
	nc, raw, err := dialTCP(addr, timeout)
	u.loop.post(func() { u.dialDone(c, nc, raw, err) })
	if err != nil {
		return
	}
	defer nc.Close()
	in := &sequencedReader{conn: c, raw: raw}
	var buf []byte
	for {
		rep, rest, err := readReply(in, buf)
		if err != nil {
			u.loop.post(c.connectionLost)
			return
		}
		buf = rest
		// Bytes behind an answer are not awaited by anyone: the connection is out of step.
		clean, turn := len(rest) == 0, in.sequence
		in.sequence = 0
		c.replyBegun.Store(false)
		u.loop.post(func() { c.replyReceived(rep, turn, clean) })
	}
}

// sequencedReader reads from a connection. It notes with the first bytes of an answer how many attempts had been begun by
// then.
type sequencedReader struct {
	conn     *upstreamConn
	raw      syscall.RawConn
	sequence uint32 // 0 until bytes have come
}

func (a *sequencedReader) Read(b []byte) (n int, err error) {
	rerr := a.raw.Read(func(fd uintptr) bool {
		a.conn.mu.Lock()
		defer a.conn.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		if n > 0 && a.sequence == 0 {
			a.sequence = a.conn.sequence.Load()
			a.conn.replyBegun.Store(true)
		}
		return err != syscall.EAGAIN
	})
	switch {
	case rerr != nil:
		return 0, rerr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func dialTCP(addr string, timeout time.Duration) (*net.TCPConn, syscall.RawConn, error) {
	nc, err := (&net.Dialer{Timeout: timeout, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	tcp := nc.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, nil, err
	}
	return tcp, raw, nil
}

// isSilent reports whether neither bytes nor an end have come since the last answer.
func (c *upstreamConn) isSilent() bool {
	if c.replyBegun.Load() {
		return false
	}
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return quiet && err == nil
}

// beginAttempt counts an attempt, unless something has come before it. The danger: bytes come between the two.
func (c *upstreamConn) beginAttempt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSilent() {
		return false
	}
	c.sequence.Add(1)
	return true
}

// close ends a connection. Its reader sees the end of it.
func (c *upstreamConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	u := c.pool
	delete(u.conns, c)
	if c.nc != nil {
		c.nc.Close()
	} else {
		u.dialing--
	}
	u.loop.releaseDescriptor()
}

// writeAttempt sends the attempt that has waited longest. The loop itself writes as much as the socket takes at
// once, nearly always all: so nothing comes between the last look and the first byte.
func (c *upstreamConn) writeAttempt(a *attempt) {
	fresh := c.sequence.Load() == 0
	if !c.beginAttempt() {
		c.failUnsent(a, fresh) // the danger: half a line becomes part of the answer, or the end a reset that may have run
		return
	}
	buf := a.encode(c.pool.loop.now)
	n, err := c.tryWrite(buf)
	if n == 0 && err != nil {
		c.failUnsent(a, fresh) // the cache had closed it
		return
	}
	c.pool.queue = c.pool.queue[1:]
	c.attempt, a.conn = a, c
	switch {
	case err != nil:
		a.state = attemptWriting
		c.close()
		a.finish(policy.ConnectFailed, nil)
	case n == len(buf):
		a.state = attemptWritten
	default:
		a.state = attemptWriting
		go func() {
			m, err := c.nc.Write(buf[n:])
			c.pool.loop.post(func() { c.writeDone(a, n+m == len(buf), err) })
		}()
	}
}

// failUnsent closes a connection that can't carry the attempt. Not a byte has gone out, so the attempt may have another
// one. The danger: a cache that closes each as it comes up is dialed without end.
func (c *upstreamConn) failUnsent(a *attempt, fresh bool) {
	c.close()
	if fresh {
		a.finish(policy.ConnectFailed, nil)
	}
}

// writeDone takes the news of a long write.
func (c *upstreamConn) writeDone(a *attempt, whole bool, err error) {
	if a.state != attemptWriting {
		return
	}
	switch {
	case !whole && a.abandoned && a.abandonResult != policy.ConnectionLost:
		a.finish(policy.NotSent, nil)
	case !whole:
		c.close()
		a.finish(policy.ConnectFailed, nil)
	case c.earlyReply != nil && (!a.abandoned || a.abandonResult == policy.ConnectionLost):
		c.close() // it was answered, and may have been closed behind that
		a.finish(c.earlyReply.result, c.earlyReply)
	case a.abandoned:
		a.finish(a.abandonResult, nil)
	default:
		a.state = attemptWritten
	}
}

// tryWrite writes what the socket takes without waiting.
func (c *upstreamConn) tryWrite(b []byte) (n int, err error) {
	werr := c.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if err == syscall.EAGAIN {
		return 0, nil
	}
	return max(n, 0), errors.Join(werr, err)
}

// connectionLost takes the news that the connection has ended.
func (c *upstreamConn) connectionLost() {
	u := c.pool
	u.closeConn(c)
	if a := c.attempt; a != nil {
		switch {
		case a.state != attemptWriting:
			a.finish(policy.ConnectionLost, nil)
		case !a.abandoned: // else the router itself has closed it
			a.abandoned, a.abandonResult = true, policy.ConnectionLost
		}
	}
	u.dispatch()
}

// replyReceived takes an answer.
func (c *upstreamConn) replyReceived(rep *reply, turn uint32, clean bool) {
	if c.closed {
		return
	}
	a := c.attempt
	if a == nil || turn != c.sequence.Load() {
		c.connectionLost() // nobody asked, or not yet: what else comes can't be told apart either
		return
	}
	if a.state == attemptWriting {
		if c.earlyReply == nil {
			c.earlyReply = rep
		}
		return
	}
	result := rep.result
	if a.request == nil && rep.pong {
		result = policy.Served
	}
	a.finish(result, rep)
	if !clean {
		c.close()
		return
	}
	c.pool.release(c)
}
