package router

import (
	"sync/atomic"

	"marlstage/policy"
)

// requestShares counts the connections that send requests, to share a limit on requests equally among them. Any
// goroutine may use it.
type requestShares struct {
	period     atomic.Int64 // number of the current period of delayReportInterval
	active     atomic.Int64 // connections that have sent a request in the current period
	lastActive atomic.Int64 // the same of the period before it
}

// connRequests counts the requests of a connection. It is owned by its reader.
type connRequests struct {
	period int64
	count  int64 // in that period
}

// note counts a request of a connection. It reports whether the connection has sent no more in the current period than
// an equal share of the given number of requests.
func (s *requestShares) note(c *connRequests, now policy.Time, requestsInPeriod float64) bool {
	period := now / delayReportInterval
	if current := s.period.Load(); period > current && s.period.CompareAndSwap(current, period) {
		s.lastActive.Store(s.active.Swap(0))
	}
	if c.period != period {
		c.period, c.count = period, 0
		s.active.Add(1)
	}
	c.count++
	active := max(1, s.active.Load(), s.lastActive.Load())
	return float64(c.count*active) <= requestsInPeriod
}
