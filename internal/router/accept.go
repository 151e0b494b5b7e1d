package router

import (
	"errors"
	"net"
	"os"
	"time"
)

// acceptLoop takes connections until the router closes, and then those that queue. The danger: the kernel has
// accepted them, and with them requests that count as taken; closing the listener resets them.
func (s *Server) acceptLoop() error {
	for {
		if !s.waitForDescriptor() {
			return net.ErrClosed
		}
		last := s.isClosing()
		if last {
			s.setAcceptDeadline(time.Now().Add(finalAcceptTimeout))
		}
		nc, err := s.listener.Accept()
		if err != nil {
			s.descriptors.releaseClient()
			late := errors.Is(err, os.ErrDeadlineExceeded)
			switch {
			case errors.Is(err, net.ErrClosed), late && last:
				return err
			case late:
				continue // called back as the router closes
			}
			// Out of descriptors, or a connection that was reset while it queued: neither may
			// end the router. Those in the queue wait.
			time.Sleep(s.acceptBackoff)
			continue
		}
		c := &clientConn{srv: s, nc: nc.(*net.TCPConn), requests: map[int64]*request{}, replies: make(chan *replySlot, maxPipelined),
			readEnded: make(chan struct{})}
		c.lastReplyAt.Store(s.loop.clock())
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(2)
		go c.readLoop()
		go c.writeLoop()
	}
}

// waitForDescriptor waits for a descriptor for one more client; it reports false once the router ends. The
// danger: clients that hold connections they do not use shut out all others. The one idle for
// longest makes room, as the protocol allows between requests.
func (s *Server) waitForDescriptor() bool {
	for !s.descriptors.acquireClient() {
		if c := s.longestIdle(); c != nil {
			c.evicting.Store(true)
			c.closeWhenIdle()
		}
		select {
		case <-s.ended:
			return false
		case <-s.descriptors.freed: // the danger: polling alone lets in a few a second, and a crowd queues
		case <-time.After(s.acceptBackoff): // by now another may be idle
		}
	}
	return true
}

func (s *Server) longestIdle() *clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *clientConn
	fresh := s.loop.clock() - s.firstCommandGrace.Microseconds()
	for c := range s.clients {
		// The danger: a connection that has just come is closed as its first request comes in.
		if c.pendingReplies.Load() == 0 && !c.draining.Load() && (c.hasCommand.Load() || c.lastReplyAt.Load() < fresh) &&
			(longest == nil || c.lastReplyAt.Load() < longest.lastReplyAt.Load()) {
			longest = c
		}
	}
	return longest
}
