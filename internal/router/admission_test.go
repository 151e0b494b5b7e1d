package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestRequestsWaitForOtherEvents checks that the event loop handles all other events before new requests.
// Otherwise the replies of caches would wait behind many new requests and be late.
func TestRequestsWaitForOtherEvents(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	blocked, resume := make(chan struct{}), make(chan struct{})
	go harness.loop.post(func() {
		close(blocked)
		<-resume
	})
	receive(t, blocked, "start of a long turn")
	const count = 50
	var order []string
	var ran sync.WaitGroup
	ran.Add(2 * count)
	record := func(what string) func() {
		return func() {
			order = append(order, what)
			ran.Done()
		}
	}
	for range count {
		harness.loop.postRequest(record("request"))
	}
	for range count {
		harness.loop.post(record("event"))
	}
	close(resume)
	ran.Wait()
	for i, what := range order {
		if (i < count) != (what == "event") {
			t.Fatalf("%s in place %d of %d", what, i, 2*count)
		}
	}
}

// TestRequestsBeyondLimitAreRejected checks that requests beyond the limit of an overloaded router are
// rejected, that the replies keep the order of the commands, and that other commands are not limited.
func TestRequestsBeyondLimitAreRejected(t *testing.T) {
	router, harness := startScriptedRouter(t)
	client := dial(t, router.addr)
	harness.do(func() { harness.loop.perform(policy.LimitRequests{PerSecond: 0.001, RetryAfter: 250_000}) })
	client.send(getCommand("first"))
	harness.waitForOpenRequests(1)
	const requests = 100
	for i := range requests {
		client.send(getCommand(fmt.Sprint("r", i)) + "PING\r\n")
	}
	waitUntil(t, "rejections", func() bool { return harness.loop.statistics.rejects[rejectOverloaded].Load() == requests })
	harness.do(func() {
		for id := range harness.loop.requests {
			harness.loop.perform(policy.Fail{ID: id})
		}
	})
	client.wantLine(strings.TrimSpace(resp.FailedReply))
	for range requests {
		client.wantLine(strings.TrimSpace(string(resp.AppendBusy(nil, 250_000))))
		client.wantLine(strings.TrimSpace(notReadyReply))
	}
	harness.do(func() { harness.loop.perform(policy.LimitRequests{}) })
	client.send(getCommand("last"))
	harness.waitForOpenRequests(1)
}

// TestRequestOfDisconnectedClientIsDropped checks that a request is not accepted if the event loop has
// already handled the disconnect of its client, which can overtake the request because other events come
// first.
func TestRequestOfDisconnectedClientIsDropped(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	harness.do(func() {
		c := &clientConn{requests: map[int64]*request{}}
		slot := newReplySlot(harness.loop.memory)
		harness.loop.clientDisconnected(c)
		harness.loop.acceptRequest(c, slot, resp.Command{}, harness.loop.now)
		if len(harness.loop.requests) > 0 || len(slot.reply) != 1 || len(c.requests) > 0 {
			t.Error("the request of a disconnected client is accepted")
		}
	})
}

// delayReportRecorder is an engine that records the reports of event loop delays.
type delayReportRecorder struct {
	scriptedEngine
	reports chan *policy.DelayReport
}

func (r *delayReportRecorder) Handle(now policy.Time, ev policy.Event) []policy.Action {
	if report, ok := ev.(*policy.DelayReport); ok {
		r.reports <- report
	}
	return r.scriptedEngine.Handle(now, ev)
}

// TestDelayReports checks the reports to the engine on the delay with which requests are handled: they are
// made after requests, and without any while there is a limit.
func TestDelayReports(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	recorder := &delayReportRecorder{reports: make(chan *policy.DelayReport, 100)}
	harness.do(func() {
		recorder.outcomes = harness.outcomes
		harness.loop.engine = recorder
	})
	const delay = 30_000
	harness.do(func() {
		for i := range policy.Time(3) {
			harness.loop.delayReporter.noteRequest(harness.loop.now - delay - i)
		}
	})
	report := receive(t, recorder.reports, "report")
	if report.MinDelay != delay || report.Handled != 3 || report.Interval < delayReportInterval {
		t.Errorf("report %+v, want 3 requests and a minimum delay of %d", report, delay)
	}
	harness.do(func() { harness.loop.perform(policy.LimitRequests{PerSecond: 1000}) })
	harness.do(func() { harness.loop.delayReporter.noteRequest(harness.loop.now) })
	receive(t, recorder.reports, "report")
	if report = receive(t, recorder.reports, "report while requests are limited"); report.Handled != 0 || report.MinDelay != 0 {
		t.Errorf("report %+v, want no requests", report)
	}
}

// TestNoReportAfterStall checks that a report that is late because of a stall is postponed. The requests
// handled right after a stall are not representative of the load.
func TestNoReportAfterStall(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	harness.do(func() {
		loop := harness.loop
		loop.delayReporter.noteRequest(loop.now - 1)
		loop.pendingEvents = nil
		loop.delayReporter.report(loop.now - maxReportLateness - 1)
		if len(loop.pendingEvents) > 0 {
			t.Error("a report is made after a stall")
		}
		loop.delayReporter.report(loop.now - maxReportLateness)
		if len(loop.pendingEvents) != 1 {
			t.Error("no report is made")
		}
		loop.pendingEvents = nil
	})
}

// TestRepliesAreWrittenTogether checks that replies that are available at the same time are written in
// order, and that merging them does not overwrite memory behind a reply that belongs to another one.
func TestRepliesAreWrittenTogether(t *testing.T) {
	router, harness := startScriptedRouter(t)
	client := dial(t, router.addr)
	const requests = 20
	shared := []byte(strings.Repeat("#", 400))
	var commands strings.Builder
	for i := range requests {
		commands.WriteString(getCommand(fmt.Sprint("r", i)))
	}
	client.send(commands.String())
	harness.waitForOpenRequests(requests)
	harness.do(func() {
		for id, req := range harness.loop.requests {
			reply := []byte("+" + req.externalID() + "\r\n")
			if req.externalID() == "r0" {
				reply = append(shared[:0], reply...) // its spare capacity belongs to another reply
			}
			harness.loop.finishRequest(id, requestServed, reply)
		}
	})
	for i := range requests {
		client.wantLine(fmt.Sprint("+r", i))
	}
	if tail := string(shared[len("+r0\r\n"):]); strings.Trim(tail, "#") != "" {
		t.Errorf("memory behind a reply was written: %q", tail)
	}
	router.waitForFreeMemory(t)
}
