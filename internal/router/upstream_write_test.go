package router

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/socket"
	"marlstage/policy"
)

// largeValueSize is the size of the value that largeRequest writes.
const largeValueSize = 64 << 20

// useFaultySystem has the loop make its system calls through a faulty system from now on.
func (h *loopHarness) useFaultySystem() *faultySystem {
	h.t.Helper()
	system := newFaultySystem()
	h.do(func() { h.loop.system = system })
	return system
}

// allowSlowWrites has the loop take as long as a test needs to write a command.
func (h *loopHarness) allowSlowWrites() {
	h.t.Helper()
	h.do(func() { h.loop.maxWriteTime = longTimeout.Microseconds() })
}

// connectClient gives a request a client that nobody reads from, so that only a look at its socket
// tells whether it has left.
func (h *loopHarness) connectClient(req *request) *testClient {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	defer listener.Close()
	client := dial(h.t, listener.Addr().String())
	nc, err := socket.Accept(socket.Linux{}, listener)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(nc.Close)
	h.do(func() { req.client.nc = nc })
	return client
}

// awaitFirstByte returns the connection on which a server has been sent the first byte of a command.
func awaitFirstByte(t *testing.T, conns chan net.Conn) net.Conn {
	t.Helper()
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return nc
}

// wantIncompleteLargeCommand reads what is sent of a large command, which must not be all of it.
func wantIncompleteLargeCommand(t *testing.T, nc net.Conn) {
	t.Helper()
	if n, err := io.CopyN(io.Discard, nc, largeValueSize); err == nil {
		t.Errorf("the command was completed: %d bytes have arrived", n)
	}
}

// TestClientLeavesDuringWrite checks that a command is not completed for a client that has left
// since its first byte was written, although nobody reads from the client.
func TestClientLeavesDuringWrite(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			addr, conns := nonReadingCache(t)
			harness := newLoopHarness(t, addr, nil)
			harness.allowSlowWrites()
			req := largeRequest(harness)
			client := harness.connectClient(req)
			harness.sendAttempt(req, longTimeout)
			nc := awaitFirstByte(t, conns)
			disconnect(client)
			waitUntil(t, "the end of the client's connection", req.client.hungUp)
			wantIncompleteLargeCommand(t, nc)
			harness.wantOutcome(policy.NotSent)
		})
	}
}

// TestSlowWriteIsGivenUp checks that a command is not completed long after the timeout in it was
// computed, as the server counts that from the last byte.
func TestSlowWriteIsGivenUp(t *testing.T) {
	addr, conns := nonReadingCache(t)
	harness := newLoopHarness(t, addr, nil)
	req := largeRequest(harness)
	harness.sendAttempt(req, longTimeout)
	nc := awaitFirstByte(t, conns)
	const slack = 150_000 // between the timeout that a server is told and what the client has left
	late := harness.loop.clock() + slack
	waitUntil(t, "the end of the slack", func() bool { return harness.loop.clock() > late })
	wantIncompleteLargeCommand(t, nc)
	harness.wantOutcome(policy.ConnectFailed)
}

// TestShortWrites checks that a command is written completely, once, if the socket takes it byte by
// byte and fails for a moment in between.
func TestShortWrites(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.allowSlowWrites()
	system := harness.useFaultySystem()
	for range 10 {
		system.inject(callWrite, fault{maxBytes: 1}, fault{err: unix.EINTR}, fault{maxBytes: 2},
			fault{err: unix.EAGAIN}, fault{err: unix.ENOBUFS}, fault{maxBytes: 1}, fault{err: unix.ENOMEM})
	}
	harness.serveRequest(cache)
	if pending := system.pending(callWrite); pending > 0 || len(cache.commands) > 0 {
		t.Errorf("%d faults did not happen, %d more commands", pending, len(cache.commands))
	}
}

// TestWriteFailsForAMoment checks that a first write which fails for want of kernel memory is
// repeated on the same connection, and says nothing about the server.
func TestWriteFailsForAMoment(t *testing.T) {
	for _, err := range []error{unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EINTR} {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			system.injectError(callWrite, err, 3)
			harness.serveRequest(cache)
			if dials := system.callCount(callDial); dials != 1 {
				t.Errorf("%d dials", dials)
			}
		})
	}
}

// TestDrainBeforeFirstByte checks that a command of which the socket has not taken a byte is not
// sent any more once its cache drains.
func TestDrainBeforeFirstByte(t *testing.T) {
	for _, err := range []error{unix.ENOBUFS, unix.EAGAIN} {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			var drained atomic.Bool
			system.decide = func(call systemCall, _ int) *fault {
				if call == callWrite && !drained.Load() {
					return &fault{err: err}
				}
				return nil
			}
			harness.sendAttempt(harness.newRequest(nil), longTimeout)
			waitUntil(t, "a write", func() bool { return system.callCount(callWrite) > 0 })
			harness.do(func() {
				harness.loop.pools["c1"].update(cache.addr(), 0, false)
				drained.Store(true)
			})
			harness.wantOutcome(policy.NotSent)
			receive(t, cache.closed, "end of the connection")
			if len(cache.commands) > 0 {
				t.Error("a command was sent to a draining cache")
			}
		})
	}
}

// TestLateReplyDuringStall checks that a second reply to a request is not taken for the reply to the
// next one, if it arrives while the process is stalled between its look at the connection and the
// write.
func TestLateReplyDuringStall(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	system := harness.useFaultySystem()
	harness.do(func() { harness.loop.settleTime = 0 })
	first := harness.serveRequest(cache)
	req := harness.newRequest(nil)
	stall := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	system.inject(callWrite, stall)
	harness.loop.post(func() { harness.loop.perform(policy.Send{ID: req.id, Cache: "c1"}) })
	receive(t, stall.reached, "write")
	first.reply(t, otherServedReply)
	const length = 150_000
	over := harness.loop.clock() + length
	waitUntil(t, "the end of the stall", func() bool { return harness.loop.clock() > over })
	close(stall.resume)
	harness.wantOutcome(policy.ConnectionLost)
	receive(t, cache.closed, "end of the connection")
}

// TestReadFailsForAMoment checks that a read which fails for want of kernel memory is repeated.
func TestReadFailsForAMoment(t *testing.T) {
	for _, err := range []error{unix.ENOMEM, unix.ENOBUFS, unix.EINTR} {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			harness.sendAttempt(harness.newRequest(nil), longTimeout)
			cmd := receive(t, cache.commands, "command")
			system.inject(callRead, fault{maxBytes: 1}, fault{err: err}, fault{maxBytes: 1}, fault{err: err})
			cmd.reply(t, servedReply)
			harness.wantOutcome(policy.Served)
		})
	}
}

// TestLookFailsForAMoment checks that a new connection is used once the system can tell again
// whether anything has arrived on it. That it can't says nothing about the server.
func TestLookFailsForAMoment(t *testing.T) {
	for _, err := range []error{unix.ENOMEM, unix.ENOBUFS, unix.EINTR} {
		t.Run(err.Error(), func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			system := harness.useFaultySystem()
			system.injectError(callPeek, err, 3)
			harness.serveRequest(cache)
			if dials := system.callCount(callDial); dials != 1 || system.pending(callPeek) > 0 {
				t.Errorf("%d dials, %d faults did not happen", dials, system.pending(callPeek))
			}
		})
	}
}
