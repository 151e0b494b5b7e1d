package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout limits each wait for an expected condition.
const testTimeout = 30 * time.Second

// failingSystem fails the next calls of each kind with the errors listed for it.
type failingSystem struct {
	Linux
	poll, peek, unacknowledged []error
	pollEvents                 int16 // if not 0, Poll reports these events instead of those of the socket
}

// takeError removes and returns the first of the errors, or returns nil if there are none.
func takeError(errs *[]error) error {
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func (s *failingSystem) Poll(fds []unix.PollFd) (int, error) {
	if err := takeError(&s.poll); err != nil {
		return -1, err
	}
	if s.pollEvents != 0 {
		fds[0].Revents = s.pollEvents
		return 1, nil
	}
	return s.Linux.Poll(fds)
}

func (s *failingSystem) Peek(fd int, b []byte) (int, error) {
	if err := takeError(&s.peek); err != nil {
		return -1, err
	}
	return s.Linux.Peek(fd, b)
}

func (s *failingSystem) UnacknowledgedBytes(fd int) (int, error) {
	if err := takeError(&s.unacknowledged); err != nil {
		return 0, err
	}
	return s.Linux.UnacknowledgedBytes(fd)
}

// newPair returns a connection that makes its system calls through the given system, and the peer's end.
func newPair(t *testing.T, system System) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	conn, err := Accept(system, listener)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn, peer.(*net.TCPConn)
}

// send sends a byte from the peer and waits until the connection has received it.
func send(t *testing.T, conn *Conn, peer *net.TCPConn) {
	t.Helper()
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	await(t, "a byte", func() bool {
		n := 0
		err := conn.raw.Control(func(fd uintptr) { n, _ = Linux{}.Peek(int(fd), make([]byte, 1)) })
		return err == nil && n > 0
	})
}

// await waits until the condition holds, or fails the test after testTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// fillSendBuffer writes until the send buffer is full. The peer must not read.
func fillSendBuffer(t *testing.T, conn *Conn) {
	t.Helper()
	for b := make([]byte, 1<<20); ; {
		n, err := conn.TryWrite(b)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			return
		}
	}
}

// TestLooksAreRepeatedWhenInterrupted guards against a wrong result of a query when a signal interrupts its
// system call.
func TestLooksAreRepeatedWhenInterrupted(t *testing.T) {
	interrupts := []error{syscall.EINTR, syscall.EINTR}
	t.Run("HungUp", func(t *testing.T) {
		system := &failingSystem{}
		conn, peer := newPair(t, system)
		if err := peer.Close(); err != nil {
			t.Fatal(err)
		}
		await(t, "the end", func() bool { hungUp, _ := conn.HungUp(); return hungUp })
		system.poll = interrupts
		if hungUp, err := conn.HungUp(); !hungUp || err != nil {
			t.Errorf("a closed connection: hung up %t, %v", hungUp, err)
		}
	})
	t.Run("MayHaveUnread", func(t *testing.T) {
		system := &failingSystem{}
		conn, peer := newPair(t, system)
		send(t, conn, peer)
		system.peek = interrupts
		if !conn.MayHaveUnread() {
			t.Error("the received byte is not reported")
		}
	})
	t.Run("NothingToRead", func(t *testing.T) {
		system := &failingSystem{}
		conn, peer := newPair(t, system)
		send(t, conn, peer)
		system.peek = interrupts
		if silent, err := conn.NothingToRead(); silent || err != nil {
			t.Error("silent, although a byte has been received")
		}
	})
	t.Run("MayHaveUnacknowledged", func(t *testing.T) {
		system := &failingSystem{}
		conn, _ := newPair(t, system)
		fillSendBuffer(t, conn)
		system.unacknowledged = interrupts
		if !conn.MayHaveUnacknowledged() {
			t.Error("all bytes acknowledged, although the peer reads nothing")
		}
	})
}

// TestFailedLooks guards against taking a failed query for a result that makes the router close a connection or
// write an attempt.
func TestFailedLooks(t *testing.T) {
	for _, failure := range []error{syscall.ENOMEM, syscall.ENOBUFS, syscall.EINVAL} {
		t.Run(failure.Error(), func(t *testing.T) {
			system := &failingSystem{
				poll:           []error{failure},
				peek:           []error{failure, failure}, // one for each query that peeks
				unacknowledged: []error{failure},
			}
			conn, _ := newPair(t, system)
			if hungUp, err := conn.HungUp(); hungUp || !errors.Is(err, failure) {
				t.Errorf("hung up %t, %v", hungUp, err)
			}
			if !conn.MayHaveUnread() {
				t.Error("nothing unread")
			}
			if silent, _ := conn.NothingToRead(); silent {
				t.Error("silent")
			}
			if !conn.MayHaveUnacknowledged() {
				t.Error("all acknowledged")
			}
		})
	}
}

// TestBrokenConnectionIsHungUp checks that each poll event for a closed or broken connection is taken for a hangup.
func TestBrokenConnectionIsHungUp(t *testing.T) {
	for name, events := range map[string]int16{
		"error":  unix.POLLERR,
		"hangup": unix.POLLHUP,
		"both":   unix.POLLERR | unix.POLLHUP,
		"reader": unix.POLLRDHUP,
	} {
		conn, _ := newPair(t, &failingSystem{pollEvents: events})
		if hungUp, err := conn.HungUp(); !hungUp || err != nil {
			t.Errorf("%s: hung up %t, %v", name, hungUp, err)
		}
	}
}

// TestInterruptsWithoutEnd guards against an endless loop or a wrong result when a signal interrupts every
// attempt of a system call.
func TestInterruptsWithoutEnd(t *testing.T) {
	system := &failingSystem{}
	for range 10 * maxInterrupts {
		system.poll = append(system.poll, syscall.EINTR)
	}
	conn, _ := newPair(t, system)
	if hungUp, err := conn.HungUp(); hungUp || !errors.Is(err, syscall.EINTR) {
		t.Errorf("hung up %t, %v", hungUp, err)
	}
}
