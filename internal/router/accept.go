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
	acceptBackoff      = 10 * time.Millisecond  // before a descriptor is sought again
	maxAcceptRetries   = 100                    // of failed calls in a row, before one waits for the backoff
	firstCommandGrace  = 100 * time.Millisecond // for a new connection's first command to arrive before it may be evicted
	finalAcceptTimeout = 20 * time.Millisecond  // for each Accept of a queued connection while the router drains
)

// acceptLoop accepts connections until the router closes, and then those that are still queued:
// the kernel has accepted them, so requests may already have been sent on them, and closing the
// listener would reset them.
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
			s.startClient(nc)
			s.endAcceptStall()
			continue
		}
		s.descriptors.releaseClient()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Outside of closing drain has interrupted Accept. The deadline may also have passed
			// before Accept looked for a connection, which then is still queued.
			if closing && !socket.HasQueuedConnections(s.system, s.listener) {
				return err
			}
		default:
			s.noteAcceptStall()
			if failures.needBackoff(err) {
				time.Sleep(s.acceptBackoff)
			}
		}
	}
}

// acceptFailures counts errors of accept in a row. None of them may end the router: the process or
// the machine is short of resources, or a connection has failed while it was queued.
type acceptFailures struct{ inRow int }

func (f *acceptFailures) reset() { f.inRow = 0 }

// needBackoff counts an error and reports whether to wait before the next call. A failed connection
// does not delay those queued behind it, unless so many fail that the loop would spin.
func (f *acceptFailures) needBackoff(err error) bool {
	f.inRow++
	return isResourceShortage(err) || f.inRow%maxAcceptRetries == 0
}

// isResourceShortage reports whether descriptors, memory or the watches of epoll were lacking, so that
// a call that is repeated at once would fail again.
func isResourceShortage(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// waitForDescriptor waits for a descriptor for one more client. It reports false once no more
// clients are accepted. While there is no descriptor, it evicts the connection that has been idle
// for longest, as the protocol allows between requests, so that idle clients do not shut out
// others.
func (s *Server) waitForDescriptor() bool {
	for !s.descriptors.acquireClient() {
		s.noteAcceptStall()
		if c := s.longestIdle(); c != nil {
			c.evicting.Store(true)
			c.closeWhenIdle()
		}
		select {
		case <-s.ended:
			return false
		case <-s.descriptors.freed: // polling alone would accept too few a second to serve a long queue
		case <-time.After(s.acceptBackoff): // another connection may be idle by now
		}
	}
	return true
}

// noteAcceptStall notes that connections which are not in the listener's queue yet may wait there from
// now on.
func (s *Server) noteAcceptStall() {
	now := s.loop.clock()
	if s.acceptStalledSince == 0 || !socket.HasQueuedConnections(s.system, s.listener) {
		s.acceptStalledSince = now
	}
}

// endAcceptStall notes that connections are accepted as they come, once no more are queued.
func (s *Server) endAcceptStall() {
	if s.acceptStalledSince != 0 && !socket.HasQueuedConnections(s.system, s.listener) {
		s.acceptStalledSince = 0
	}
}

// longestIdle returns the connection whose last reply is the oldest of those that may be evicted,
// or nil.
func (s *Server) longestIdle() *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *clientConn
	newSince := s.loop.clock() - s.firstCommandGrace.Microseconds()
	for c := range s.clients {
		if !c.isEvictable(newSince) {
			continue
		}
		if longest == nil || c.lastReplyAt.Load() < longest.lastReplyAt.Load() {
			longest = c
		}
	}
	return longest
}
