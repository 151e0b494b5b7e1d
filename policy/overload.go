// Overload of the router itself: how many requests it takes where it has less processor time than they need.

package policy

const (
	// minOwnDelay is the least delay of the requests of a report from which on the router may be behind.
	minOwnDelay Time = 20_000
	// ownDelayDivisor is the part of the shortest latency objective that requests may be delayed by.
	ownDelayDivisor = 8
	// minBehindReports is how many reports in a row show that a router is behind: after a stall of the process
	// one does, as all requests are late for a moment.
	minBehindReports = 2
	// delayReportSpans is for how many spans of a report its delay is taken to last.
	delayReportSpans = 2

	// Factors of the limit: for a report of a router that is just behind, at least for one that is far
	// behind, and for one that is not behind, though it rejects requests.
	leastCut          = .9
	deepestCut        = .7
	requestRateGrowth = 1.1

	minRequestRate  = 10 // least limit, in requests a second
	microsPerSecond = 1e6
)

// delayReported adjusts the limit on requests to the delay with which they are handled. Work that comes late
// is of no use to anyone: a router that takes what it can't do in time serves a small part of what it could.
func (e *Engine) delayReported(ev *DelayReport) {
	e.routerDelay, e.routerDelayUntil = ev.LeastDelay, e.now+delayReportSpans*ev.Span
	if ev.LeastDelay > e.maxOwnDelay() {
		e.behindReports++
	} else {
		e.behindReports = 0
	}
	switch {
	case e.behindReports >= minBehindReports:
		e.cutRequestLimit(ev)
	case e.behindReports > 0 || e.requestLimit == 0:
	case ev.Rejected == 0: // the limit binds no more
		e.limitRequests(0)
	default:
		e.limitRequests(e.requestLimit * requestRateGrowth)
	}
}

// cutRequestLimit lowers the limit to a part of what the router takes, the less the further it is behind.
func (e *Engine) cutRequestLimit(ev *DelayReport) {
	rate := float64(ev.Taken) / float64(max(ev.Span, 1)) * microsPerSecond
	if e.requestLimit > 0 {
		rate = min(rate, e.requestLimit)
	}
	cut := max(deepestCut, leastCut*float64(e.maxOwnDelay())/float64(ev.LeastDelay))
	e.limitRequests(max(minRequestRate, rate*cut))
}

// maxOwnDelay is the least delay of requests up to which the router is not behind.
func (e *Engine) maxOwnDelay() Time { return max(minOwnDelay, e.shortestObjective/ownDelayDivisor) }

// limitRequests limits the requests that the router takes in a second; 0 is no limit.
func (e *Engine) limitRequests(perSecond float64) {
	if (perSecond > 0) != (e.requestLimit > 0) {
		e.logf("router overloaded active=%t delay_us=%d limit_per_second=%.0f",
			perSecond > 0, e.routerDelay, perSecond)
	}
	e.requestLimit = perSecond
	e.emit(LimitRequests{PerSecond: perSecond, RetryAfter: min(e.settings.MaxRetryAfter, e.shortestObjective)})
}

// canAnswerInTime reports whether the reply to a request that is sent now would be handled before its
// deadline, as late as this router is.
func (e *Engine) canAnswerInTime(req *request) bool {
	return e.now >= e.routerDelayUntil || e.now+e.routerDelay < req.Deadline
}
