package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

// newStoppedLoop returns an event loop with the real policy whose events and timers the test runs.
func newStoppedLoop(t *testing.T, edit func(*config.Config)) *eventLoop {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1", nil, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	cfg.Settings.PollInterval, cfg.Settings.DrainGrace = 10_000_000, 1_500_000
	if edit != nil {
		edit(cfg)
	}
	l, err := newEventLoop(cfg, newDescriptorBudget(cfg.Limits.Sockets))
	if err != nil {
		t.Fatal(err)
	}
	l.ctx = t.Context()
	l.now = l.clock()
	t.Cleanup(func() { close(l.done) })
	l.applyKnownEndpoints()
	return l
}

// failOpenWatch fails the open watch and returns the delay until the next one.
func failOpenWatch(t *testing.T, l *eventLoop, err error) policy.Time {
	t.Helper()
	if !l.watching {
		t.Fatal("no watch is open")
	}
	failed := l.now
	l.cancelWatch()
	l.watchFailed(err)
	l.deliverEvents()
	for !l.watching {
		if len(l.timers) == 0 {
			t.Fatal("no further watch is due")
		}
		l.now = max(l.now, l.timers[0].at)
		l.runDueTimers()
	}
	return l.now - failed
}

// dialError is the error of a call whose connection could not be established.
func dialError(errno unix.Errno) error {
	return fmt.Errorf("call: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)})
}

// failWatchesToMaxBackoff fails watches until the policy has reached its longest backoff.
func failWatchesToMaxBackoff(t *testing.T, l *eventLoop) {
	t.Helper()
	for range 10 {
		failOpenWatch(t, l, dialError(unix.ECONNREFUSED))
	}
}

// maxQuickDelay is how soon a watch has to follow a failure that leaves the service within reach: the call before may
// have begun nearly as late as the notification deadline allows.
const maxQuickDelay policy.Time = 250_000

// TestWatchRetriesSoonIfDiscoveryMayBeReachable: after an outage the first call may begin 5 s after the service is back.
// If that one fails on this machine, or is answered by something that can't be used, the next must not wait as long
// again.
func TestWatchRetriesSoonIfDiscoveryMayBeReachable(t *testing.T) {
	for _, err := range []error{
		dialError(unix.ENOBUFS), dialError(unix.EADDRNOTAVAIL), dialError(unix.ENETUNREACH), dialError(unix.EMFILE),
		dialError(unix.ENFILE), dialError(unix.ENOMEM),
		&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", unix.ECONNRESET)},
		&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", unix.ETIMEDOUT)},
		&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", unix.EHOSTUNREACH)},
		io.ErrUnexpectedEOF, discovery.ErrOutOfOrder,
	} {
		l := newStoppedLoop(t, nil)
		failWatchesToMaxBackoff(t, l)
		if delay := failOpenWatch(t, l, err); delay > maxQuickDelay {
			t.Errorf("%v: the next watch follows after %d us", err, delay)
		}
	}
}

// TestRepeatedBrokenRepliesBackOff: a service that keeps breaking off is called at the policy's pace in the end.
func TestRepeatedBrokenRepliesBackOff(t *testing.T) {
	l := newStoppedLoop(t, nil)
	failWatchesToMaxBackoff(t, l)
	begun := l.now
	const calls = 60
	for range calls {
		failOpenWatch(t, l, io.ErrUnexpectedEOF)
	}
	if rate := float64(calls) * 1e6 / float64(l.now-begun); rate > 1.5 {
		t.Errorf("%.1f calls a second", rate)
	}
}

// TestLocalErrorsDoNotCauseRapidRetries: while no connection can be made on this machine, watches follow at a moderate pace.
func TestLocalErrorsDoNotCauseRapidRetries(t *testing.T) {
	l := newStoppedLoop(t, nil)
	begun := l.now
	const calls = 60
	for range calls {
		failOpenWatch(t, l, dialError(unix.ENOBUFS))
	}
	if rate := float64(calls) * 1e6 / float64(l.now-begun); rate > 2.5 {
		t.Errorf("%.1f calls a second", rate)
	}
}

// TestMovedDiscoveryIsCalledUntilItAnswers: changes count as notified 4 s after SIGHUP, also if the calls before it had
// failed for long and the new address does not answer at once.
func TestMovedDiscoveryIsCalledUntilItAnswers(t *testing.T) {
	for _, err := range []error{dialError(unix.ECONNREFUSED), &discovery.StatusError{Code: 503}, context.DeadlineExceeded} {
		l := newStoppedLoop(t, nil)
		failWatchesToMaxBackoff(t, l)
		moved := *l.cfg
		moved.Discovery = "127.0.0.1:2"
		l.moveDiscovery(&moved)
		for begun := l.now; l.now < begun+3_000_000; {
			if delay := failOpenWatch(t, l, err); delay > l.cfg.Settings.DrainGrace/2 {
				t.Errorf("%v: the next watch follows after %d us, %d us after the move", err, delay, l.now-begun)
			}
		}
	}
}

// TestWatchFailuresDoNotFillLog: however often watches fail, and whether or not lists come in between.
func TestWatchFailuresDoNotFillLog(t *testing.T) {
	for _, required := range []bool{true, false} {
		for _, lists := range []bool{true, false} {
			l := newStoppedLoop(t, func(c *config.Config) { c.Settings.WatchRequired = required })
			if !required {
				l.startWatch()
			}
			lines, begun := 0, l.now
			for l.now < begun+60_000_000 {
				failOpenWatch(t, l, errors.New("no discovery"))
				if lists {
					l.applyEndpoints(discovery.EndpointList{Version: 1}, policy.UpdateDelta)
				}
				for len(l.logger.queue.lines) > 0 {
					<-l.logger.queue.lines
					lines++
				}
			}
			if lines == 0 || lines > 60 {
				t.Errorf("watch required %t, lists %t: %d log lines in a minute", required, lists, lines)
			}
		}
	}
}
