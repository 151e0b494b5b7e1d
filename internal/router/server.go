package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	lateAcceptTime  = 500 * time.Millisecond // after SIGTERM, in which clients may still open connections
	maxDrainTimeout = 3 * time.Second        // of the longest request timeout, as much as counts before SIGKILL
	killDelay       = 700 * time.Millisecond // beyond the longest timeout; SIGKILL may follow then
	maxStall        = 150 * time.Millisecond // for which the process may be stalled between two steps
	replyTravelTime = 50 * time.Millisecond  // for a reply to reach the client's machine

	// Beyond the longest timeout, when the last replies are due. The process may be stalled before it
	// notices SIGTERM, and again between the time that a reply is due and its write.
	lastReplyDelay = killDelay - 2*maxStall - replyTravelTime

	// After the last replies are due, for clients that are slow to read theirs: to write the last one,
	// and for their machines to acknowledge it.
	lastWriteTime = 2 * writeTimeout
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

	acceptStalledSince policy.Time // from when on connections may have been queued; 0 if they are not; owned by the accept loop

	readingEnded atomic.Bool // no command is read any more on a connection that has had one

	drainTime         time.Duration // after SIGTERM, when the last replies are due
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
		drainTime:         drainTimeFor(loop.maxTimeout),
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
		s.loop.statistics.log(s.loop.logger)
		stopLoop()
		<-s.loop.done
		s.loop.logger.awaitWritten()
	}()
	s.loop.logger.Info("serving", "addr", s.listener.Addr())
	go s.loop.run(loopCtx)
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

// drainTimeFor returns how long after SIGTERM the last replies are due, where the longest timeout of
// a request is the given one. SIGKILL must not find a request unanswered, and clients that have not
// heard of the end of the router must find it serving.
func drainTimeFor(maxTimeout policy.Time) time.Duration {
	timeout := min(time.Duration(maxTimeout)*time.Microsecond, maxDrainTimeout)
	return max(timeout+lastReplyDelay, lateAcceptTime)
}

// drain answers the requests that have been accepted, by the time that the last replies are due.
// Connections are accepted for a while, and then those that the kernel has queued. acceptEnded
// reports the end of the accept loop.
func (s *Server) drain(acceptEnded <-chan error) {
	s.loop.logger.Info("draining", "connections", s.descriptors.clientConns.Load(), "last_replies_in", s.drainTime)
	lastReplies := time.After(s.drainTime)
	timeout := time.After(s.drainTime + lastWriteTime)
	due := s.loop.clock() + s.drainTime.Microseconds()
	s.loop.post(func() { s.loop.beginDrain(due) })
	time.Sleep(s.lateAcceptTime)
	close(s.closing)
	s.closeIdleClients() // frees descriptors for the queued connections
	s.setAcceptDeadline(time.Now())
	drained := make(chan struct{})
	go func() {
		s.awaitDrained(acceptEnded)
		close(drained)
	}()
	select {
	case <-drained:
		return
	case <-lastReplies:
		s.endReading()
	}
	select {
	case <-drained:
	case <-timeout:
		close(s.ended)
		s.listener.Close()
	}
}

// awaitDrained waits until no more connections are accepted, closes the listener, and waits until
// all client connections are closed.
func (s *Server) awaitDrained(acceptEnded <-chan error) {
	<-acceptEnded
	s.listener.Close()
	s.closeIdleClients() // no client is added any more
	s.wg.Wait()
}

// endReading has the client connections closed once all commands that have been read are answered.
// A client that sends on and on would else keep its connection open until SIGKILL, which leaves
// commands unanswered.
func (s *Server) endReading() {
	s.readingEnded.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.draining.Store(true)
		c.interruptRead()
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

// Logger returns the router's log. A log that nobody reads does not block its callers.
func (s *Server) Logger() *slog.Logger { return s.loop.logger.Logger }

// SetLogLevel sets the level from which on lines are logged; it is that of information at first. At
// that of debugging there are lines for each request, attempt and connection.
func (s *Server) SetLogLevel(level slog.Level) { s.loop.logger.level.Set(level) }

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
	c := newClientConn(s, nc, s.acceptStalledSince)
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
