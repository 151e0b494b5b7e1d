package discovery

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
)

// Failure is the kind of a failed call, which tells whether the service is available.
type Failure uint8

// The kinds of failures.
const (
	Unavailable   Failure = iota // the service was unreachable, did not respond in time or rejected the call
	UnusableReply                // the service responded, but the connection broke or the list is not usable
	LocalFault                   // the call failed on this machine and did not reach the network
)

// localFaults are the errors of socket, connect and epoll_ctl that are caused by this machine. Most of them
// are temporary.
var localFaults = []syscall.Errno{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
}

// ClassifyFailure returns the kind of failure that an error of Watch or Poll reports.
func ClassifyFailure(err error) Failure {
	var status *StatusError
	var operation *net.OpError
	switch {
	case errors.Is(err, ErrOutOfOrder):
		return UnusableReply
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled),
		errors.As(err, &status), errors.Is(err, ErrResponseTooLong):
		return Unavailable
	case errors.As(err, &operation) && operation.Op == "dial":
		if isLocalFault(err) {
			return LocalFault
		}
		return Unavailable
	default:
		return UnusableReply
	}
}

func isLocalFault(err error) bool {
	return slices.ContainsFunc(localFaults, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}
