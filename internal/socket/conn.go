package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangupEvents are the poll events for a peer that has closed its side of the connection and for a broken
// connection.
const hangupEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// maxInterrupts limits how often a system call that a signal has interrupted is retried immediately.
const maxInterrupts = 100

// Conn is a TCP connection. Its methods may be called concurrently.
type Conn struct {
	tcp    *net.TCPConn
	raw    syscall.RawConn
	system System
}

// NotTCPError reports a connection that is not a TCP connection.
type NotTCPError struct{ Conn net.Conn }

// Error describes the connection by its Go type.
func (e *NotTCPError) Error() string { return fmt.Sprintf("%T is not a TCP connection", e.Conn) }

// NewConn wraps a TCP connection. If it returns an error, it has closed the connection.
func NewConn(nc net.Conn, system System) (*Conn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		nc.Close()
		return nil, &NotTCPError{nc}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &Conn{tcp: tcp, raw: raw, system: system}, nil
}

// Accept waits for the next connection on a listener.
func Accept(system System, listener net.Listener) (*Conn, error) {
	nc, err := system.Accept(listener)
	if err != nil {
		return nil, err
	}
	return NewConn(nc, system)
}

// Dial connects to an address. It fails if that takes longer than the timeout.
func Dial(system System, addr string, timeout time.Duration) (*Conn, error) {
	nc, err := system.Dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	return NewConn(nc, system)
}

// Read implements io.Reader. It waits until data has been received or the read deadline has passed.
func (c *Conn) Read(b []byte) (int, error) {
	return c.readWith(func(fd int) (int, error) { return c.readNonblocking(fd, b) })
}

// ReadWhile is like Read, but calls allowed before each attempt to read from the socket, and foundNothing after
// each attempt at which there was nothing to read. If allowed returns false, it reads nothing and returns
// os.ErrDeadlineExceeded. A read deadline alone does not ensure that nothing is read after it: if data is
// received at the moment when the deadline passes, the pending read may wake up for either.
func (c *Conn) ReadWhile(b []byte, allowed func() bool, foundNothing func()) (int, error) {
	return c.readWith(func(fd int) (int, error) {
		if !allowed() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.readNonblocking(fd, b)
		if errors.Is(err, syscall.EAGAIN) {
			foundNothing()
		}
		return n, err
	})
}

// ReadLocked is like Read, but holds the lock while it reads from the socket. If it has read any bytes, it
// calls received before it releases the lock. It does not hold the lock while it waits for data.
func (c *Conn) ReadLocked(b []byte, lock sync.Locker, received func()) (int, error) {
	return c.readWith(func(fd int) (int, error) {
		lock.Lock()
		defer lock.Unlock()
		n, err := c.readNonblocking(fd, b)
		if n > 0 {
			received()
		}
		return n, err
	})
}

// readWith calls the non-blocking function read until it has read data or failed permanently.
func (c *Conn) readWith(read func(fd int) (int, error)) (n int, err error) {
	var backoff transientBackoff
	for {
		n, err = c.readWhenReady(read)
		if !backoff.waitToRetry(err) {
			return n, err
		}
	}
}

// readWhenReady calls the non-blocking function read whenever the socket is readable, until it has read data
// or failed. It returns io.EOF at the end of the stream.
func (c *Conn) readWhenReady(read func(fd int) (int, error)) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = read(int(fd))
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// ReadAvailable reads bytes that have been received, without blocking and regardless of the read deadline. It
// returns 0 and no error if there are none.
func (c *Conn) ReadAvailable(b []byte) (n int, err error) {
	var backoff transientBackoff
	for {
		controlErr := c.raw.Control(func(fd uintptr) { n, err = c.readNonblocking(int(fd), b) })
		switch {
		case controlErr != nil:
			return 0, controlErr
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err == nil && n == 0:
			return 0, io.EOF
		case !backoff.waitToRetry(err):
			return n, err
		}
	}
}

// readNonblocking reads received bytes without blocking.
func (c *Conn) readNonblocking(fd int, b []byte) (n int, err error) {
	err = retryInterrupted(func() error {
		n, err = c.system.Read(fd, b)
		return err
	})
	return max(n, 0), err
}

// Write implements io.Writer. It waits until all bytes are written or the write deadline has passed.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	var backoff transientBackoff
	for {
		n, err := c.writeUntilError(b[written:])
		written += n
		if !backoff.waitToRetry(err) {
			return written, err
		}
	}
}

// writeUntilError writes until all bytes are written, a write fails or the write deadline has passed.
func (c *Conn) writeUntilError(b []byte) (written int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) (done bool) {
		for written < len(b) && err == nil {
			var n int
			n, err = c.writeNonblocking(int(fd), b[written:])
			written += n
		}
		if errors.Is(err, syscall.EAGAIN) {
			err = nil
			return false
		}
		return true
	})
	return written, errors.Join(waitErr, err)
}

// TryWrite writes as much as fits into the send buffer, without blocking. It returns 0 and no error if the
// buffer is full.
func (c *Conn) TryWrite(b []byte) (n int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) (done bool) {
		n, err = c.writeNonblocking(int(fd), b)
		return true
	})
	if errors.Is(err, syscall.EAGAIN) {
		return 0, nil
	}
	return n, errors.Join(waitErr, err)
}

// writeNonblocking writes as much as fits into the send buffer, without blocking.
func (c *Conn) writeNonblocking(fd int, b []byte) (n int, err error) {
	err = retryInterrupted(func() error {
		n, err = c.system.Write(fd, b)
		return err
	})
	return max(n, 0), err
}

// NothingToRead reports whether there is nothing to read: neither unread bytes nor the end of the stream. If
// the query failed, it returns false, and also the error if that is transient.
func (c *Conn) NothingToRead() (bool, error) {
	_, err := c.peek()
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return true, nil
	case IsTransient(err):
		return false, err
	default:
		return false, nil
	}
}

// MayHaveUnread reports whether there are unread bytes. It also returns true if the query failed.
func (c *Conn) MayHaveUnread() bool {
	n, err := c.peek()
	return n > 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
}

// HasUnreadBytes reports whether there are unread bytes. It returns false if the query failed.
func (c *Conn) HasUnreadBytes() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek returns 1 if there is an unread byte, without reading it, and 0 at the end of the stream. If there is
// nothing to read, it returns EAGAIN.
func (c *Conn) peek() (n int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		err = retryInterrupted(func() error {
			n, err = c.system.Peek(int(fd), make([]byte, 1))
			return err
		})
	})
	return n, errors.Join(controlErr, err)
}

// MayHaveUnacknowledged reports whether the peer's machine has not acknowledged all written bytes. It also
// returns true if the query failed.
func (c *Conn) MayHaveUnacknowledged() bool {
	n := 0
	var queryErr error
	err := c.raw.Control(func(fd uintptr) {
		queryErr = retryInterrupted(func() error {
			n, queryErr = c.system.UnacknowledgedBytes(int(fd))
			return queryErr
		})
	})
	return errors.Join(err, queryErr) != nil || n > 0
}

// LastDataAge returns how long ago the last bytes were received, whether they have been read or not, and how many
// segments with data have been received so far.
func (c *Conn) LastDataAge() (age time.Duration, segments int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		age, segments, err = c.system.LastDataAge(int(fd))
	})
	return age, segments, errors.Join(controlErr, err)
}

// Age returns how long ago the connection was established, if nothing has been sent on it.
func (c *Conn) Age() (age time.Duration, err error) {
	controlErr := c.raw.Control(func(fd uintptr) { age, err = c.system.ConnectionAge(int(fd)) })
	return age, errors.Join(controlErr, err)
}

// WindowFitsSegment reports whether the receive window that the peer was told last has room for each segment that the
// peer sends. It returns false if the system does not report the window.
func (c *Conn) WindowFitsSegment() (fits bool, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		var window, maxSegment int
		window, maxSegment, err = c.system.ReceiveWindow(int(fd))
		fits = window >= maxSegment && window > 0
	})
	return fits, errors.Join(controlErr, err)
}

// PeerState is the state of the peer as far as the socket shows it.
type PeerState struct {
	HungUp   bool // the peer has closed its side of the connection or reset it
	Broken   bool // the connection has been reset, or was closed on this side
	Readable bool // there is something to read; the end of the stream may follow unread bytes
}

// PeerState returns the state of the peer. If the connection was closed on this side, the peer counts as
// hung up.
func (c *Conn) PeerState() (peer PeerState, err error) {
	controlErr := c.raw.Control(func(fd uintptr) { peer, err = c.pollPeer(int(fd)) })
	if controlErr != nil {
		return PeerState{HungUp: true, Broken: true}, nil
	}
	return peer, err
}

// HungUp reports whether the peer has closed its side of the connection or reset it, even if there are
// unread bytes that it sent before. It returns an error if the query failed.
func (c *Conn) HungUp() (hungUp bool, err error) {
	peer, err := c.PeerState()
	return peer.HungUp, err
}

// pollPeer queries the state of the peer with poll.
func (c *Conn) pollPeer(fd int) (PeerState, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	err := retryInterrupted(func() error {
		_, err := c.system.Poll(fds)
		return err
	})
	if err != nil {
		return PeerState{}, err
	}
	events := fds[0].Revents
	return PeerState{
		HungUp:   events&hangupEvents != 0,
		Broken:   events&(unix.POLLHUP|unix.POLLERR) != 0,
		Readable: events&unix.POLLIN != 0,
	}, nil
}

// UnreadBytes returns how many bytes have been received and not yet read.
func (c *Conn) UnreadBytes() (n int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		err = retryInterrupted(func() error {
			n, err = c.system.UnreadBytes(int(fd))
			return err
		})
	})
	return n, errors.Join(controlErr, err)
}

// AwaitHangup waits until the peer has hung up or the read deadline has passed. It reads nothing: bytes
// received in the meantime remain unread.
func (c *Conn) AwaitHangup() error {
	return c.await(func(peer PeerState) bool { return peer.HungUp })
}

// AwaitReadable waits until there is something to read, the peer has hung up or the read deadline has passed.
func (c *Conn) AwaitReadable() error {
	return c.await(func(peer PeerState) bool { return peer.HungUp || peer.Readable })
}

// await waits until the condition holds for the state of the peer or the read deadline has passed.
func (c *Conn) await(condition func(PeerState) bool) error {
	return c.raw.Read(func(fd uintptr) (done bool) {
		peer, err := c.pollPeer(int(fd))
		return err == nil && condition(peer)
	})
}

// SetReadDeadline sets the deadline of pending and future reads. The zero time means no deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) {
	_ = c.tcp.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports
}

// SetWriteDeadline sets the deadline of pending and future writes. The zero time means no deadline.
func (c *Conn) SetWriteDeadline(deadline time.Time) {
	_ = c.tcp.SetWriteDeadline(deadline) // fails only on a closed connection, which the write reports
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// CloseWrite shuts down the sending side of the connection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// Close closes the connection. Closing it again has no effect.
func (c *Conn) Close() {
	_ = c.tcp.Close() // the connection is no longer used, so an error has no consequence
}

// retryInterrupted makes a system call and retries it if a signal interrupts it. After maxInterrupts retries,
// it returns EINTR.
func retryInterrupted(call func() error) error {
	err := call()
	for range maxInterrupts {
		if !errors.Is(err, syscall.EINTR) {
			break
		}
		err = call()
	}
	return err
}
