package router

import (
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/policy"
)

// timeoutSlack is the time in microseconds by which the timeout that a cache is told may exceed what
// its client has left.
const timeoutSlack = 150_000

// TestDeadlineCountsFromArrival checks that the deadlines of commands which lay unhandled for long,
// as their client reads no replies, count from when they arrived.
func TestDeadlineCountsFromArrival(t *testing.T) {
	router, harness := startScriptedRouter(t)
	client := dial(t, router.addr)
	const commands = 3 * maxPipelined
	client.send(strings.Repeat(getCommand("r"), commands))
	harness.waitForFullReplyQueue()
	latest := harness.loop.clock() + harness.latestTimeout() + timeoutSlack
	resumed := harness.loop.clock() + 2*timeoutSlack
	waitUntil(t, "the end of a long wait", func() bool { return harness.loop.clock() > resumed })
	answered := 0
	waitUntil(t, "all requests", func() bool {
		harness.do(func() {
			for id, req := range harness.loop.requests {
				if req.deadline > latest {
					t.Errorf("a deadline is %d us too late", req.deadline-latest)
				}
				harness.loop.perform(policy.Fail{ID: id})
				answered++
			}
		})
		return answered == commands || t.Failed()
	})
}

// latestTimeout is the timeout of the requests that getCommand makes.
func (h *loopHarness) latestTimeout() policy.Time { return longTimeout.Microseconds() }

// TestDeadlineCountsFromLastByte checks that the deadline of a command counts from its last byte, and
// not from an earlier command or its own first byte.
func TestDeadlineCountsFromLastByte(t *testing.T) {
	for name, before := range map[string]string{
		"idle":           "",
		"full buffer":    strings.Repeat("\r\n", minReadBuffer/2),
		"part of itself": getCommand("r1")[:20],
	} {
		t.Run(name, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			client.send(before)
			late := harness.loop.clock() + timeoutSlack
			waitUntil(t, "the end of a long wait", func() bool { return harness.loop.clock() > late })
			client.send(strings.TrimPrefix(getCommand("r1"), before))
			req := harness.onlyRequest()
			// A stall of the machine that runs the test makes the arrival uncertain by its length.
			stalled := harness.loop.statistics.longestStall.Load()
			if early := late + harness.latestTimeout() - req.deadline; early > stalled {
				t.Errorf("the deadline is %d us too early", early)
			}
		})
	}
}

// TestArrivalTime checks what a reader concludes from its reads about when a command has arrived.
func TestArrivalTime(t *testing.T) {
	const gap = 10 * maxReadGap
	for name, c := range map[string]struct {
		reads func(*arrivalTime)
		want  policy.Time
	}{
		"waited for":     {func(a *arrivalTime) { a.noteRead(gap, false, false) }, gap},
		"lay unread":     {func(a *arrivalTime) { a.noteRead(gap, true, false) }, 0},
		"lay for longer": {func(a *arrivalTime) { a.noteRead(gap, true, true); a.noteRead(gap+1, true, false) }, 0},
		"new after lying": {func(a *arrivalTime) { a.noteRead(gap, true, true); a.noteRead(2*gap, false, false) },
			2 * gap},
		"after an interrupted read": {func(a *arrivalTime) { a.noteEmptyRead(gap); a.noteRead(gap+1, true, false) }, gap},
	} {
		t.Run(name, func(t *testing.T) {
			var arrival arrivalTime
			c.reads(&arrival)
			if arrival.earliest != c.want {
				t.Errorf("it arrived at %d, want %d", arrival.earliest, c.want)
			}
		})
	}
}

// TestArrivalOfBytesReadAhead checks that commands which were read ahead count as having arrived with
// the first of them, and that those behind them count from the last read.
func TestArrivalOfBytesReadAhead(t *testing.T) {
	const notBefore, readUntil = policy.Time(1_000_000), policy.Time(5_000_000)
	reader := &commandReader{
		conn:  &clientConn{srv: &Server{memory: newMemoryBudget(192)}},
		buf:   make([]byte, 0, minReadBuffer),
		ahead: readAhead{bytes: []byte(getCommand("r1")), notBefore: notBefore, readUntil: readUntil},
	}
	if !reader.takeReadAhead() || reader.arrival.earliest != notBefore {
		t.Errorf("commands read ahead count from %d, want %d", reader.arrival.earliest, notBefore)
	}
	if reader.arrival.mayHaveWaited(readUntil + maxReadGap) {
		t.Error("bytes behind them count as having waited since the first read")
	}
}

// TestDeadlineCountsWhileConnectionIsQueued checks that the deadline of a request counts from its
// arrival if its connection waits at the listener while accept fails, and that it is no earlier, also
// where the system does not tell when bytes arrived.
func TestDeadlineCountsWhileConnectionIsQueued(t *testing.T) {
	for name, untold := range map[string]bool{"told": false, "not told": true} {
		t.Run(name, func(t *testing.T) {
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			engine := &scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}
			srv.loop.engine = engine
			system := useFaultySystem(srv)
			var released atomic.Bool
			system.setDecide(func(call systemCall, _ int) *fault {
				switch {
				case call == callAccept && !released.Load():
					return &fault{err: unix.ENFILE}
				case call == callLastDataAge && untold:
					return &fault{err: unix.ENOPROTOOPT}
				default:
					return nil
				}
			})
			router := startServer(t, srv)
			client := dial(t, router.addr)
			const timeout, tolerance = policy.Time(20_000_000), policy.Time(50_000)
			before := srv.loop.clock()
			client.send(getCommand("r1"))
			after := srv.loop.clock()
			waitUntil(t, "the end of the slack", func() bool { return srv.loop.clock() > after+2*timeoutSlack })
			released.Store(true)
			req := (&loopHarness{t, srv.loop, engine.outcomes}).onlyRequest()
			if req.deadline > after+timeout+timeoutSlack {
				t.Errorf("a deadline is %d us too late", req.deadline-after-timeout)
			}
			if stalled := srv.loop.statistics.longestStall.Load(); req.deadline < before+timeout-tolerance-stalled {
				t.Errorf("a deadline is %d us too early", before+timeout-req.deadline)
			}
		})
	}
}
