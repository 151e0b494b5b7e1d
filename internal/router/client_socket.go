package router

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes have come that were not read yet.
func (c *clientConn) hasUnread() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// hasUnacknowledged reports whether the client's machine has not confirmed all of the answers yet.
func (c *clientConn) hasUnacknowledged() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && n > 0
}

// hungUp reports whether the client has closed its side or reset the connection, also behind bytes that are
// not read yet.
func (c *clientConn) hungUp() bool {
	if c.nc == nil {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		gone = err == nil && n > 0 && p[0].Revents&unix.POLLRDHUP != 0
	})
	return gone || err != nil
}
