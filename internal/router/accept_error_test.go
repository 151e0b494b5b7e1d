package router

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// newServerWithCache returns a server that knows one cache and is not running yet.
func newServerWithCache(t *testing.T) *Server {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

// deadlineListener reports the deadlines that are set on a listener and may replace them.
type deadlineListener struct {
	*net.TCPListener
	deadlines chan time.Time               // receives each requested deadline after it is set
	replace   func(at time.Time) time.Time // returns the deadline to set instead
}

func (l *deadlineListener) SetDeadline(at time.Time) error {
	err := l.TCPListener.SetDeadline(l.replace(at))
	l.deadlines <- at
	return err
}

// useDeadlineListener installs a deadlineListener in a server that is not running yet.
func useDeadlineListener(srv *Server, replace func(at time.Time) time.Time) *deadlineListener {
	listener := &deadlineListener{srv.listener.(*net.TCPListener), make(chan time.Time, 1000), replace}
	srv.listener = listener
	return listener
}

// wantQueuedClientAnswered connects a client while the first call of accept is stalled, so that its
// connection is queued at the listener. It stops the router and checks that the client is answered before
// the router ends.
func wantQueuedClientAnswered(t *testing.T, router *runningRouter, listener *deadlineListener, firstAccept fault) {
	t.Helper()
	receive(t, firstAccept.reached, "call of accept")
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	router.stop()
	receive(t, listener.deadlines, "interruption of accept")
	close(firstAccept.resume)
	client.wantLine("+PONG")
	client.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainAcceptsQueueAfterStall checks that the accept loop does not conclude that the queue is empty
// from a deadline that passed before it checked the listener. Closing the listener would reset the queued
// connections and lose the requests that were sent on them.
func TestDrainAcceptsQueueAfterStall(t *testing.T) {
	srv := newServerWithCache(t)
	srv.lateAcceptTime = 0
	system := useFaultySystem(srv)
	firstAccept := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callAccept, firstAccept)
	deadlines := 0
	listener := useDeadlineListener(srv, func(at time.Time) time.Time {
		if deadlines++; deadlines <= 3 {
			return time.Unix(1, 0) // simulates a router that is stalled until the deadline has passed
		}
		return at
	})
	router := startServer(t, srv)
	wantQueuedClientAnswered(t, router, listener, firstAccept)
}

// acceptErrors are the errors documented for accept(2) and for epoll_ctl(2), which registers the accepted
// connection. They concern either the connection taken from the queue or a shortage of resources.
var acceptErrors = struct{ connection, shortage []unix.Errno }{
	connection: []unix.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EAGAIN, unix.EPERM, unix.ENETDOWN, unix.EPROTO, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
	},
	shortage: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC},
}

// TestAcceptErrorsOfConnections checks that connections that fail before they are accepted do not delay
// the connection queued behind them.
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
		t.Errorf("%d injected errors have not occurred", left)
	}
}

// TestAcceptBackoff checks that errors of connections cause a backoff only after too many in a row, and
// that a shortage of resources always does.
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
			t.Errorf("%d backoffs after %d errors %v", backoffs, 10*maxImmediateAcceptRetries, errno)
		}
	}
}

// TestAcceptErrorsWhileDraining checks that no error of accept or poll ends the accept loop while
// connections are queued.
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
		t.Errorf("%d injected errors have not occurred", left)
	}
}
