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

// hangupEvents show that the peer has closed its side of a connection or that the connection is broken.
const hangupEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// maxInterrupts bounds how often a system call is repeated at once that a signal has interrupted.
const maxInterrupts = 100

// Conn is a TCP connection. Its methods may be called from several goroutines.
type Conn struct {
	tcp    *net.TCPConn
	raw    syscall.RawConn
	system System
}

// NotTCPError reports a connection that is no TCP connection.
type NotTCPError struct{ Conn net.Conn }

// Error names the connection's type.
func (e *NotTCPError) Error() string { return fmt.Sprintf("%T is no TCP connection", e.Conn) }

// NewConn wraps a connection. If it fails, it has closed the connection.
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

// Accept waits for the next connection of a listener.
func Accept(system System, listener net.Listener) (*Conn, error) {
	nc, err := system.Accept(listener)
	if err != nil {
		return nil, err
	}
	return NewConn(nc, system)
}

// Dial connects to an address, within the timeout.
func Dial(system System, addr string, timeout time.Duration) (*Conn, error) {
	nc, err := system.Dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	return NewConn(nc, system)
}

// Read implements io.Reader. It waits until something has arrived or the read deadline has passed.
func (c *Conn) Read(b []byte) (int, error) {
	return c.readWith(func(fd int) (int, error) { return c.readNow(fd, b) })
}

// ReadWhile is like Read, but reads nothing once it is no longer allowed, also where bytes have arrived in
// the moment in which a deadline interrupted it: the system then wakes it for either. It returns
// os.ErrDeadlineExceeded.
func (c *Conn) ReadWhile(b []byte, allowed func() bool) (int, error) {
	return c.readWith(func(fd int) (int, error) {
		if !allowed() {
			return 0, os.ErrDeadlineExceeded
		}
		return c.readNow(fd, b)
	})
}

// ReadLocked reads like Read. It holds the lock while it reads from the socket, and calls received
// before it releases the lock if bytes have arrived.
func (c *Conn) ReadLocked(b []byte, lock sync.Locker, received func()) (int, error) {
	return c.readWith(func(fd int) (int, error) {
		lock.Lock()
		defer lock.Unlock()
		n, err := c.readNow(fd, b)
		if n > 0 {
			received()
		}
		return n, err
	})
}

// readWith waits until read, which does not wait, has read something or failed for good.
func (c *Conn) readWith(read func(fd int) (int, error)) (n int, err error) {
	var backoff transientBackoff
	for {
		n, err = c.readOnceReady(read)
		if !backoff.wait(err) {
			return n, err
		}
	}
}

// readOnceReady waits until read, which does not wait, has read something or failed.
func (c *Conn) readOnceReady(read func(fd int) (int, error)) (n int, err error) {
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

// ReadArrived reads what has arrived, without waiting for more and whatever the read deadline is. It
// returns neither bytes nor an error if nothing has arrived.
func (c *Conn) ReadArrived(b []byte) (n int, err error) {
	var backoff transientBackoff
	for {
		controlErr := c.raw.Control(func(fd uintptr) { n, err = c.readNow(int(fd), b) })
		switch {
		case controlErr != nil:
			return 0, controlErr
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err == nil && n == 0:
			return 0, io.EOF
		case !backoff.wait(err):
			return n, err
		}
	}
}

// readNow reads what has arrived, without waiting.
func (c *Conn) readNow(fd int, b []byte) (n int, err error) {
	err = retryInterrupted(func() error {
		n, err = c.system.Read(fd, b)
		return err
	})
	return max(n, 0), err
}

// Write implements io.Writer. It waits until all is written or the write deadline has passed.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	var backoff transientBackoff
	for {
		n, err := c.writeUntilError(b[written:])
		written += n
		if !backoff.wait(err) {
			return written, err
		}
	}
}

// writeUntilError writes until all is written, a write fails, or the write deadline has passed.
func (c *Conn) writeUntilError(b []byte) (written int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) (done bool) {
		for written < len(b) && err == nil {
			var n int
			n, err = c.writeNow(int(fd), b[written:])
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

// TryWrite writes what the socket takes, without waiting.
func (c *Conn) TryWrite(b []byte) (n int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) (done bool) {
		n, err = c.writeNow(int(fd), b)
		return true
	})
	if errors.Is(err, syscall.EAGAIN) {
		return 0, nil
	}
	return n, errors.Join(waitErr, err)
}

// writeNow writes as much as the socket takes, without waiting.
func (c *Conn) writeNow(fd int, b []byte) (n int, err error) {
	err = retryInterrupted(func() error {
		n, err = c.system.Write(fd, b)
		return err
	})
	return max(n, 0), err
}

// IsSilent reports whether neither bytes nor the end of the connection have arrived that are not
// read yet. It fails if that cannot be told for a moment.
func (c *Conn) IsSilent() (bool, error) {
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

// HasUnread reports whether bytes have been received that are not read yet, or that cannot be told.
func (c *Conn) HasUnread() bool {
	n, err := c.peek()
	return n > 0 || err != nil && !errors.Is(err, syscall.EAGAIN)
}

// HasBytes reports whether bytes are known to have been received that are not read yet.
func (c *Conn) HasBytes() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for a byte that has arrived, without reading it.
func (c *Conn) peek() (n int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		err = retryInterrupted(func() error {
			n, err = c.system.Peek(int(fd), make([]byte, 1))
			return err
		})
	})
	return n, errors.Join(controlErr, err)
}

// HasUnacknowledged reports whether the peer's machine has yet to acknowledge some of what was
// written, or that cannot be told.
func (c *Conn) HasUnacknowledged() bool {
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

// LastDataAge returns how long ago the last bytes arrived, whether they have been read or not.
func (c *Conn) LastDataAge() (age time.Duration, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		age, err = c.system.LastDataAge(int(fd))
	})
	return age, errors.Join(controlErr, err)
}

// Peer is what a socket shows of its peer.
type Peer struct {
	HungUp  bool // it has closed its side of the connection or reset it
	HasSent bool // bytes of it are unread; its end may be hidden behind them
}

// LookAtPeer returns what the socket shows of the peer. A connection that was closed on this side counts as
// hung up.
func (c *Conn) LookAtPeer() (peer Peer, err error) {
	controlErr := c.raw.Control(func(fd uintptr) { peer, err = c.peerNow(int(fd)) })
	if controlErr != nil {
		return Peer{HungUp: true}, nil
	}
	return peer, err
}

// HungUp reports whether the peer has closed its side of the connection or reset it, even if bytes
// that were sent before are not read yet. It fails if that cannot be told.
func (c *Conn) HungUp() (hungUp bool, err error) {
	peer, err := c.LookAtPeer()
	return peer.HungUp, err
}

func (c *Conn) peerNow(fd int) (Peer, error) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	err := retryInterrupted(func() error {
		_, err := c.system.Poll(fds)
		return err
	})
	if err != nil {
		return Peer{}, err
	}
	events := fds[0].Revents
	return Peer{HungUp: events&hangupEvents != 0, HasSent: events&unix.POLLIN != 0}, nil
}

// UnreadBytes returns how many bytes of the peer have arrived and are not read.
func (c *Conn) UnreadBytes() (n int, err error) {
	controlErr := c.raw.Control(func(fd uintptr) {
		err = retryInterrupted(func() error {
			n, err = c.system.UnreadBytes(int(fd))
			return err
		})
	})
	return n, errors.Join(controlErr, err)
}

// AwaitHangup waits until the peer has hung up or the read deadline has passed. What arrives meanwhile
// stays unread.
func (c *Conn) AwaitHangup() error {
	return c.await(func(peer Peer) bool { return peer.HungUp })
}

// AwaitReadable waits until something has arrived, the peer has hung up or the read deadline has passed.
func (c *Conn) AwaitReadable() error {
	return c.await(func(peer Peer) bool { return peer.HungUp || peer.HasSent })
}

// await waits until the condition holds or the read deadline has passed.
func (c *Conn) await(condition func(Peer) bool) error {
	return c.raw.Read(func(fd uintptr) (done bool) {
		peer, err := c.peerNow(int(fd))
		return err == nil && condition(peer)
	})
}

// SetReadDeadline sets the deadline of the pending read and of further ones; zero stands for none.
func (c *Conn) SetReadDeadline(deadline time.Time) {
	_ = c.tcp.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports
}

// SetWriteDeadline sets the deadline of the pending write and of further ones; zero stands for none.
func (c *Conn) SetWriteDeadline(deadline time.Time) {
	_ = c.tcp.SetWriteDeadline(deadline) // fails only on a closed connection, which the write reports
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// CloseWrite ends the sending side of the connection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// Close closes the connection. It may be closed already.
func (c *Conn) Close() {
	_ = c.tcp.Close() // nothing can be done about an error on a connection that is given up
}

// retryInterrupted repeats a system call that a signal has interrupted. If it is interrupted each
// time, it fails with that.
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
