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
	// lateAcceptTime is the time after SIGTERM during which clients may still open connections.
	lateAcceptTime = 500 * time.Millisecond
	// maxDrainTimeout bounds the longest request timeout in the computation of the drain time, because
	// the time until SIGKILL has the same bound.
	maxDrainTimeout = 3 * time.Second
	// killDelay is the time beyond the longest timeout after which SIGKILL may follow SIGTERM.
	killDelay = 700 * time.Millisecond
	// maxStall is the longest time for which the process is expected to be stalled between two steps.
	maxStall = 150 * time.Millisecond
	// replyTravelTime is the time that a reply may take to reach the client's machine.
	replyTravelTime = 50 * time.Millisecond

	// lastReplyDelay is the time beyond the longest timeout at which the last replies are due. The process
	// may be stalled before it notices SIGTERM, and again between the time that a reply is due and its
	// write.
	lastReplyDelay = killDelay - 2*maxStall - replyTravelTime

	// lastWriteTime is the time after the last replies are due that is left for slow clients: to write the
	// last reply, and for the client's machine to acknowledge it.
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
	work        *workLimiter
	discarder   discarder

	mu            sync.Mutex
	clients       map[*clientConn]struct{} // guarded by mu
	wg            sync.WaitGroup           // readers and writers of client connections
	closing       chan struct{}            // closed when only already queued connections are accepted
	acceptAborted chan struct{}            // closed when no more connections are accepted

	// acceptStalledSince is the earliest time from which connections may have waited in the listener's
	// queue; 0 if none may have. It is owned by the accept loop.
	acceptStalledSince policy.Time

	awaitsDescriptor atomic.Bool // the accept loop waits for a descriptor

	lastReleaseAt atomic.Int64 // when a client connection last ended that was not evicted; policy.Time

	lastGiveUpAt atomic.Int64 // when a partial command was last given up for lack of memory; policy.Time

	// noNewCommands is set when connections end after the command that is being read on them.
	noNewCommands atomic.Bool

	drainTime         time.Duration // from SIGTERM until the last replies are due
	lateAcceptTime    time.Duration // after SIGTERM, during which clients may still open connections
	commandTimeout    time.Duration // for a client to send a complete command
	acceptBackoff     time.Duration // before the accept loop tries again
	firstCommandGrace time.Duration // before a connection without a command may be evicted
	lingerTime        time.Duration // for a client to read the last reply before its connection is closed
}

// New returns a server with an open listener. Run starts serving.
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
		memory:            loop.memory,
		work:              newWorkLimiter(cfg.Limits.Cores),
		clients:           map[*clientConn]struct{}{},
		closing:           make(chan struct{}),
		acceptAborted:     make(chan struct{}),
		drainTime:         drainTimeFor(loop.maxTimeout),
		lateAcceptTime:    lateAcceptTime,
		commandTimeout:    commandTimeout,
		acceptBackoff:     acceptBackoff,
		firstCommandGrace: firstCommandGrace,
		lingerTime:        lingerTime,
	}, nil
}

// Run serves until ctx ends, then drains and returns. It returns an error if connections can no longer be
// accepted.
func (s *Server) Run(ctx context.Context) error {
	// The event loop has its own context, because it has to outlive ctx for the drain.
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer func() {
		s.loop.logFinalStatistics()
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

// drainTimeFor returns the time from SIGTERM until the last replies are due. maxTimeout is the longest timeout
// of a request. All requests must be answered before SIGKILL, and the router must still serve clients that
// do not know yet that it terminates.
func drainTimeFor(maxTimeout policy.Time) time.Duration {
	timeout := min(time.Duration(maxTimeout)*time.Microsecond, maxDrainTimeout)
	return max(timeout+lastReplyDelay, lateAcceptTime)
}

// drain answers the accepted requests by the time that the last replies are due. It lets the accept loop
// accept connections for lateAcceptTime, and then those that the kernel has queued. acceptEnded receives a
// value when the accept loop ends.
func (s *Server) drain(acceptEnded <-chan error) {
	s.loop.logger.Info("draining", "connections", s.descriptors.clientConns.Load(), "last_replies_in", s.drainTime)
	lastReplies := time.After(s.drainTime)
	drainTimeout := time.After(s.drainTime + lastWriteTime)
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
		s.stopNewCommands()
	}
	select {
	case <-drained:
	case <-drainTimeout:
		close(s.acceptAborted)
		s.listener.Close()
	}
}

// awaitDrained waits until no more connections are accepted, closes the listener, and waits until
// all client connections are closed.
func (s *Server) awaitDrained(acceptEnded <-chan error) {
	<-acceptEnded
	s.listener.Close()
	s.closeIdleClients() // includes clients accepted since the last call; no more are added
	s.wg.Wait()
}

// stopNewCommands makes the client connections close once all commands that have been read are answered.
// Otherwise a client that sends without a pause would keep its connection open until SIGKILL, which would
// leave commands unanswered.
func (s *Server) stopNewCommands() {
	s.noNewCommands.Store(true)
	s.work.turns.stop() // what has been read has to be answered in time
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.draining.Store(true)
		c.interruptRead()
	}
}

// setAcceptDeadline makes a pending Accept return at the given time. It closes a listener that does not
// support deadlines.
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

// MoveDiscovery makes the router watch another discovery service from now on. The known endpoints stay in use.
func (s *Server) MoveDiscovery(addr string) {
	moved := *s.cfg
	moved.Discovery = addr
	s.loop.post(func() { s.loop.moveDiscovery(&moved) })
}

// Logger returns the router's logger. Its callers do not block, even if nobody reads the log.
func (s *Server) Logger() *slog.Logger { return s.loop.logger.Logger }

// SetLogLevel sets the minimum level of logged lines. The initial level is slog.LevelInfo. At slog.LevelDebug
// the router logs each request, attempt and connection.
func (s *Server) SetLogLevel(level slog.Level) { s.loop.logger.level.Set(level) }

// closeIdleClients makes each client connection close as soon as it has no request in flight.
func (s *Server) closeIdleClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeWhenIdle()
	}
}

// startClient starts the goroutines of an accepted connection, whose descriptor has been acquired. closed tells whether
// the client has closed its side already.
func (s *Server) startClient(nc *socket.Conn, closed bool) {
	c := newClientConn(s, nc, s.acceptStalledSince)
	c.closedEarly = closed
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// removeClient removes a client whose connection is closed and releases its descriptor.
func (s *Server) removeClient(c *clientConn) {
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
	if !c.evicting.Load() {
		s.lastReleaseAt.Store(s.loop.clock())
	}
	s.descriptors.releaseClient()
}
