package policy

import (
	"strings"
	"testing"
)

const (
	testReportSpan  Time = 100 * ms
	testOwnCapacity      = 50 // requests that a router of the tests can handle in a report's time
)

// report gives the engine a report and returns the limit that it sets; ok is false if it sets none.
func (h *engineHarness) report(delay Time, taken, rejected int) (limit LimitRequests, ok bool) {
	h.now += testReportSpan
	for _, action := range h.handle(&DelayReport{Interval: testReportSpan, MinDelay: delay, Handled: taken, Rejected: rejected}) {
		if set, isLimit := action.(LimitRequests); isLimit {
			limit, ok = set, true
		}
	}
	return limit, ok
}

// TestRouterThatIsBehindTakesFewerRequests checks when the limit on requests is set, moved and taken away.
func TestRouterThatIsBehindTakesFewerRequests(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	behind := h.engine.maxOwnDelay()
	if _, ok := h.report(behind, 100, 0); ok {
		t.Error("a limit without a delay beyond the bound")
	}
	h.report(behind+1, 100, 0)
	first, ok := h.report(behind+1, 100, 0)
	if !ok || first.PerSecond >= 1000*leastCut || first.PerSecond < 999*leastCut || first.RetryAfter != 200*ms {
		t.Errorf("limit %+v, want most of the 1,000 requests a second that were taken", first)
	}
	if !strings.Contains(logText(h.actions), "router overloaded active=true") {
		t.Error("the overload is not logged")
	}
	if second, _ := h.report(10*behind, 200, 0); second.PerSecond != first.PerSecond*deepestCut {
		t.Errorf("limit %v behind %v, though the router is far behind", second.PerSecond, first.PerSecond)
	}
	for range 100 {
		h.report(behind+1, 0, 10)
	}
	floor, _ := h.report(behind+1, 0, 10)
	if floor.PerSecond != minRequestRate {
		t.Errorf("limit %v, want %v at least", floor.PerSecond, minRequestRate)
	}
	if grown, _ := h.report(0, 1, 10); grown.PerSecond <= floor.PerSecond {
		t.Errorf("limit %v behind %v, though the router has caught up", grown.PerSecond, floor.PerSecond)
	}
	if none, ok := h.report(0, 1, 0); !ok || none.PerSecond != 0 {
		t.Errorf("limit %v that rejects nothing", none.PerSecond)
	}
	if _, ok := h.report(0, 1, 0); ok {
		t.Error("a limit is set without need")
	}
}

// TestStallDoesNotLimitRequests checks that a single report of late requests, as after a stall of the process,
// sets no limit, however often that happens.
func TestStallDoesNotLimitRequests(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	for range 20 {
		for _, delay := range []Time{150 * ms, 0} {
			if limit, ok := h.report(delay, 1, 0); ok {
				t.Fatalf("limit %v though the router has caught up with each stall", limit.PerSecond)
			}
		}
	}
}

// TestGoodputBeyondCapacity plays a router that gets several times what it can handle: it has to take nearly
// what it can, and to be without a limit soon after.
func TestGoodputBeyondCapacity(t *testing.T) {
	const (
		offered  = 4 * testOwnCapacity // in a report's time
		reports  = 200
		settling = 20 // reports until the limit is about right
		recovery = 20 // reports, 2 s
	)
	h := newTrafficHarness(t, 3, nil)
	limit, backlog, handled := float64(0), 0.0, 0.0
	play := func(offered float64) {
		taken := offered
		if limit > 0 {
			taken = min(taken, limit*float64(testReportSpan)/microsPerSecond)
		}
		backlog += taken
		done := min(backlog, testOwnCapacity)
		backlog -= done
		handled += done
		delay := Time(backlog / testOwnCapacity * float64(testReportSpan))
		if set, ok := h.report(delay, int(done), int(offered-taken)); ok {
			limit = set.PerSecond
		}
	}
	for range settling {
		play(offered)
	}
	handled = 0
	for range reports {
		play(offered)
	}
	if share := handled / (reports * testOwnCapacity); share < 0.8 {
		t.Errorf("%.2f of its capacity is used in overload", share)
	}
	for range recovery {
		play(testOwnCapacity / 2)
	}
	if limit > 0 || backlog > 0 {
		t.Errorf("limit %v and backlog %v after the overload", limit, backlog)
	}
}

// TestRequestThatCanNotBeAnsweredInTimeIsRejected checks that a router which handles everything late starts
// nothing whose reply it would handle behind the deadline.
func TestRequestThatCanNotBeAnsweredInTimeIsRejected(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	h.report(testTimeout, 10, 0)
	if h.request(1, "once", 1) != nil || countFinalAnswers(h.actions) != 1 {
		t.Error("a request is sent whose reply would come late")
	}
	h.report(testTimeout-1, 10, 0)
	if h.request(2, "once", 2) == nil {
		t.Error("a request that can be answered in time is not sent")
	}
	h.report(testTimeout, 10, 0)
	h.advance(delayReportSpans * testReportSpan)
	if h.request(3, "once", 3) == nil {
		t.Error("a request is rejected for a delay of long ago")
	}
}
