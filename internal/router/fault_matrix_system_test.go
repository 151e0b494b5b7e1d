package router

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// faultTarget is where the faults of a cell of the matrix happen.
type faultTarget string

const (
	targetAccept        faultTarget = "accept"
	targetConnect       faultTarget = "connect"
	targetClientRead    faultTarget = "client read"
	targetClientWrite   faultTarget = "client write"
	targetUpstreamRead  faultTarget = "upstream read"
	targetUpstreamWrite faultTarget = "upstream write"
	targetDiscovery     faultTarget = "discovery"
)

// faultKind is what happens there.
type faultKind string

const (
	faultTransient   faultKind = "transient error"
	faultInterrupted faultKind = "EINTR"
	faultShortCount  faultKind = "short count"
	faultReset       faultKind = "reset"
	faultTimeout     faultKind = "timeout error"
	faultStall       faultKind = "stall"
)

const (
	stallTime         = 150 * time.Millisecond // for which the operators may stall a router
	connectionFaults  = 2                      // connections that one cell resets
	stallsPerCall     = 2                      // stalls of each kind of call in one cell
	faultInterval     = 3                      // every so manieth call of a kind has a fault
	shortCounts       = 400                    // calls that transfer few bytes, in one cell
	maxShortCount     = 7                      // bytes that such a call transfers at most
	firstTransfers    = 6                      // of an accepted or dialed connection, that may be short
	listenerErrorStep = 2                      // every so manieth accept or dial has a fault
)

// matrixSystem is a faulty system that knows on which side of the router each connection is, and
// reports to the oracle what the router reads and writes.
type matrixSystem struct {
	*faultySystem
	oracle *oracle
	target faultTarget
	kind   faultKind

	crossing atomic.Pointer[closeCrossing] // nil if no client waits to cross a close

	mu     sync.Mutex
	peers  map[int]*matrixPeer // by descriptor
	counts map[systemCall]int  // calls at the target
	faults map[systemCall]int  // of these, calls with a fault
}

// matrixPeer is the far side of a connection of the router.
type matrixPeer struct {
	isClient  bool
	addr      string // of the client's side, or the upstreamKey of a connection to a cache
	transfers int    // reads and writes so far
}

// useMatrixSystem has a server that does not run yet make its system calls with the faults of a cell.
func useMatrixSystem(srv *Server, o *oracle, target faultTarget, kind faultKind) *matrixSystem {
	s := &matrixSystem{
		faultySystem: useFaultySystem(srv),
		oracle:       o,
		target:       target,
		kind:         kind,
		peers:        map[int]*matrixPeer{},
		counts:       map[systemCall]int{},
		faults:       map[systemCall]int{},
	}
	s.decide = s.decideFault
	srv.system, srv.loop.system = s, s
	return s
}

// Accept implements socket.System.
func (s *matrixSystem) Accept(listener net.Listener) (net.Conn, error) {
	nc, err := s.faultySystem.Accept(listener)
	if err == nil {
		s.register(nc, &matrixPeer{isClient: true, addr: nc.RemoteAddr().String()})
	}
	return nc, err
}

// Dial implements socket.System.
func (s *matrixSystem) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	nc, err := s.faultySystem.Dial(addr, timeout)
	if err == nil {
		s.register(nc, &matrixPeer{addr: upstreamKey(nc.LocalAddr(), nc.RemoteAddr())})
	}
	return nc, err
}

// register notes the far side of a connection that the router does not use yet.
func (s *matrixSystem) register(nc net.Conn, peer *matrixPeer) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return // the router sees the same error
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		s.mu.Lock()
		defer s.mu.Unlock()
		s.peers[int(fd)] = peer
	})
}

func (s *matrixSystem) peer(fd int) matrixPeer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.peers[fd]
}

// Read implements socket.System.
func (s *matrixSystem) Read(fd int, b []byte) (int, error) {
	n, err := s.faultySystem.Read(fd, b)
	if peer := s.peer(fd); peer.isClient && n > 0 {
		s.oracle.routerRead(peer.addr, n)
	}
	return n, err
}

// Write implements socket.System.
func (s *matrixSystem) Write(fd int, b []byte) (int, error) {
	peer := s.peer(fd)
	if peer.isClient {
		return s.faultySystem.Write(fd, b)
	}
	s.oracle.upstreamWriteBegins(peer.addr)
	n, err := s.faultySystem.Write(fd, b)
	s.oracle.upstreamWrote(peer.addr, b[:max(n, 0)])
	return n, err
}

// closeCrossing is a client that is to write just after the router has seen that nothing has arrived
// from it.
type closeCrossing struct {
	addr  string        // of the client's side
	write chan struct{} // closed when it is to write
}

// Peek implements socket.System. If a client is to cross the close of its connection, it does so
// behind this look.
func (s *matrixSystem) Peek(fd int, b []byte) (int, error) {
	n, err := s.faultySystem.Peek(fd, b)
	crossing := s.crossing.Load()
	if crossing == nil || !errors.Is(err, syscall.EAGAIN) || s.peer(fd).addr != crossing.addr {
		return n, err
	}
	if s.crossing.CompareAndSwap(crossing, nil) {
		read := s.oracle.bytesReadFrom(crossing.addr)
		close(crossing.write)
		s.awaitBytes(fd, crossing.addr, read)
	}
	return n, err
}

// awaitBytes waits until something has arrived on a connection from a client, or has already been
// read beyond the given number of bytes.
func (s *matrixSystem) awaitBytes(fd int, addr string, read int64) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	expired := time.After(testTimeout)
	for {
		n, err := s.Linux.Peek(fd, make([]byte, 1))
		if n > 0 || !errors.Is(err, syscall.EAGAIN) || s.oracle.bytesReadFrom(addr) > read {
			return
		}
		select {
		case <-ticker.C:
		case <-expired:
			return
		}
	}
}

// isAtTarget reports whether a call is one of those that the cell disturbs. Looks at a connection go
// with its reads. A short count of accept or connect is one of the first transfers thereafter.
func (s *matrixSystem) isAtTarget(call systemCall, peer matrixPeer) bool {
	switch s.target {
	case targetAccept:
		return call == callAccept || peer.isClient && s.isFirstTransfer(call, peer)
	case targetConnect:
		return call == callDial || !peer.isClient && s.isFirstTransfer(call, peer)
	case targetClientRead:
		return peer.isClient && isLook(call)
	case targetClientWrite:
		return peer.isClient && call == callWrite
	case targetUpstreamRead:
		return !peer.isClient && isLook(call)
	case targetUpstreamWrite:
		return !peer.isClient && call == callWrite
	default:
		return false
	}
}

// isFirstTransfer reports whether a call is a transfer that is short because the connection is new.
func (s *matrixSystem) isFirstTransfer(call systemCall, peer matrixPeer) bool {
	return s.kind == faultShortCount && isTransfer(call) && peer.transfers < firstTransfers
}

func isTransfer(call systemCall) bool { return call == callRead || call == callWrite }

func isLook(call systemCall) bool {
	switch call {
	case callRead, callPeek, callPoll, callUnacknowledged:
		return true
	default:
		return false
	}
}

// decideFault returns the fault of a call, or nil.
func (s *matrixSystem) decideFault(call systemCall, fd int) *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, isConn := s.peers[fd]
	if !isConn && call != callAccept && call != callDial {
		return nil // a look at the listener
	}
	var peer matrixPeer
	if isConn {
		peer = *known
	}
	if isTransfer(call) {
		known.transfers++
	}
	if !s.isAtTarget(call, peer) {
		return nil
	}
	number := s.counts[call]
	s.counts[call]++
	f := s.faultOf(call, peer, number)
	if f != nil {
		s.faults[call]++
	}
	return f
}

// faultOf returns the fault of the call at the target that has the given number, from 0.
func (s *matrixSystem) faultOf(call systemCall, peer matrixPeer, number int) *fault {
	step := faultInterval
	if call == callAccept || call == callDial {
		step = listenerErrorStep
	}
	if number%step != step-1 {
		return s.shortCount(call, number)
	}
	switch s.kind {
	case faultTransient:
		return &fault{err: transientErrors(call)[number/step%2]}
	case faultInterrupted:
		return &fault{err: syscall.EINTR}
	case faultReset:
		return s.connectionError(call, peer, syscall.ECONNRESET)
	case faultTimeout:
		return s.connectionError(call, peer, syscall.ETIMEDOUT)
	case faultStall:
		if s.faults[call] < stallsPerCall {
			return &fault{resume: stallEnd()}
		}
	}
	return s.shortCount(call, number)
}

// stallEnd returns a channel that is closed when a stall is over.
func stallEnd() chan struct{} {
	end := make(chan struct{})
	time.AfterFunc(stallTime, func() { close(end) })
	return end
}

// shortCount has reads and writes transfer few bytes where the cell says so.
func (s *matrixSystem) shortCount(call systemCall, number int) *fault {
	if s.kind != faultShortCount || !isTransfer(call) || s.faults[call] >= shortCounts {
		return nil
	}
	return &fault{maxBytes: 1 + number%maxShortCount}
}

// transientErrors returns two errors of a call that are over when the call is repeated.
func transientErrors(call systemCall) [2]error {
	switch call {
	case callAccept:
		return [2]error{unix.ECONNABORTED, unix.ENFILE}
	case callDial:
		return [2]error{unix.EADDRNOTAVAIL, unix.ENETUNREACH}
	default:
		return [2]error{unix.ENOBUFS, unix.ENOMEM}
	}
}

// connectionError breaks a connection: the client's side too, as the call alone would leave a client
// connected. Looks at a connection do not return such errors.
func (s *matrixSystem) connectionError(call systemCall, peer matrixPeer, err error) *fault {
	if s.faults[call] >= connectionFaults || call == callPeek || call == callPoll || call == callUnacknowledged {
		return nil
	}
	if peer.isClient && !s.oracle.breakConnection(peer.addr) {
		return nil
	}
	return &fault{err: err}
}

// faultCount returns how many calls had a fault.
func (s *matrixSystem) faultCount() (total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.faults {
		total += n
	}
	return total
}
