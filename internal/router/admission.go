package router

import (
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	// delayReportInterval is the time in microseconds between two delay reports to the engine.
	delayReportInterval policy.Time = 100_000
	// maxReportLateness is the maximum time in microseconds by which a report may be late. After a longer stall
	// all requests are delayed briefly, which says nothing about the router's capacity.
	maxReportLateness = delayReportInterval / 2
)

// requestLimiter limits the rate of requests from all clients to the limit that the engine sets. Any goroutine
// may use it.
type requestLimiter struct {
	limiter  *rate.Limiter
	limited  atomic.Bool
	shares   requestShares
	reply    atomic.Pointer[[]byte] // reply to requests beyond the limit
	rejected atomic.Int64           // number of requests beyond the limit since the last report
}

func newRequestLimiter() *requestLimiter {
	return &requestLimiter{limiter: rate.NewLimiter(rate.Inf, 1)}
}

// set applies the engine's limit, and removes the limit if PerSecond is 0.
func (l *requestLimiter) set(limit policy.LimitRequests) {
	reply := resp.AppendBusy(nil, limit.RetryAfter)
	l.reply.Store(&reply)
	if limit.PerSecond > 0 {
		l.limiter.SetLimit(rate.Limit(limit.PerSecond))
		burst := limit.PerSecond * microseconds(delayReportInterval).Seconds()
		l.limiter.SetBurst(max(1, int(math.Ceil(burst))))
	}
	l.limited.Store(limit.PerSecond > 0)
}

// admitOrReject counts a request of a connection against the limit. It returns nil if the request is admitted, or
// otherwise the reply that rejects it. A connection is admitted up to an equal share of the limit, however much others
// send; what they leave is given in the order of arrival.
func (l *requestLimiter) admitOrReject(c *connRequests, now policy.Time) []byte {
	inPeriod := float64(l.limiter.Limit()) * microseconds(delayReportInterval).Seconds()
	inShare := l.shares.note(c, now, inPeriod)
	if !l.limited.Load() || l.limiter.Allow() || inShare {
		return nil
	}
	l.rejected.Add(1)
	return *l.reply.Load()
}

// delayReporter reports to the engine the delay with which the event loop handles requests. It is owned by the
// event loop.
type delayReporter struct {
	loop        *eventLoop
	scheduled   bool        // a report is scheduled
	periodStart policy.Time // start of the reporting period
	leastDelay  policy.Time // least delay of a request in the reporting period
	handled     int         // number of requests handled in the reporting period
}

// noteRequest records that a request is handled now that was posted at the given time.
func (r *delayReporter) noteRequest(postedAt policy.Time) {
	delay := r.loop.now - postedAt
	if r.handled == 0 || delay < r.leastDelay {
		r.leastDelay = delay
	}
	r.handled++
	r.startPeriod()
}

// startPeriod starts a reporting period and schedules its report, unless one is scheduled. An idle router
// makes no reports.
func (r *delayReporter) startPeriod() {
	if r.scheduled {
		return
	}
	r.scheduled, r.periodStart = true, r.loop.now
	r.scheduleAfterInterval()
}

// scheduleAfterInterval schedules the report after one interval.
func (r *delayReporter) scheduleAfterInterval() {
	due := r.loop.now + delayReportInterval
	r.loop.schedule(due, func() { r.report(due) })
}

// report sends the report that was due at the given time to the engine. If it is too late it extends the
// reporting period by one interval instead.
func (r *delayReporter) report(due policy.Time) {
	l := r.loop
	if l.now > due+maxReportLateness {
		r.scheduleAfterInterval()
		return
	}
	l.pendingEvents = append(l.pendingEvents, &policy.DelayReport{
		Interval: l.now - r.periodStart,
		MinDelay: r.leastDelay,
		Handled:  r.handled,
		Rejected: int(l.limiter.rejected.Swap(0)),
	})
	r.scheduled, r.leastDelay, r.handled = false, 0, 0
	if l.limiter.limited.Load() {
		r.startPeriod()
	}
}
