// Overload of the router itself: the limit on requests while it has less processor time than they need.

package policy

const (
	// minOwnDelay is the lower bound of the delay above which the router counts as overloaded.
	minOwnDelay Time = 20_000
	// ownDelayDivisor divides the shortest latency objective to give that delay.
	ownDelayDivisor = 8
	// minBehindReports is the number of consecutive reports above that delay that count as an overload. A
	// single one can follow a stall of the process, after which all requests are late for a moment.
	minBehindReports = 2
	// delayReportSpans is the number of report intervals for which a reported delay is assumed to last.
	delayReportSpans = 2

	leastCut          = .9  // factor of the limit for a delay that just counts as overload
	deepestCut        = .7  // least factor of the limit for any longer delay
	requestRateGrowth = 1.1 // factor of the limit for a shorter delay while the limit still rejects requests

	minRequestRate  = 10 // least limit, in requests a second
	microsPerSecond = 1e6
)

// delayReported adjusts the limit on requests to the delay with which they are handled. Late replies are of no
// use: a router that accepts more than it can handle in time serves only a small part of what it could.
func (e *Engine) delayReported(ev *DelayReport) {
	e.routerDelay, e.routerDelayUntil = ev.MinDelay, e.now+delayReportSpans*ev.Interval
	if ev.MinDelay > e.maxOwnDelay() {
		e.behindReports++
	} else {
		e.behindReports = 0
	}
	switch {
	case e.behindReports >= minBehindReports:
		e.cutRequestLimit(ev)
	case e.behindReports > 0 || e.requestLimit == 0:
	case ev.Rejected == 0: // the limit is no longer reached
		e.limitRequests(0)
	default:
		e.limitRequests(e.requestLimit * requestRateGrowth)
	}
}

// cutRequestLimit lowers the limit to a part of the rate that the router handles. The part is smaller for a
// longer delay.
func (e *Engine) cutRequestLimit(ev *DelayReport) {
	rate := float64(ev.Handled) / float64(max(ev.Interval, 1)) * microsPerSecond
	if e.requestLimit > 0 {
		rate = min(rate, e.requestLimit)
	}
	cut := max(deepestCut, leastCut*float64(e.maxOwnDelay())/float64(ev.MinDelay))
	e.limitRequests(max(minRequestRate, rate*cut))
}

// maxOwnDelay returns the delay of requests above which the router counts as overloaded.
func (e *Engine) maxOwnDelay() Time { return max(minOwnDelay, e.shortestObjective/ownDelayDivisor) }

// limitRequests sets the limit on requests per second; 0 means no limit.
func (e *Engine) limitRequests(perSecond float64) {
	if (perSecond > 0) != (e.requestLimit > 0) {
		e.logf("router overloaded active=%t delay_us=%d limit_per_second=%.0f",
			perSecond > 0, e.routerDelay, perSecond)
	}
	e.requestLimit = perSecond
	e.emit(LimitRequests{PerSecond: perSecond, RetryAfter: min(e.settings.MaxRetryAfter, e.shortestObjective)})
}

// canAnswerInTime reports whether this router, with its reported delay, would handle the reply to a request
// that is sent now before the request's deadline.
func (e *Engine) canAnswerInTime(req *request) bool {
	return e.now >= e.routerDelayUntil || e.now+e.routerDelay < req.Deadline
}
