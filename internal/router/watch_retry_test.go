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

// newStoppedLoop returns an event loop with the real policy that does not run. The test runs its events and
// timers.
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

// dialError returns the error of a call whose connection could not be established.
func dialError(errno unix.Errno) error {
	return fmt.Errorf("call: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)})
}

// failWatchesToMaxBackoff fails so many watches that the policy's backoff is at its maximum.
func failWatchesToMaxBackoff(t *testing.T, l *eventLoop) {
	t.Helper()
	for range 10 {
		failOpenWatch(t, l, dialError(unix.ECONNREFUSED))
	}
}

// maxQuickDelay is the maximum delay of the watch after a failure that does not show the service to be
// unreachable. The failed watch may itself have begun nearly as late as the notification deadline allows.
const maxQuickDelay policy.Time = 250_000

// TestWatchRetriesSoonIfDiscoveryMayBeReachable checks that after a local error or an unusable reply the next
// watch follows soon. After an outage the first call may begin 5 s after the service is back, and if it
// fails for such a reason, the next must not be delayed as long again.
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

// TestRepeatedBrokenRepliesBackOff checks that a service whose replies are always truncated is finally called
// no more often than the policy's backoff allows.
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

// TestLocalErrorsDoNotCauseRapidRetries checks that watches follow each other at a moderate rate while local
// errors prevent every connection.
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

// TestMovedDiscoveryIsCalledUntilItAnswers checks that a new discovery service is called often until it
// answers. Changes count as notified 4 s after SIGHUP, even if earlier calls had failed for long and the
// new address does not answer at once.
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

// TestWatchFailuresDoNotFillLog checks that watch failures are logged, but at a limited rate, however often
// they occur and whether or not lists arrive in between.
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
