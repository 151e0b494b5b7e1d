package router

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setReadDeadline sets the deadline of the pending read and of further ones; zero stands for none.
func (c *clientConn) setReadDeadline(deadline time.Time) {
	_ = c.nc.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports
}

// interruptRead has the pending read and further ones time out at once.
func (c *clientConn) interruptRead() { c.setReadDeadline(time.Now()) }

func (c *clientConn) setWriteDeadline(deadline time.Time) {
	_ = c.nc.SetWriteDeadline(deadline) // fails only on a closed connection, which the write reports
}

// close closes the connection. It may be closed already.
func (c *clientConn) close() {
	_ = c.nc.Close() // nothing can be done about an error on a connection that is given up
}

// hasUnread reports whether bytes have been received that are not read yet.
func (c *clientConn) hasUnread() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		// On an error nothing can be read, and n is not positive.
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// hasUnacknowledged reports whether the client's machine has yet to acknowledge some of the replies.
func (c *clientConn) hasUnacknowledged() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var queryErr error
	err = raw.Control(func(fd uintptr) {
		n, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return errors.Join(err, queryErr) == nil && n > 0
}

// hungUp reports whether the client has closed its side of the connection or reset it, even if
// bytes that were sent before are not read yet.
func (c *clientConn) hungUp() bool {
	if c.nc == nil {
		return false // a request without a client, as in tests
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		hungUp = pollErr == nil && n > 0 && fds[0].Revents&unix.POLLRDHUP != 0
	})
	return hungUp || err != nil
}
