package router

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	requestOverhead     = 1 << 10                 // bytes of what is kept for a request beside its bytes
	maxIdleBuffer       = 8 << 10                 // bytes of room that a connection keeps between commands
	maxPipelined        = 512                     // commands of one connection that may await their answers
	writeTimeout        = 5 * time.Second         // for an answer to a client that does not read
	lingerTime          = time.Second             // for a client to read why its connection is closed
	acceptBackoff       = 10 * time.Millisecond   // before another try where no descriptor was free
	lateAcceptTime      = 500 * time.Millisecond  // new connections may still come so long after SIGTERM
	commandTimeout      = 2200 * time.Millisecond // for a connection's first command, and for the rest of any that has begun
	evictGrace          = 100 * time.Millisecond  // for the rest of a command that has begun where its connection has to make room
	firstCommandGrace   = 100 * time.Millisecond  // for a connection's first command where room is wanted: it is under way
	hangupCheckInterval = 100 * time.Millisecond  // between looks whether a client has left whose bytes are not read
	finalAcceptTimeout  = 20 * time.Millisecond   // for a connection that queues as the router ends
	drainSlack          = 650 * time.Millisecond  // beyond the longest deadline, for the drain after SIGTERM: SIGKILL may follow 50 ms later
	maxDrainTimeout     = 3 * time.Second         // ... which counts as no longer than this until SIGKILL
	drainAnswerMargin   = 100 * time.Millisecond  // before that, when the last answers are given
)

// clientConn is a connection of a client.
type clientConn struct {
	srv            *Server
	nc             *net.TCPConn
	requests       map[int64]*request // requests without a final answer; the loop's
	replies        chan *replySlot    // answers due, in the order of the commands
	draining       atomic.Bool        // to be closed between requests
	evicting       atomic.Bool        // ... to make room, so that it can't wait for half a command
	pendingReplies atomic.Int64       // commands whose answer is not written
	hasCommand     atomic.Bool        // a command has come
	lastReplyAt    atomic.Int64       // when the last answer was written

	lingering atomic.Bool   // all answers are written, and the client is to read the last one
	readEnded chan struct{} // closed when nothing more is read
}

// closeWhenIdle has the connection closed as soon as it is between requests.
func (c *clientConn) closeWhenIdle() {
	if !c.draining.Swap(true) {
		c.nc.SetReadDeadline(time.Now())
	}
}

// readLoop takes commands until the connection ends or takes no more, and then reads on.
func (c *clientConn) readLoop() {
	defer c.srv.wg.Done()
	defer close(c.readEnded)
	reads := c.readCommands()
	close(c.replies)
	if reads {
		c.discard()
	} else {
		c.srv.loop.post(func() { c.srv.loop.clientGone(c) })
	}
}

// readCommands takes commands. It reports whether the client may still be there when no more are taken.
func (c *clientConn) readCommands() bool {
	var buf []byte
	// The danger: a peer that says nothing, or half a command, holds a descriptor for ever.
	until := time.Now().Add(c.srv.commandTimeout) // when the first command is due, or the rest of any that has begun
	for cut := false; ; {
		args, used, err := resp.NextCommand(buf)
		if err != nil {
			return c.reply(redcon.AppendError(nil, "ERR Protocol error: "+err.Error()))
		}
		if used > 0 {
			if goesOn, there := c.handleCommand(args, buf[:used]); !goesOn {
				return there
			}
			if len(args) > 0 {
				c.hasCommand.Store(true)
				until, cut = time.Time{}, false
			}
			if rest := buf[used:]; cap(buf) > maxIdleBuffer && len(rest) <= maxIdleBuffer {
				buf = bytes.Clone(rest) // many clients with a large command once must not keep its room
			} else {
				buf = append(buf[:0], rest...)
			}
			continue
		}
		if len(buf) >= resp.MaxCommandSize {
			return c.reply([]byte("-ERR Protocol error: too big a command\r\n"))
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, max(1024, 2*cap(buf))), buf...)
		}
		if until.IsZero() && len(buf) > 0 {
			until = time.Now().Add(c.srv.commandTimeout)
		}
		if grace := time.Now().Add(evictGrace); len(buf) > 0 && !cut && c.evicting.Load() && grace.Before(until) {
			until, cut = grace, true
		}
		if !c.awaitRead(len(buf) > 0, until) {
			return true
		}
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case until.IsZero() || time.Now().Before(until): // called back to see whether the connection is to be closed
		case len(buf) > 0:
			return c.reply([]byte("-ERR Protocol error: the command did not come whole in time\r\n"))
		default:
			return true
		}
	}
}

// awaitRead has the next read end at the given time, if there is one. It reports false where the connection is
// to be closed and is between requests. The danger: one with work in hand is read on, as a command behind it
// counts as taken.
func (c *clientConn) awaitRead(begun bool, until time.Time) bool {
	c.nc.SetReadDeadline(until)
	return !c.draining.Load() || begun || c.pendingReplies.Load() > 0 || c.hasUnread()
}

// discard reads what nobody takes any more, for as long as answers are due and the client may read them. The
// danger: a client that leaves meanwhile goes unnoticed, and its requests are sent on.
func (c *clientConn) discard() {
	buf := make([]byte, 4096)
	for total := 0; total < 4*resp.MaxCommandSize; {
		n, err := c.nc.Read(buf)
		total += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.srv.loop.post(func() { c.srv.loop.clientGone(c) })
			return
		case c.lingering.Load():
			return
		default: // of a command, or of a connection that was to be closed
			c.nc.SetReadDeadline(time.Time{})
			if c.lingering.Load() {
				c.nc.SetReadDeadline(time.Now().Add(c.lingerTime()))
			}
		}
	}
}

// enqueue gives an answer its place. It reports false where the client has left. The danger: while its many
// commands wait for their answers nobody reads on to where it left.
func (c *clientConn) enqueue(s *replySlot) bool {
	c.pendingReplies.Add(1)
	for {
		select {
		case c.replies <- s:
			return true
		default:
		}
		select {
		case c.replies <- s:
			return true
		case <-time.After(hangupCheckInterval):
			if c.hungUp() {
				return false
			}
		}
	}
}

// reply queues an answer of the router's own. It reports whether the client is still there.
func (c *clientConn) reply(answer []byte) bool {
	s := newReplySlot(c.srv.memory)
	s.fill(answer)
	return c.enqueue(s)
}

// handleCommand carries out one command. It reports whether the connection goes on, and whether the client is there.
func (c *clientConn) handleCommand(args [][]byte, raw []byte) (goesOn, there bool) {
	said := func(answer []byte) (goesOn, there bool) {
		there = c.reply(answer)
		return there, there
	}
	if len(args) == 0 {
		return true, true
	}
	read := c.srv.loop.clock()
	verb := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	switch verb {
	case "PING":
		switch {
		case !c.srv.loop.canServe.Load():
			return said([]byte("-LOADING no caches are known yet\r\n"))
		case len(args) > 1:
			return said(redcon.AppendBulk(nil, args[1]))
		}
		return said([]byte("+PONG\r\n"))
	case "QUIT":
		return false, c.reply([]byte("+OK\r\n"))
	case "C.GET", "C.SET":
	default:
		return said([]byte("-ERR unknown command\r\n"))
	}
	// The command outlives the buffer.
	args, _, err := resp.NextCommand(bytes.Clone(raw))
	if err != nil {
		return false, true
	}
	cmd, err := resp.ParseCommand(args, len(raw))
	if err == nil {
		err = c.srv.validate(raw, cmd)
	}
	if err != nil {
		return said(redcon.AppendError(nil, "ERR "+err.Error()))
	}
	s := newReplySlot(c.srv.memory)
	// The danger: a flood of short commands takes many times the room of its bytes.
	charge := int64(len(raw) + requestOverhead)
	if !s.memory.tryAcquire(charge) {
		return said([]byte(busyReply))
	}
	s.charge = charge
	if !c.enqueue(s) {
		s.memory.release(s.charge)
		return false, false
	}
	c.srv.loop.post(func() { c.srv.loop.acceptRequest(c, s, cmd, read) })
	return true, true
}

// validate reports what is wrong with a command that can be read, but that no client sends. The
// danger: sent on, it is served as though it were a client's, or repeated with no key to drop it.
func (s *Server) validate(raw []byte, cmd resp.Command) error {
	if raw[0] != redcon.Array {
		return errors.New("a command is an array of bulk strings")
	}
	for _, class := range s.cfg.Settings.Classes {
		if class.Name == cmd.Class {
			if class.Effect == policy.IdempotentWithKey && cmd.Write && !cmd.HasIdempotencyKey {
				return errors.New("k is needed")
			}
			return nil
		}
	}
	return errors.New("c names no class")
}
