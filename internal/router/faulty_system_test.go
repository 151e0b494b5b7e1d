package router

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/socket"
)

// systemCall names a call of socket.System.
type systemCall string

const (
	callAccept         systemCall = "accept"
	callDial           systemCall = "dial"
	callRead           systemCall = "read"
	callWrite          systemCall = "write"
	callPeek           systemCall = "peek"
	callPoll           systemCall = "poll"
	callUnacknowledged systemCall = "unacknowledged bytes"
	callUnreadBytes    systemCall = "unread bytes"
	callLastDataAge    systemCall = "last data age"
	callConnectionAge  systemCall = "connection age"
	callReceiveWindow  systemCall = "receive window"
)

// fault is what happens to one system call. If err is nil, the call is made.
type fault struct {
	err      error
	maxBytes int           // if positive, the most that a read or write transfers: a short count
	reached  chan struct{} // if not nil, closed when the call is reached
	resume   chan struct{} // if not nil, the call waits until it is closed: a stall without a sleep
	after    bool          // the stall follows a read that has found bytes, in place of preceding the call
}

// stall closes reached and waits for resume.
func (f fault) stall() {
	if f.reached != nil {
		close(f.reached)
	}
	if f.resume != nil {
		<-f.resume
	}
}

// faultySystem makes system calls with scripted faults. For a call without a scripted fault it uses the
// result of decide, if that is set; nil means no fault. The fd given to decide is 0 for calls that have no
// descriptor.
type faultySystem struct {
	socket.Linux
	mu     sync.Mutex
	script map[systemCall][]fault
	calls  map[systemCall]int
	decide func(call systemCall, fd int) *fault

	bytesRead            atomic.Int64 // by all reads, not by peeks
	bytesReadAtEmptyRead atomic.Int64 // value of bytesRead at the last read that found nothing
}

func newFaultySystem() *faultySystem {
	return &faultySystem{script: map[systemCall][]fault{}, calls: map[systemCall]int{}}
}

// inject appends faults to the script for the next calls of a kind.
func (s *faultySystem) inject(call systemCall, faults ...fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script[call] = append(s.script[call], faults...)
}

// injectError makes the next count calls of a kind fail.
func (s *faultySystem) injectError(call systemCall, err error, count int) {
	for range count {
		s.inject(call, fault{err: err})
	}
}

// setDecide sets decide in a system that is in use.
func (s *faultySystem) setDecide(decide func(call systemCall, fd int) *fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

// clear removes the scripted faults of a kind that have not happened yet.
func (s *faultySystem) clear(call systemCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script[call] = nil
}

// callCount returns how many calls of a kind were made, those with faults included.
func (s *faultySystem) callCount(call systemCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// pending returns how many scripted faults of a kind have not happened yet.
func (s *faultySystem) pending(call systemCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.script[call])
}

// nextFault counts a call and returns its fault. If the fault is a stall, it returns when the stall ends.
func (s *faultySystem) nextFault(call systemCall, fd int) fault {
	s.mu.Lock()
	s.calls[call]++
	var f fault
	if len(s.script[call]) > 0 {
		f, s.script[call] = s.script[call][0], s.script[call][1:]
	} else if s.decide != nil {
		if decided := s.decide(call, fd); decided != nil {
			f = *decided
		}
	}
	s.mu.Unlock()
	if !f.after {
		f.stall()
	}
	return f
}

// limit returns the part of a buffer that the call may transfer.
func (f fault) limit(b []byte) []byte {
	if f.maxBytes > 0 {
		return b[:min(len(b), f.maxBytes)]
	}
	return b
}

func (s *faultySystem) Accept(listener net.Listener) (net.Conn, error) {
	if f := s.nextFault(callAccept, 0); f.err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: f.err}
	}
	return s.Linux.Accept(listener)
}

func (s *faultySystem) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	if f := s.nextFault(callDial, 0); f.err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: f.err}
	}
	return s.Linux.Dial(addr, timeout)
}

func (s *faultySystem) Read(fd int, b []byte) (int, error) {
	f := s.nextFault(callRead, fd)
	if f.err != nil {
		return -1, f.err
	}
	n, err := s.Linux.Read(fd, f.limit(b))
	total := s.bytesRead.Add(int64(max(n, 0)))
	switch {
	case errors.Is(err, unix.EAGAIN):
		s.bytesReadAtEmptyRead.Store(total)
	case f.after:
		f.stall()
	}
	return n, err
}

func (s *faultySystem) Write(fd int, b []byte) (int, error) {
	f := s.nextFault(callWrite, fd)
	if f.err != nil {
		return -1, f.err
	}
	return s.Linux.Write(fd, f.limit(b))
}

func (s *faultySystem) Peek(fd int, b []byte) (int, error) {
	if f := s.nextFault(callPeek, fd); f.err != nil {
		return -1, f.err
	}
	return s.Linux.Peek(fd, b)
}

func (s *faultySystem) Poll(fds []unix.PollFd) (int, error) {
	if f := s.nextFault(callPoll, int(fds[0].Fd)); f.err != nil {
		return -1, f.err
	}
	return s.Linux.Poll(fds)
}

func (s *faultySystem) UnacknowledgedBytes(fd int) (int, error) {
	if f := s.nextFault(callUnacknowledged, fd); f.err != nil {
		return 0, f.err
	}
	return s.Linux.UnacknowledgedBytes(fd)
}

func (s *faultySystem) UnreadBytes(fd int) (int, error) {
	if f := s.nextFault(callUnreadBytes, fd); f.err != nil {
		return 0, f.err
	}
	return s.Linux.UnreadBytes(fd)
}

func (s *faultySystem) LastDataAge(fd int) (age time.Duration, segments int, err error) {
	if f := s.nextFault(callLastDataAge, fd); f.err != nil {
		return 0, 0, f.err
	}
	return s.Linux.LastDataAge(fd)
}

func (s *faultySystem) ConnectionAge(fd int) (time.Duration, error) {
	if f := s.nextFault(callConnectionAge, fd); f.err != nil {
		return 0, f.err
	}
	return s.Linux.ConnectionAge(fd)
}

func (s *faultySystem) ReceiveWindow(fd int) (window, maxSegment int, err error) {
	if f := s.nextFault(callReceiveWindow, fd); f.err != nil {
		return 0, 0, f.err
	}
	return s.Linux.ReceiveWindow(fd)
}

// useFaultySystem makes a server that has not been started use a faulty system for its system calls.
func useFaultySystem(srv *Server) *faultySystem {
	system := newFaultySystem()
	srv.system, srv.loop.system = system, system
	return system
}

// TestFaultySystem checks that a scripted fault happens once.
func TestFaultySystem(t *testing.T) {
	system := newFaultySystem()
	system.injectError(callDial, unix.ENOBUFS, 1)
	if _, err := system.Dial("127.0.0.1:1", testTimeout); !errors.Is(err, unix.ENOBUFS) {
		t.Errorf("dial: %v", err)
	}
	if _, err := system.Dial(newFakeCache(t).addr(), testTimeout); err != nil {
		t.Errorf("the next dial: %v", err)
	}
	if system.callCount(callDial) != 2 || system.pending(callDial) != 0 {
		t.Errorf("%d calls, %d faults pending", system.callCount(callDial), system.pending(callDial))
	}
}
