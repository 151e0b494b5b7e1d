package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasQueuedConnections reports whether connections are waiting in a listener's accept queue. It returns
// true if the query failed for lack of memory, and false if it failed otherwise or if the listener has no
// file descriptor.
func HasQueuedConnections(system System, listener net.Listener) bool {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	controlErr := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		pollErr := retryInterrupted(func() error {
			_, err := system.Poll(fds)
			return err
		})
		queued = errors.Is(pollErr, unix.ENOMEM) || pollErr == nil && fds[0].Revents&unix.POLLIN != 0
	})
	return controlErr == nil && queued
}
