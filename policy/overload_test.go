package policy

import (
	"strings"
	"testing"
)

const (
	testReportInterval Time = 100 * ms // time between two delay reports
	testReportCapacity      = 50       // requests that the simulated router can handle per report interval
)

// reportDelay gives the engine a delay report and returns the limit that it sets; ok is false if it sets none.
func (h *engineHarness) reportDelay(delay Time, handled, rejected int) (limit LimitRequests, ok bool) {
	h.now += testReportInterval
	for _, action := range h.handle(&DelayReport{Interval: testReportInterval, MinDelay: delay, Handled: handled, Rejected: rejected}) {
		if set, isLimit := action.(LimitRequests); isLimit {
			limit, ok = set, true
		}
	}
	return limit, ok
}

// TestDelayLimitsRequests checks when the limit on requests per second is set, changed and removed.
func TestDelayLimitsRequests(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	overloadDelay := h.engine.overloadDelay()
	if _, ok := h.reportDelay(overloadDelay, 100, 0); ok {
		t.Error("a limit is set although the delay does not exceed the bound")
	}
	h.reportDelay(overloadDelay+1, 100, 0)
	first, ok := h.reportDelay(overloadDelay+1, 100, 0)
	if !ok || first.PerSecond >= 1000*maxDecreaseFactor || first.PerSecond < 999*maxDecreaseFactor || first.RetryAfter != 200*ms {
		t.Errorf("limit %+v, want most of the 1,000 requests per second that were handled", first)
	}
	if !strings.Contains(logText(h.actions), "router overloaded active=true") {
		t.Error("the overload is not logged")
	}
	if second, _ := h.reportDelay(10*overloadDelay, 200, 0); second.PerSecond != first.PerSecond*minDecreaseFactor {
		t.Errorf("limit %v after %v, though the delay is far beyond the bound", second.PerSecond, first.PerSecond)
	}
	for range 100 {
		h.reportDelay(overloadDelay+1, 0, 10)
	}
	minimum, _ := h.reportDelay(overloadDelay+1, 0, 10)
	if minimum.PerSecond != minRequestRate {
		t.Errorf("limit %v, want the minimum of %v", minimum.PerSecond, minRequestRate)
	}
	if raised, _ := h.reportDelay(0, 1, 10); raised.PerSecond <= minimum.PerSecond {
		t.Errorf("limit %v after %v, though the router has no delay any more", raised.PerSecond, minimum.PerSecond)
	}
	if removed, ok := h.reportDelay(0, 1, 0); !ok || removed.PerSecond != 0 {
		t.Errorf("limit %v is kept though it rejects nothing", removed.PerSecond)
	}
	if _, ok := h.reportDelay(0, 1, 0); ok {
		t.Error("a limit is set again without need")
	}
}

// TestStallDoesNotLimitRequests checks that a single report of a long delay, as after a stall of the process,
// sets no limit, even if it happens repeatedly.
func TestStallDoesNotLimitRequests(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	for range 20 {
		for _, delay := range []Time{150 * ms, 0} {
			if limit, ok := h.reportDelay(delay, 1, 0); ok {
				t.Fatalf("limit %v, though the router has no delay after each stall", limit.PerSecond)
			}
		}
	}
}

// TestGoodputBeyondCapacity simulates a router that gets several times the requests that it can handle. It
// must use most of its capacity meanwhile, and have no limit soon after the overload.
func TestGoodputBeyondCapacity(t *testing.T) {
	const (
		offered         = 4 * testReportCapacity // requests per report interval
		measuredReports = 200
		settlingReports = 20 // reports until the limit has settled
		recoveryReports = 20 // 2 s
	)
	h := newTrafficHarness(t, 3, nil)
	limit, backlog, handled := float64(0), 0.0, 0.0
	playReport := func(offered float64) {
		accepted := offered
		if limit > 0 {
			accepted = min(accepted, limit*float64(testReportInterval)/microsPerSecond)
		}
		backlog += accepted
		done := min(backlog, testReportCapacity)
		backlog -= done
		handled += done
		delay := Time(backlog / testReportCapacity * float64(testReportInterval))
		if set, ok := h.reportDelay(delay, int(done), int(offered-accepted)); ok {
			limit = set.PerSecond
		}
	}
	for range settlingReports {
		playReport(offered)
	}
	handled = 0
	for range measuredReports {
		playReport(offered)
	}
	if share := handled / (measuredReports * testReportCapacity); share < 0.8 {
		t.Errorf("%.2f of its capacity is used in overload", share)
	}
	for range recoveryReports {
		playReport(testReportCapacity / 2)
	}
	if limit > 0 || backlog > 0 {
		t.Errorf("limit %v and backlog %v after the overload", limit, backlog)
	}
}

// TestRequestThatCannotBeAnsweredInTimeIsRejected checks that a router with a long delay starts no request
// whose reply it would handle after the deadline.
func TestRequestThatCannotBeAnsweredInTimeIsRejected(t *testing.T) {
	h := newTrafficHarness(t, 3, nil)
	h.reportDelay(testTimeout, 10, 0)
	if h.request(1, "once", 1) != nil || countFinalAnswers(h.actions) != 1 {
		t.Error("a request is sent whose reply would come late")
	}
	h.reportDelay(testTimeout-1, 10, 0)
	if h.request(2, "once", 2) == nil {
		t.Error("a request that can be answered in time is not sent")
	}
	h.reportDelay(testTimeout, 10, 0)
	h.advance(delayReportLifetime * testReportInterval)
	if h.request(3, "once", 3) == nil {
		t.Error("a request is rejected because of an expired delay report")
	}
}
