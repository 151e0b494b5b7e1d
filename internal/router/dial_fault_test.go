package router

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/config"
	"marlstage/policy"
)

// TestDialErrorOfPeerIsConnectFailed checks that an error of connect that the system calls a timeout,
// but that is not the router's own, fails the attempt: nothing is gained by dialing again at once.
func TestDialErrorOfPeerIsConnectFailed(t *testing.T) {
	for _, err := range []error{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED, unix.ECONNRESET} {
		t.Run(err.Error(), func(t *testing.T) {
			harness := newLoopHarness(t, unreachableAddr(t), nil)
			system := harness.useFaultySystem()
			system.injectError(callDial, err, 100)
			harness.sendAttempt(harness.newRequest(nil), long)
			harness.wantOutcome(policy.ConnectFailed)
			if dials := system.callCount(callDial); dials != 1 {
				t.Errorf("%d dials", dials)
			}
		})
	}
}

// localErrors are errors of connect, socket and epoll_ctl that come from the router's own machine.
var localErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR, unix.ECONNABORTED, unix.ENOSPC}

// routeErrors are errors of connect that tell of a route that is missing, perhaps for a moment.
var routeErrors = []error{unix.ENETUNREACH, unix.ENETDOWN}

// TestDialIsRetriedAfterLocalError checks that attempts outlast a fault that is not the
// server's.
func TestDialIsRetriedAfterLocalError(t *testing.T) {
	for _, err := range append(routeErrors, localErrors...) {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			system.injectError(callDial, err, 3)
			harness.serveRequest(cache)
			if dials := system.callCount(callDial); dials != 4 {
				t.Errorf("%d dials", dials)
			}
			harness.wantIdleConns(1)
		})
	}
}

// TestPersistentDialError checks that dials do not spin while a fault of the router's own machine lasts,
// and how the attempts end then: a machine without resources says nothing about the server, while a
// route that is missing for so long leads to none.
func TestPersistentDialError(t *testing.T) {
	for _, err := range append(routeErrors, localErrors...) {
		t.Run(err.Error(), func(t *testing.T) {
			t.Parallel()
			want := policy.ConnectFailed
			if slices.Contains(localErrors, err) {
				want = policy.NotSent
			}
			const dialTimeout = 500 * time.Millisecond
			harness := newLoopHarness(t, "127.0.0.1:1", func(c *config.Config) {
				c.Transport.DialTimeout = dialTimeout.Microseconds()
			})
			system := harness.useFaultySystem()
			system.decide = func(call systemCall, _ int) *fault {
				if call == callDial {
					return &fault{err: err}
				}
				return nil
			}
			const burst = 10
			for range burst {
				harness.sendAttempt(harness.newRequest(nil), long)
			}
			for range burst {
				harness.wantOutcome(want)
			}
			if dials, maxDialCount := system.callCount(callDial), maxDials*int(dialTimeout/(10*time.Millisecond)); dials > maxDialCount {
				t.Errorf("%d dials in %v, want %d at most", dials, dialTimeout, maxDialCount)
			}
			waitUntil(t, "the end of the dials", func() (done bool) {
				harness.do(func() { done = harness.loop.pools["c1"].dialing == 0 })
				return done
			})
			harness.wantIdleConns(0)
		})
	}
}
