package router

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/config"
	"marlstage/policy"
)

// TestDialErrorOfPeerIsConnectFailed checks that a connect error that does not come from the router's own
// machine fails the attempt without another dial, because dialing again at once gains nothing. This includes
// ETIMEDOUT, which the system reports as a timeout although it is not the router's own dial timeout.
func TestDialErrorOfPeerIsConnectFailed(t *testing.T) {
	for _, err := range []error{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED, unix.ECONNRESET} {
		t.Run(err.Error(), func(t *testing.T) {
			harness := newLoopHarness(t, unreachableAddr(t), nil)
			system := harness.useFaultySystem()
			system.injectError(callDial, err, 100)
			harness.sendAttempt(harness.newRequest(nil), longTimeout)
			harness.wantOutcome(policy.ConnectFailed)
			if dials := system.callCount(callDial); dials != 1 {
				t.Errorf("%d dials, want 1", dials)
			}
		})
	}
}

// localErrors are errors of connect, socket and epoll_ctl that are caused by the router's own machine.
var localErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR, unix.ECONNABORTED, unix.ENOSPC}

// routeErrors are errors of connect that report a missing route, which may be temporary.
var routeErrors = []error{unix.ENETUNREACH, unix.ENETDOWN}

// TestDialIsRetriedAfterLocalError checks that attempts survive a few dial errors that the cache has not
// caused.
func TestDialIsRetriedAfterLocalError(t *testing.T) {
	for _, err := range append(routeErrors, localErrors...) {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			system.injectError(callDial, err, 3)
			harness.serveRequest(cache)
			if dials := system.callCount(callDial); dials != 4 {
				t.Errorf("%d dials, want 4", dials)
			}
			harness.wantIdleConns(1)
		})
	}
}

// TestPersistentDialError checks that the router does not dial in a busy loop while an error of its own
// machine or a missing route lasts, and how the attempts end. A machine without resources says nothing about
// the cache, so they end as not sent. A route that is missing for so long means that the cache cannot be
// reached, so they end as failed to connect.
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
				harness.sendAttempt(harness.newRequest(nil), longTimeout)
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
