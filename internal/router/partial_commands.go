package router

import (
	"errors"
	"net"
	"os"
	"time"

	"marlstage/policy"
)

const (
	// memoryRetryInterval is the time between two attempts of a reader to get memory for the rest of a command.
	memoryRetryInterval = 10 * time.Millisecond
	// memoryPatience is how long a reader waits for memory before a partial command of another client, or its own, is
	// given up.
	memoryPatience = 50 * time.Millisecond
	// minGiveUpInterval is the least time in microseconds between two partial commands that are given up.
	minGiveUpInterval = 2_000
)

// errGivenUp reports that a partial command is given up for lack of memory or descriptors.
var errGivenUp = errors.New("the partial command is given up")

// makeRoom makes some of the read buffer free. It returns false if there is no memory for a larger buffer.
func (r *commandReader) makeRoom() bool {
	if r.buf.space() > 0 {
		return true
	}
	unread := r.buf.unread()
	missing, known := r.parser.MissingSize(unread)
	if !known {
		missing = r.parser.MinMissingSize(unread)
	}
	hasRoom := r.buf.makeRoom(missing, known && r.hasReceived(missing))
	if hasRoom {
		r.memoryWaitSince = time.Time{}
	}
	return hasRoom
}

// hasReceived reports whether the system has received n bytes that the router has not read. If the query fails, it
// returns false.
func (r *commandReader) hasReceived(n int) bool {
	received, err := r.conn.nc.UnreadBytes()
	return err == nil && received >= n
}

// isGivenUp reports whether the partial command in the buffer is to be given up.
func (r *commandReader) isGivenUp() bool { return r.buf.len() > 0 && r.conn.givenUp.Load() }

// awaitMemory waits a moment for memory for the rest of a partial command, while its bytes stay unread. After
// memoryPatience it has a partial command given up, which may be this one.
func (r *commandReader) awaitMemory() error {
	now := time.Now()
	if r.memoryWaitSince.IsZero() {
		r.memoryWaitSince = now
		r.conn.srv.loop.statistics.memoryWaits.Add(1)
	}
	if now.Sub(r.memoryWaitSince) > memoryPatience {
		r.conn.srv.giveUpPartialCommand(0, true)
	}
	switch {
	case r.isGivenUp(), r.isEnding(), !r.deadline.IsZero() && !now.Before(r.deadline):
		return errGivenUp
	}
	r.conn.nc.SetReadDeadline(now.Add(memoryRetryInterval))
	err := r.conn.nc.AwaitHangup()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case err == nil:
		return net.ErrClosed // the client has disconnected
	default:
		return err
	}
}

// giveUpPartialCommand gives up the partial command for which the most memory is held for the longest time: the one
// with the largest product of both. It considers those of at least the given age in microseconds, and if forMemory is
// set, those for which the budget counts memory. It does nothing if another one was given up just before. A command that
// has been received completely is never given up.
func (s *Server) giveUpPartialCommand(minAge policy.Time, forMemory bool) {
	now := s.loop.clock()
	last := s.lastGiveUpAt.Load()
	if now < last+minGiveUpInterval || !s.lastGiveUpAt.CompareAndSwap(last, now) {
		return
	}
	victim := s.largestPartialCommand(now, minAge, forMemory)
	if victim == nil {
		return
	}
	s.loop.logger.logFault("partial command given up", "client", victim, "for_memory", forMemory,
		"bytes", victim.reader.buf.hold.bytes.Load(), "age", microseconds(now-victim.partialSince.Load()), "memory", s.memory)
	victim.givenUp.Store(true)
	victim.interruptRead()
}

// largestPartialCommand returns the connection with the partial command that giveUpPartialCommand gives up, or nil.
func (s *Server) largestPartialCommand(now, minAge policy.Time, forMemory bool) (largest *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var largestProduct int64
	for c := range s.clients {
		since := c.partialSince.Load()
		held := c.reader.buf.hold.bytes.Load()
		if since == 0 || now-since < minAge || forMemory && held == 0 || c.givenUp.Load() {
			continue
		}
		if product := (held + minReadBuffer) * (now - since); largest == nil || product > largestProduct {
			largest, largestProduct = c, product
		}
	}
	return largest
}
