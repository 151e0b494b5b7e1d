package router

import (
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	// delayReportInterval is the time in microseconds between two reports to the engine of how late requests
	// are handled.
	delayReportInterval policy.Time = 100_000
	// maxReportLateness is the time in microseconds by which a report may be late. After a longer stall all
	// requests are late for a moment, which says nothing about what the router can do.
	maxReportLateness = delayReportInterval / 2
)

// requestLimiter holds the requests that clients' readers take to the rate that the engine sets. Any goroutine
// may use it.
type requestLimiter struct {
	limiter  *rate.Limiter
	limited  atomic.Bool
	reply    atomic.Pointer[[]byte] // to a request beyond the limit
	rejected atomic.Int64           // requests beyond the limit, since the last report
}

func newRequestLimiter() *requestLimiter {
	return &requestLimiter{limiter: rate.NewLimiter(rate.Inf, 1)}
}

// set applies what the engine has decided.
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

// reject returns the reply to a request that is beyond the limit, or nil.
func (l *requestLimiter) reject() []byte {
	if !l.limited.Load() || l.limiter.Allow() {
		return nil
	}
	l.rejected.Add(1)
	return *l.reply.Load()
}

// delayReporter reports to the engine how late the event loop handles requests. It belongs to the event loop.
type delayReporter struct {
	loop      *eventLoop
	scheduled bool        // the next report
	since     policy.Time // begin of the time that it is about
	least     policy.Time // delay of a request in that time
	taken     int         // requests in that time
}

// noteRequest takes a request that was posted at the given time and is handled now.
func (r *delayReporter) noteRequest(postedAt policy.Time) {
	delay := r.loop.now - postedAt
	if r.taken == 0 || delay < r.least {
		r.least = delay
	}
	r.taken++
	r.scheduleReport()
}

// scheduleReport has a report made while there is something to tell. An idle router makes none.
func (r *delayReporter) scheduleReport() {
	if r.scheduled {
		return
	}
	r.scheduled, r.since = true, r.loop.now
	r.scheduleNext()
}

func (r *delayReporter) scheduleNext() {
	due := r.loop.now + delayReportInterval
	r.loop.schedule(due, func() { r.report(due) })
}

// report makes the report that was due at the given time.
func (r *delayReporter) report(due policy.Time) {
	l := r.loop
	if l.now > due+maxReportLateness {
		r.scheduleNext()
		return
	}
	l.pendingEvents = append(l.pendingEvents, &policy.DelayReport{
		Interval: l.now - r.since,
		MinDelay: r.least,
		Handled:  r.taken,
		Rejected: int(l.limiter.rejected.Swap(0)),
	})
	r.scheduled, r.least, r.taken = false, 0, 0
	if l.limiter.limited.Load() {
		r.scheduleReport()
	}
}
