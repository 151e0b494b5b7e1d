package soaktest

import (
	"net"
	"time"

	"github.com/vishvananda/netlink"
	"golang.org/x/sys/unix"
)

// unreadBytes returns how many bytes have arrived on the router's side of a connection that the router
// has not read. It reports false if that side is not there any more, or if it is closed on both sides,
// as what was left unread is not known of it then.
func unreadBytes(router, client net.Addr) (unread int64, ok bool) {
	s, err := netlink.SocketGet(router, client)
	if err != nil || s.State == netlink.TCP_TIME_WAIT {
		return 0, false
	}
	return int64(s.RQueue), true
}

// undeliveredBytes returns how many of the bytes that were written to a connection have not arrived at the
// peer's machine, as its receive window is full. It reports false if that can't be told.
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

// awaitHangup waits for the end of a connection to arrive from the peer. It reports false if none does
// in time.
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
	return hungUp || err != nil // the client has closed it
}
