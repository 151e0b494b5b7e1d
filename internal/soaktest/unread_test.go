package soaktest

import (
	"net"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// timeWait is the state of a socket that is closed on both sides. What was left unread is not known of it.
const timeWait = 6

// unreadBy returns how many bytes have arrived on the router's side of a connection that the router
// has not read. It reports false if that side is not there any more.
func unreadBy(router, client net.Addr) (unread int64, ok bool) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, false
	}
	sockets, err := fs.NetTCP()
	if err != nil {
		return 0, false
	}
	local, remote := router.(*net.TCPAddr), client.(*net.TCPAddr)
	for _, s := range sockets {
		if s.St == timeWait {
			continue
		}
		isLocal := s.LocalPort == uint64(local.Port) && s.LocalAddr.Equal(local.IP)
		if isLocal && s.RemPort == uint64(remote.Port) && s.RemAddr.Equal(remote.IP) {
			return int64(s.RxQueue), true
		}
	}
	return 0, false
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
