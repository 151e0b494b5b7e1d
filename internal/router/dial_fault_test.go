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
			harness.sendAttempt(harness.newRequest(nil), longTimeout)
			harness.wantOutcome(policy.ConnectFailed)
			if dials := system.callCount(callDial); dials != 1 {
				t.Errorf("%d dials", dials)
			}
		})
	}
}

// machineFaults are errors of connect, socket and epoll_ctl that come from the router's own machine.
var machineFaults = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EADDRINUSE,
	unix.EAGAIN, unix.EINTR, unix.ECONNABORTED, unix.ENOSPC}

// routeFaults are errors of connect that tell of a route that is missing, perhaps for a moment.
var routeFaults = []error{unix.ENETUNREACH, unix.ENETDOWN}

// TestDialIsRepeatedAfterFaultOfOwnMachine checks that attempts outlast a fault that is not the
// server's.
func TestDialIsRepeatedAfterFaultOfOwnMachine(t *testing.T) {
	for _, err := range append(routeFaults, machineFaults...) {
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

// TestLastingDialFault checks that dials do not spin while a fault of the router's own machine lasts,
// and how the attempts end then: a machine without resources says nothing about the server, while a
// route that is missing for so long leads to none.
func TestLastingDialFault(t *testing.T) {
	for _, err := range append(routeFaults, machineFaults...) {
		t.Run(err.Error(), func(t *testing.T) {
			t.Parallel()
			want := policy.ConnectFailed
			if slices.Contains(machineFaults, err) {
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
			if dials, most := system.callCount(callDial), maxDials*int(dialTimeout/(10*time.Millisecond)); dials > most {
				t.Errorf("%d dials in %v, want %d at most", dials, dialTimeout, most)
			}
			waitUntil(t, "the end of the dials", func() (none bool) {
				harness.do(func() { none = harness.loop.pools["c1"].dialing == 0 })
				return none
			})
			harness.wantIdleConns(0)
		})
	}
}
