package router

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/socket"
)

const (
	lateAcceptTime   = 500 * time.Millisecond // after SIGTERM, in which clients may still open connections
	maxDrainTimeout  = 3 * time.Second        // of the longest request timeout, as much as counts before SIGKILL
	drainSlack       = 650 * time.Millisecond // beyond the longest timeout, for the drain; SIGKILL may follow 50 ms later
	drainReplyMargin = 100 * time.Millisecond // before the end of the drain, when the last replies are due
)

// Server accepts clients' connections and serves them with an event loop.
type Server struct {
	cfg         *config.Config
	listener    net.Listener
	system      socket.System
	loop        *eventLoop
	descriptors *descriptorBudget
	memory      *memoryBudget

	mu      sync.Mutex
	clients map[*clientConn]struct{} // guarded by mu
	wg      sync.WaitGroup           // readers and writers of client connections
	closing chan struct{}            // closed when only connections already queued by the kernel are accepted
	ended   chan struct{}            // closed when no more connections are accepted

	lateAcceptTime    time.Duration // after SIGTERM, in which clients may still open connections
	commandTimeout    time.Duration // for a client to send a complete command
	acceptBackoff     time.Duration // before a descriptor is sought again
	firstCommandGrace time.Duration // before a connection without a command may be evicted
	lingerTime        time.Duration // for a client to read the last reply before its connection is closed
}

// New makes a server and opens its listener.
func New(cfg *config.Config) (*Server, error) {
	descriptors := newDescriptorBudget(cfg.Limits.Sockets)
	loop, err := newEventLoop(cfg, descriptors)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Server{
		cfg:               cfg,
		listener:          listener,
		system:            loop.system,
		loop:              loop,
		descriptors:       descriptors,
		memory:            newMemoryBudget(cfg.Limits.MemoryMB),
		clients:           map[*clientConn]struct{}{},
		closing:           make(chan struct{}),
		ended:             make(chan struct{}),
		lateAcceptTime:    lateAcceptTime,
		commandTimeout:    commandTimeout,
		acceptBackoff:     acceptBackoff,
		firstCommandGrace: firstCommandGrace,
		lingerTime:        lingerTime,
	}, nil
}

// Run serves until ctx ends, then drains and returns. It fails if connections can no longer be
// accepted.
func (s *Server) Run(ctx context.Context) error {
	// The event loop outlives ctx: it is needed to drain.
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer func() {
		stopLoop()
		<-s.loop.done
	}()
	go s.loop.run(loopCtx)
	log.Printf("serving on %s", s.listener.Addr())
	acceptEnded := make(chan error, 1)
	go func() { acceptEnded <- s.acceptLoop() }()
	select {
	case err := <-acceptEnded:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	s.drain(acceptEnded)
	return nil
}

// drain answers the requests that have been accepted, for no longer than the longest request
// timeout and some slack. Connections are accepted for a while, and then those that the kernel has
// queued. acceptEnded reports the end of the accept loop.
func (s *Server) drain(acceptEnded <-chan error) {
	log.Print("draining")
	timeout := time.After(time.Duration(s.loop.maxTimeout)*time.Microsecond + drainSlack)
	begun := s.loop.clock()
	time.Sleep(s.lateAcceptTime)
	s.loop.post(func() { s.loop.beginDrain(begun) })
	close(s.closing)
	s.closeIdleClients() // frees descriptors for the queued connections
	s.setAcceptDeadline(time.Now())
	select {
	case <-acceptEnded:
	case <-timeout:
		close(s.ended)
		return
	}
	s.listener.Close()
	s.closeIdleClients() // no client is added any more
	s.waitForClients(timeout)
}

// waitForClients waits until all client connections are closed or the timeout fires.
func (s *Server) waitForClients(timeout <-chan time.Time) {
	closed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-timeout:
	}
}

// setAcceptDeadline has a pending Accept return at the given time. A listener without deadlines is
// closed instead.
func (s *Server) setAcceptDeadline(at time.Time) {
	listener, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		s.listener.Close()
		return
	}
	_ = listener.SetDeadline(at) // fails only once the listener is closed, which Accept reports
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// MoveDiscovery has the router watch another discovery service from now on. The endpoints that it
// knows stay in use.
func (s *Server) MoveDiscovery(addr string) {
	moved := *s.cfg
	moved.Discovery = addr
	s.loop.post(func() { s.loop.moveDiscovery(&moved) })
}

// closeIdleClients has each client connection closed as soon as it has no request in flight.
func (s *Server) closeIdleClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeWhenIdle()
	}
}

// startClient serves a client's connection, whose descriptor has been acquired.
func (s *Server) startClient(nc *socket.Conn) {
	c := newClientConn(s, nc)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// removeClient forgets a client whose connection is closed and releases its descriptor.
func (s *Server) removeClient(c *clientConn) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	s.descriptors.releaseClient()
}
