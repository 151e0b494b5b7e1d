package router

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// newServerWithCache makes a server that knows one cache and does not run yet.
func newServerWithCache(t *testing.T) *Server {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

// deadlineListener reports the deadlines that are set and replaces some of them.
type deadlineListener struct {
	*net.TCPListener
	set     chan time.Time               // receives each deadline once it is set
	replace func(at time.Time) time.Time // returns the deadline to be set
}

func (l *deadlineListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(l.replace(at))
	l.set <- at
	return err
}

// useDeadlineListener installs a deadlineListener in a server that does not run yet.
func useDeadlineListener(srv *Server, replace func(at time.Time) time.Time) *deadlineListener {
	listener := &deadlineListener{srv.listener.(*net.TCPListener), make(chan time.Time, 1000), replace}
	srv.listener = listener
	return listener
}

// wantQueuedClientAnswered has a client queue at the listener while the first call of accept is held
// up, ends the router, and checks that the client is answered before the router ends.
func wantQueuedClientAnswered(t *testing.T, router *runningRouter, listener *deadlineListener, firstAccept fault) {
	t.Helper()
	receive(t, firstAccept.reached, "call of accept")
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	router.stop()
	receive(t, listener.set, "interruption of accept")
	close(firstAccept.resume)
	client.wantLine("+PONG")
	client.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainAcceptsQueueAfterStall checks that the accept loop does not take a deadline that passed
// before it looked at the listener for an empty queue: closing the listener would reset the queued
// connections, and the requests that were sent on them.
func TestDrainAcceptsQueueAfterStall(t *testing.T) {
	srv := newServerWithCache(t)
	srv.lateAcceptTime = 0
	system := useFaultySystem(srv)
	firstAccept := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callAccept, firstAccept)
	deadlines := 0
	listener := useDeadlineListener(srv, func(at time.Time) time.Time {
		if deadlines++; deadlines <= 3 {
			return time.Unix(1, 0) // as though the router were stalled until the deadline has passed
		}
		return at
	})
	router := startServer(t, srv)
	wantQueuedClientAnswered(t, router, listener, firstAccept)
}

// acceptErrors are the errors that accept(2) documents, and epoll_ctl(2) for the registration that
// follows: of the connection taken from the queue, and of a machine that is short of resources.
var acceptErrors = struct{ connection, shortage []unix.Errno }{
	connection: []unix.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EAGAIN, unix.EPERM, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
	},
	shortage: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC},
}

// TestAcceptErrorsOfConnections checks that connections which fail before they are accepted do not
// delay the one behind them.
func TestAcceptErrorsOfConnections(t *testing.T) {
	srv := newServerWithCache(t)
	srv.acceptBackoff = 2 * testTimeout
	system := useFaultySystem(srv)
	for range 5 {
		for _, errno := range acceptErrors.connection {
			system.injectError(callAccept, errno, 1)
		}
	}
	client := dial(t, startServer(t, srv).addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	if left := system.pending(callAccept) + system.pending(callPoll); left > 0 {
		t.Errorf("%d errors are left", left)
	}
}

// TestAcceptBackoff checks that errors of connections wait only where too many come in a row, and
// that a shortage of resources always waits.
func TestAcceptBackoff(t *testing.T) {
	for _, errno := range acceptErrors.shortage {
		var failures acceptFailures
		if !failures.needsBackoff(&net.OpError{Op: "accept", Err: errno}) {
			t.Errorf("no backoff after %v", errno)
		}
	}
	for _, errno := range acceptErrors.connection {
		var failures acceptFailures
		backoffs := 0
		for range 10 * maxImmediateAcceptRetries {
			if failures.needsBackoff(&net.OpError{Op: "accept", Err: errno}) {
				backoffs++
			}
		}
		if backoffs != 10 {
			t.Errorf("%d backoffs in %d times %v", backoffs, 10*maxImmediateAcceptRetries, errno)
		}
	}
}

// TestAcceptErrorsWhileDraining checks that no error of accept ends the accept loop while connections
// are queued.
func TestAcceptErrorsWhileDraining(t *testing.T) {
	srv := newServerWithCache(t)
	srv.lateAcceptTime = 0
	system := useFaultySystem(srv)
	firstAccept := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callAccept, firstAccept)
	for range 2 {
		for _, errno := range append(acceptErrors.shortage, acceptErrors.connection...) {
			system.injectError(callAccept, errno, 1)
		}
	}
	system.injectError(callPoll, unix.ENOMEM, 1)
	system.injectError(callPoll, unix.EINTR, 2)
	listener := useDeadlineListener(srv, func(at time.Time) time.Time { return at })
	router := startServer(t, srv)
	wantQueuedClientAnswered(t, router, listener, firstAccept)
	if left := system.pending(callAccept) + system.pending(callPoll); left > 0 {
		t.Errorf("%d errors are left", left)
	}
}
