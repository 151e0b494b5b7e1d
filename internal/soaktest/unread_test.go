package soaktest

import (
	"net"
	"time"

	"github.com/vishvananda/netlink"
	"golang.org/x/sys/unix"
)

// unreadBytes returns how many bytes have arrived at the router's side of a connection that the router has not
// read. It reports false if the router's socket no longer exists, or if both sides have closed the connection, as
// the number of unread bytes is unknown then.
func unreadBytes(router, client net.Addr) (unread int64, ok bool) {
	s, err := netlink.SocketGet(router, client)
	if err != nil || s.State == netlink.TCP_TIME_WAIT {
		return 0, false
	}
	return int64(s.RQueue), true
}

// undeliveredBytes returns how many of the bytes that were written to a connection have not arrived at the peer's
// machine, because its receive window is full. It reports false if that is unknown.
func undeliveredBytes(nc *net.TCPConn) (undelivered int64, ok bool) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var queryErr error
	err = raw.Control(func(fd uintptr) {
		var n int
		n, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		undelivered = int64(n)
	})
	return undelivered, err == nil && queryErr == nil
}

// awaitHangup waits until the peer ends a connection. It reports false on a timeout, and true if the connection is
// closed locally.
func awaitHangup(nc *net.TCPConn, timeout time.Duration) bool {
	raw, err := nc.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, int(timeout.Milliseconds()))
		hungUp = pollErr == nil && n > 0
	})
	return hungUp || err != nil // an error means that the client has closed the connection
}
