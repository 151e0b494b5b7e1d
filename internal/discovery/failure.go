package discovery

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
)

// Failure is what a failed call says of the service.
type Failure uint8

// The kinds of a failure.
const (
	Unavailable   Failure = iota // it could not be reached, did not answer in time or turned the call away
	UnusableReply                // it answered, but the connection broke or the list can't be used
	LocalFault                   // the call did not leave this machine
)

// localFaults are the errors of socket, connect and epoll_ctl that come from this machine, mostly for
// a moment.
var localFaults = []syscall.Errno{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
}

// ClassifyFailure tells what an error of Watch or Poll says of the service.
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
