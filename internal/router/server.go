package router

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"
)

// Server is the router: its listener and its clients' connections round a loop.
type Server struct {
	cfg         *Config
	listener    net.Listener
	loop        *eventLoop
	descriptors *descriptorBudget
	memory      *memoryBudget

	mu             sync.Mutex
	clients        map[*clientConn]struct{}
	wg             sync.WaitGroup // clients' goroutines
	closing        chan struct{}  // closed when none but the connections that queue are taken any more
	ended          chan struct{}  // closed when no more are taken at all
	lateAcceptTime time.Duration  // how long connections are still taken after SIGTERM

	commandTimeout    time.Duration // how long a peer may take over a command
	acceptBackoff     time.Duration // before another try where no descriptor was free
	firstCommandGrace time.Duration // before a connection without a command makes room for others
	lingerTime        time.Duration // for a client to read why its connection is closed
}

// New makes a router and opens its listener.
func New(cfg *Config) (*Server, error) {
	s := &Server{cfg: cfg, descriptors: newDescriptorBudget(cfg.Limits.Sockets), memory: newMemoryBudget(cfg.Limits.MemoryMB),
		clients: map[*clientConn]struct{}{}, closing: make(chan struct{}), ended: make(chan struct{}),
		lateAcceptTime: lateAcceptTime, commandTimeout: commandTimeout,
		acceptBackoff: acceptBackoff, firstCommandGrace: firstCommandGrace, lingerTime: lingerTime}
	var err error
	if s.loop, err = newEventLoop(cfg, s.descriptors); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Run serves until ctx ends, then answers what has come in and returns.
func (s *Server) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		<-s.loop.done
	}()
	go s.loop.run(loopCtx)
	log.Printf("serving on %s", s.listener.Addr())
	failed := make(chan error, 1)
	go func() { failed <- s.acceptLoop() }()
	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	log.Print("draining")
	limit := time.After(time.Duration(s.loop.maxTimeout)*time.Microsecond + drainSlack)
	begun := s.loop.clock()
	time.Sleep(s.lateAcceptTime)
	s.loop.post(func() { s.loop.beginDrain(begun) })
	close(s.closing)
	s.closeIdleClients() // idle clients make room for those that queue
	s.setAcceptDeadline(time.Now())
	select {
	case <-failed:
	case <-limit:
		close(s.ended)
		return nil
	}
	s.listener.Close() // no client is added any more
	s.closeIdleClients()
	gone := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(gone)
	}()
	select {
	case <-gone:
	case <-limit:
	}
	return nil
}

// setAcceptDeadline calls Accept back at the given time; a listener that knows of none is closed.
func (s *Server) setAcceptDeadline(t time.Time) {
	if ln, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(t)
	} else {
		s.listener.Close()
	}
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// MoveDiscovery has the router ask at another address from now on. What it knows stays.
func (s *Server) MoveDiscovery(addr string) {
	moved := *s.cfg
	moved.Discovery = addr
	s.loop.post(func() { s.loop.moveDiscovery(&moved) })
}

// drainClients has each client's connection closed as soon as it is between requests.
func (s *Server) closeIdleClients() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeWhenIdle()
	}
}
