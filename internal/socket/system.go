// Package socket wraps TCP sockets with the calls that a router needs beside those of package net:
// writes that do not wait, and looks at what has arrived without reading it. All system calls go
// through one small interface, so that tests can have them fail in the ways that Linux documents.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System makes the system calls on sockets. Errors are those of the calls; none is repeated.
type System interface {
	// Accept waits for the next connection of a listener.
	Accept(listener net.Listener) (net.Conn, error)
	// Dial connects to an address, within the timeout.
	Dial(addr string, timeout time.Duration) (net.Conn, error)
	// Read reads what has arrived, without waiting.
	Read(fd int, b []byte) (int, error)
	// Write writes as much as the socket takes, without waiting.
	Write(fd int, b []byte) (int, error)
	// Peek copies what has arrived without removing it, and without waiting.
	Peek(fd int, b []byte) (int, error)
	// Poll looks for events on the descriptors, without waiting.
	Poll(fds []unix.PollFd) (int, error)
	// UnacknowledgedBytes returns how many written bytes the peer's machine has yet to acknowledge.
	UnacknowledgedBytes(fd int) (int, error)
	// UnreadBytes returns how many bytes have arrived and are not read.
	UnreadBytes(fd int) (int, error)
	// LastDataAge returns how long ago the last bytes arrived.
	LastDataAge(fd int) (time.Duration, error)
}

// Linux is the operating system itself.
type Linux struct{}

var _ System = Linux{}

// Accept implements System.
func (Linux) Accept(listener net.Listener) (net.Conn, error) { return listener.Accept() }

// Dial implements System. The connection has no TCP keep-alive probes.
func (Linux) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).Dial("tcp", addr)
}

// Read implements System.
func (Linux) Read(fd int, b []byte) (int, error) { return syscall.Read(fd, b) }

// Write implements System.
func (Linux) Write(fd int, b []byte) (int, error) { return syscall.Write(fd, b) }

// Peek implements System.
func (Linux) Peek(fd int, b []byte) (int, error) {
	n, _, err := syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Poll implements System.
func (Linux) Poll(fds []unix.PollFd) (int, error) { return unix.Poll(fds, 0) }

// UnacknowledgedBytes implements System.
func (Linux) UnacknowledgedBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }

// UnreadBytes implements System.
func (Linux) UnreadBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) }

// LastDataAge implements System.
func (Linux) LastDataAge(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}
