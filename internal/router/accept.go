package router

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"marlstage/internal/socket"
)

const (
	// acceptBackoff is the delay before the accept loop tries again after a lack of descriptors or a
	// failed Accept.
	acceptBackoff = 10 * time.Millisecond
	// maxImmediateAcceptRetries is the number of consecutive failed calls of Accept after which the loop waits for
	// the backoff, whatever the error is.
	maxImmediateAcceptRetries = 100
	// firstCommandGrace is the time that a new connection has for its first command to arrive before it
	// may be evicted.
	firstCommandGrace = 100 * time.Millisecond
	// recentRelease is how long the end of a connection that was not evicted shows that others will end soon.
	recentRelease = 20 * time.Millisecond
	// activeIdleTime is the time between two requests of a client that uses its connection.
	activeIdleTime = 300 * time.Millisecond
	// minEvictedPartialAge is the age from which on a partial command may be given up for lack of descriptors.
	minEvictedPartialAge = 600 * time.Millisecond
	// finalAcceptTimeout is the timeout of each Accept of a queued connection while the router drains.
	finalAcceptTimeout = 20 * time.Millisecond
)

// acceptLoop accepts connections until s.closing is closed, and then those that are still in the listener's
// queue. The kernel has already established these, so clients may have sent requests on them, and closing
// the listener would reset them.
func (s *Server) acceptLoop() error {
	var failures acceptFailures
	for {
		if !s.waitForDescriptor() {
			return net.ErrClosed
		}
		closing := s.isClosing()
		if closing {
			s.setAcceptDeadline(time.Now().Add(finalAcceptTimeout))
		}
		nc, err := socket.Accept(s.system, s.listener)
		if err == nil {
			failures.reset()
			s.startOrClose(nc)
			s.noteQueue()
			s.limitAccepts()
			continue
		}
		s.descriptors.releaseClient()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Before closing was set, drain interrupted the call. Afterwards the deadline may have
			// passed before Accept checked the queue, so a connection may still be in it.
			if closing && !socket.HasQueuedConnections(s.system, s.listener) {
				return err
			}
		default:
			s.noteAcceptStall()
			if failures.needsBackoff(err) {
				time.Sleep(s.acceptBackoff)
			}
		}
	}
}

// startOrClose starts an accepted connection. Clients may have given up waiting in the meantime. A connection that has
// been reset is closed: its commands need no reply, and reading them would delay those of others.
func (s *Server) startOrClose(nc *socket.Conn) {
	peer, err := nc.PeerState()
	if err == nil && peer.Broken {
		s.loop.statistics.resetEarly.Add(1)
		nc.Close()
		s.descriptors.releaseClient()
		return
	}
	s.startClient(nc, err == nil && peer.HungUp)
}

// limitAccepts waits if so many connections have been accepted that accepting and closing them would take the
// processor from the requests of others. Those in the listener's queue wait meanwhile. While the server closes, time is
// short, and no more connections come than are in the queue.
func (s *Server) limitAccepts() {
	if s.isClosing() {
		return
	}
	if delay := s.work.acceptDelay(); delay > 0 {
		s.noteAcceptStall()
		time.Sleep(delay)
	}
}

// acceptFailures counts consecutive errors of Accept. None of them ends the router: either the process or
// the machine is short of resources, or a connection has failed while it was queued.
type acceptFailures struct{ consecutive int }

func (f *acceptFailures) reset() { f.consecutive = 0 }

// needsBackoff counts an error and reports whether to wait before the next call. A failed connection
// does not delay those queued behind it, unless so many fail in a row that the loop would spin.
func (f *acceptFailures) needsBackoff(err error) bool {
	f.consecutive++
	return isResourceShortage(err) || f.consecutive%maxImmediateAcceptRetries == 0
}

// isResourceShortage reports whether the call failed for lack of descriptors, memory or epoll watches, so
// that an immediate retry would fail again.
func isResourceShortage(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// waitForDescriptor acquires a descriptor for one more client, waiting until one is free. It reports false
// once no more clients are accepted. While no descriptor is free, it evicts the connection that has been
// idle the longest, so that idle clients do not keep others from connecting. The protocol allows the router
// to close a connection between requests.
func (s *Server) waitForDescriptor() bool {
	defer s.awaitsDescriptor.Store(false)
	for !s.descriptors.acquireClient() {
		s.awaitsDescriptor.Store(true)
		s.noteAcceptStall()
		s.freeDescriptor()
		select {
		case <-s.acceptAborted:
			return false
		case <-s.descriptors.clientReleased: // polling alone would be too slow for a long queue
		case <-time.After(s.acceptBackoff): // another connection may have become idle
		}
	}
	return true
}

// freeDescriptor ends a connection so that another client can connect: one that only lingers, one that has been idle
// for the longest time, or one with a partial command, as far as these have lasted for long.
func (s *Server) freeDescriptor() {
	if s.endLinger() {
		return
	}
	if c := s.longestIdleClient(s.minEvictedIdleTime()); c != nil {
		c.evicting.Store(true)
		c.closeWhenIdle()
		return
	}
	s.giveUpPartialCommand(minEvictedPartialAge.Microseconds(), false)
}

// endLinger ends the linger time of a connection that has lingered for evictionGrace, and whose client's machine has
// received all replies. It reports whether there is one.
func (s *Server) endLinger() bool {
	now := s.loop.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		end := c.lingerEnd.Load()
		lingers := c.lingering.Load() && end > now && end-now < (s.lingerTime-evictionGrace).Microseconds()
		if lingers && !c.nc.MayHaveUnacknowledged() {
			c.lingerEnd.Store(now)
			c.interruptRead()
			return true
		}
	}
	return false
}

// noteAcceptStall records that connections that reach the listener's queue from now on may have to wait
// there. If connections are queued already, it keeps the earlier start of the stall.
func (s *Server) noteAcceptStall() {
	now := s.loop.clock()
	if s.acceptStalledSince == 0 || !socket.HasQueuedConnections(s.system, s.listener) {
		s.acceptStalledSince = now
	}
}

// noteQueue records after an accept whether further connections wait in the listener's queue. They may have waited since
// the accepted one arrived. Once the queue is empty, new connections are accepted without a wait.
func (s *Server) noteQueue() {
	switch {
	case !socket.HasQueuedConnections(s.system, s.listener):
		s.acceptStalledSince = 0
	case s.acceptStalledSince == 0:
		s.acceptStalledSince = s.loop.stalls.earliestArrival(s.loop.clock())
	}
}

// minEvictedIdleTime returns for how long a connection has to be idle to be evicted. While other connections end by
// themselves, one of a client that was active a moment ago need not be evicted.
func (s *Server) minEvictedIdleTime() time.Duration {
	sinceRelease := microseconds(s.loop.clock() - s.lastReleaseAt.Load())
	if sinceRelease < recentRelease {
		return activeIdleTime
	}
	return 0
}

// longestIdleClient returns the evictable connection whose last reply is the oldest, but at least of the given age, or
// nil if there is none.
func (s *Server) longestIdleClient(minIdle time.Duration) *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *clientConn
	now := s.loop.clock()
	firstCommandCutoff := now - s.firstCommandGrace.Microseconds()
	lastReplyCutoff := now - minIdle.Microseconds()
	for c := range s.clients {
		if !c.isEvictable(firstCommandCutoff) || c.lastReplyAt.Load() > lastReplyCutoff {
			continue
		}
		if longest == nil || c.lastReplyAt.Load() < longest.lastReplyAt.Load() {
			longest = c
		}
	}
	return longest
}
