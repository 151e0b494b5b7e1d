// Package socket wraps TCP sockets with operations that package net lacks: non-blocking reads and
// writes, and queries about received and unacknowledged data. All system calls go through a small
// interface so that tests can simulate the errors that Linux documents for them.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System makes the system calls on sockets. It returns their errors unchanged and retries none of them.
type System interface {
	// Accept waits for the next connection on a listener.
	Accept(listener net.Listener) (net.Conn, error)
	// Dial connects to an address. It fails if that takes longer than the timeout.
	Dial(addr string, timeout time.Duration) (net.Conn, error)
	// Read reads received bytes without blocking.
	Read(fd int, b []byte) (int, error)
	// Write writes as much as fits into the send buffer, without blocking.
	Write(fd int, b []byte) (int, error)
	// Peek copies received bytes without removing them from the receive buffer and without blocking.
	Peek(fd int, b []byte) (int, error)
	// Poll checks the descriptors for events without blocking.
	Poll(fds []unix.PollFd) (int, error)
	// UnacknowledgedBytes returns how many of the written bytes the peer's machine has not acknowledged.
	UnacknowledgedBytes(fd int) (int, error)
	// UnreadBytes returns how many bytes have been received and not yet read.
	UnreadBytes(fd int) (int, error)
	// LastDataAge returns how long ago the last bytes were received, and how many segments with data so far.
	LastDataAge(fd int) (age time.Duration, segments int, err error)
	// ConnectionAge returns how long ago a connection on which nothing has been sent was established.
	ConnectionAge(fd int) (time.Duration, error)
	// ReceiveWindow returns the receive window that the peer was told last, and the size of the largest segment
	// that the peer sends, in bytes. The window is 0 if the system does not report it.
	ReceiveWindow(fd int) (window, maxSegment int, err error)
}

// Linux implements System with the system calls of Linux.
type Linux struct{}

var _ System = Linux{}

// Accept implements System.
func (Linux) Accept(listener net.Listener) (net.Conn, error) { return listener.Accept() }

// Dial implements System. It disables TCP keep-alive probes on the connection.
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
func (Linux) LastDataAge(fd int) (age time.Duration, segments int, err error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, int(info.Data_segs_in), nil
}

// ConnectionAge implements System. Linux counts the time since data was last sent from the start of the connection.
func (Linux) ConnectionAge(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_sent) * time.Millisecond, nil
}

// ReceiveWindow implements System.
func (Linux) ReceiveWindow(fd int) (window, maxSegment int, err error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, 0, err
	}
	// Linux sends no segments of more than half of the largest window that it was told.
	half := max(info.Rcv_mss, info.Rcv_ssthresh/2)
	return int(info.Rcv_wnd), int(min(info.Advmss, half)), nil
}
