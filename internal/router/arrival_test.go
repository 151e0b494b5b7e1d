package router

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

// timeoutSlack is the time in microseconds by which the timeout sent to a cache may exceed the time that
// its client has left.
const timeoutSlack = 150_000

// TestDeadlineCountsFromArrival checks that the deadlines of commands that stay unhandled for long because
// their reply queue is full count from when they arrived.
func TestDeadlineCountsFromArrival(t *testing.T) {
	router, harness := startScriptedRouter(t)
	client := dial(t, router.addr)
	const commands = 3 * maxPipelined
	client.send(strings.Repeat(getCommand("r"), commands))
	harness.waitForFullReplyQueue()
	latest := harness.loop.clock() + harness.requestTimeout() + timeoutSlack
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

// requestTimeout returns the timeout of the requests made by getCommand, in microseconds.
func (h *loopHarness) requestTimeout() policy.Time { return longTimeout.Microseconds() }

// TestDeadlineCountsFromLastByte checks that the deadline of a command counts from the arrival of its last
// byte, not from that of earlier bytes or its own first byte.
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
			// If the machine that runs the test stalls, the arrival time is uncertain by the length of the stall.
			stalled := harness.loop.statistics.longestStall.Load()
			if early := late + harness.requestTimeout() - req.deadline; early > stalled {
				t.Errorf("the deadline is %d us too early", early)
			}
		})
	}
}

// TestArrivalTime checks the estimate of a command's arrival time that a reader derives from its reads.
func TestArrivalTime(t *testing.T) {
	const gap = 10 * maxReadGap
	for name, c := range map[string]struct {
		reads func(*arrivalTime)
		want  policy.Time
	}{
		"waited for":        {func(a *arrivalTime) { a.noteRead(gap, false, false) }, gap},
		"unread before":     {func(a *arrivalTime) { a.noteRead(gap, true, false) }, 0},
		"unread for longer": {func(a *arrivalTime) { a.noteRead(gap, true, true); a.noteRead(gap+1, true, false) }, 0},
		"new after unread bytes": {func(a *arrivalTime) { a.noteRead(gap, true, true); a.noteRead(2*gap, false, false) },
			2 * gap},
		"after an interrupted read": {func(a *arrivalTime) { a.noteEmptyRead(gap); a.noteRead(gap+1, true, false) }, gap},
		"after a long wait":         {func(a *arrivalTime) { a.noteEmptyRead(1); a.noteWaitEnd(gap); a.noteRead(2*gap, true, false) }, gap},
		"after a long wait that ended in a stall": {func(a *arrivalTime) {
			a.noteEmptyRead(1)
			a.noteWaitEnd(gap)
			a.noteRead(2*gap, true, false)
			a.noteStall(gap / 2)
		}, gap / 2},
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

// TestArrivalOfBytesReadAhead checks that commands that were read ahead count as having arrived at the
// earliest time at which the first of them may have, and that commands behind them count from the last read.
func TestArrivalOfBytesReadAhead(t *testing.T) {
	const notBefore, readUntil = policy.Time(1_000_000), policy.Time(5_000_000)
	reader := &commandReader{
		ahead: readAhead{bytes: []byte(getCommand("r1")), notBefore: notBefore, lastFilledAt: readUntil},
	}
	reader.buf.makeRoom(0, false)
	if !reader.takeReadAhead() || reader.arrival.earliest != notBefore {
		t.Errorf("commands read ahead count from %d, want %d", reader.arrival.earliest, notBefore)
	}
	if reader.arrival.mayHaveWaited(readUntil + maxReadGap) {
		t.Error("the bytes behind them count as having waited since the first read")
	}
}

// TestArrivalOfBytesWithoutMemory guards against commands that count as having arrived when there was memory to read them
// ahead. Beside clients that took the memory, caches were told up to 0.4 s more than clients had left.
func TestArrivalOfBytesWithoutMemory(t *testing.T) {
	router, _ := startScriptedRouter(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	addr, conns := nonReadingCache(t)
	nc, err := socket.Dial(socket.Linux{}, addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nc.Close)
	reader := newClientConn(router.srv, nc, 0).reader
	hold := memoryHold{budget: router.srv.memory, use: memoryReadAhead}
	for hold.tryGrow(minReadAhead) {
	}
	clock := router.srv.loop.clock
	if _, err := io.WriteString(receive(t, conns, "connection"), getCommand("r")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "unread bytes", nc.MayHaveUnread)
	sentAt := clock()
	waitUntil(t, "a late attempt", func() bool { return !reader.fillReadAhead() && clock() > sentAt+maxReadGap })
	hold.release()
	defer reader.dropReadAhead()
	if !reader.fillReadAhead() {
		t.Fatal("nothing was read ahead")
	}
	if late := reader.ahead.notBefore - sentAt; late > 0 {
		t.Errorf("bytes count from %d us after they had arrived", late)
	}
}

// TestDeadlineCountsWhileReaderIsDelayed guards against deadlines that count from too late a time: a reader that had
// read a command, and was delayed before it read the clock, took all that arrived meanwhile for having arrived later.
// Under a stopped or overloaded process caches were told up to 0.28 s more than clients had left.
func TestDeadlineCountsWhileReaderIsDelayed(t *testing.T) {
	for name, call := range map[string]systemCall{"before the read returns": callRead, "behind the read": callLastDataAge} {
		t.Run(name, func(t *testing.T) {
			srv, harness := newScriptedServer(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
			system := useFaultySystem(srv)
			router := startServer(t, srv)
			client := dial(t, router.addr)
			client.send(getCommand("r0"))
			waitUntil(t, "an empty read after the request", func() bool {
				return system.bytesReadAtEmptyRead.Load() == int64(len(getCommand("r0")))
			})
			delay := fault{after: call == callRead, reached: make(chan struct{}), resume: make(chan struct{})}
			system.inject(call, delay)
			client.send(getCommand("r1"))
			receive(t, delay.reached, "delay of the reader")
			client.send(getCommand("r2"))
			sentAt := srv.loop.clock()
			waitUntil(t, "the end of the delay", func() bool { return srv.loop.clock() > sentAt+2*timeoutSlack })
			close(delay.resume)
			harness.waitForOpenRequests(3)
			harness.do(func() {
				for _, req := range srv.loop.requests {
					if late := req.deadline - sentAt - harness.requestTimeout(); late > timeoutSlack {
						t.Errorf("the deadline of request %s is %d us too late", req.command.Args[resp.IDArgument], late)
					}
				}
			})
		})
	}
}

// TestDeadlineCountsWhileConnectionIsQueued checks that the deadline of a request counts from its arrival,
// and not from before it, if its connection is queued at the listener while accept fails. This holds also
// if the system does not report the age of the data.
func TestDeadlineCountsWhileConnectionIsQueued(t *testing.T) {
	for name, ageUnknown := range map[string]bool{"data age known": false, "data age unknown": true} {
		t.Run(name, func(t *testing.T) {
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			engine := &scriptedEngine{outcomes: make(chan *policy.AttemptDone, 1000)}
			srv.loop.engine = engine
			system := useFaultySystem(srv)
			var acceptWorks atomic.Bool
			system.setDecide(func(call systemCall, _ int) *fault {
				switch {
				case call == callAccept && !acceptWorks.Load():
					return &fault{err: unix.ENFILE}
				case call == callLastDataAge && ageUnknown:
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
			waitUntil(t, "the end of the timeout slack", func() bool { return srv.loop.clock() > after+2*timeoutSlack })
			acceptWorks.Store(true)
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

// startWithDelayedAccept starts a router that accepts no connection until endDelay is called.
func startWithDelayedAccept(t *testing.T) (router *runningRouter, harness *loopHarness, endDelay func()) {
	t.Helper()
	srv, harness := newScriptedServer(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	delay := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	useFaultySystem(srv).inject(callAccept, delay)
	router = startServer(t, srv)
	receive(t, delay.reached, "delay of the accept")
	return router, harness, func() { close(delay.resume) }
}

// TestDeadlineCountsWhileAcceptIsDelayed guards against deadlines that count from the accept of a connection. While
// hundreds of others connected, connections were accepted up to 0.3 s after their first requests had arrived, and
// caches were told that much more than the clients had left.
func TestDeadlineCountsWhileAcceptIsDelayed(t *testing.T) {
	router, harness, endDelay := startWithDelayedAccept(t)
	srv := router.srv
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	sentAt := srv.loop.clock()
	waitUntil(t, "the end of the delay", func() bool { return srv.loop.clock() > sentAt+2*timeoutSlack })
	endDelay()
	req := harness.onlyRequest()
	if late := req.deadline - sentAt - harness.requestTimeout(); late > timeoutSlack {
		t.Errorf("the deadline is %d us too late", late)
	}
}

// TestDeadlineOfQueuedConnectionCounts checks that a connection which waits in the listener's queue behind others counts
// as having waited, also if its requests came in several segments, whose age the system does not tell.
func TestDeadlineOfQueuedConnectionCounts(t *testing.T) {
	srv, harness := newScriptedServer(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	system := useFaultySystem(srv)
	delays := []fault{
		{reached: make(chan struct{}), resume: make(chan struct{})},
		{reached: make(chan struct{}), resume: make(chan struct{})},
	}
	system.inject(callAccept, delays...)
	router := startServer(t, srv)
	receive(t, delays[0].reached, "delay of the first accept")
	dial(t, router.addr) // it is accepted while the next one waits in the queue
	client := dial(t, router.addr)
	close(delays[0].resume)
	receive(t, delays[1].reached, "delay of the second accept")
	client.send(getCommand("r1"))
	sentAt := srv.loop.clock()
	waitUntil(t, "the end of the delay", func() bool { return srv.loop.clock() > sentAt+2*timeoutSlack })
	client.send(getCommand("r2"))
	close(delays[1].resume)
	harness.waitForOpenRequests(2)
	harness.do(func() {
		for _, req := range srv.loop.requests {
			if late := req.deadline - sentAt - harness.requestTimeout(); req.externalID() == "r1" && late > timeoutSlack {
				t.Errorf("the deadline is %d us too late", late)
			}
		}
	})
}

// TestDeadlineOfNewConnectionBehindOldQueue guards against requests that count as having arrived before their connection
// was established. While clients connected without a pause, the listener's queue was never empty, and requests that
// came in several segments on a new connection counted from when it was last so: they were told as too late.
func TestDeadlineOfNewConnectionBehindOldQueue(t *testing.T) {
	router, harness, endDelay := startWithDelayedAccept(t)
	srv := router.srv
	const queueAge = 50 * maxSystemTick
	srv.acceptStalledSince = srv.loop.clock()
	dial(t, router.addr)
	waitUntil(t, "an old queue", func() bool { return srv.loop.clock() > srv.acceptStalledSince+queueAge })
	connectedAt := srv.loop.clock()
	client := dial(t, router.addr)
	for range 2 {
		client.send(getCommand("r"))
	}
	endDelay()
	harness.waitForOpenRequests(2)
	harness.do(func() {
		for _, req := range srv.loop.requests {
			if early := connectedAt + harness.requestTimeout() - req.deadline; early > 2*maxSystemTick {
				t.Errorf("a deadline is %d us too early", early)
			}
		}
	})
}
