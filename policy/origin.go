// The origin: prediction of the attempts that are misses, and the limit on them.

package policy

const (
	minOriginLimit = 1 // least limit on likely misses in flight
	// toleratedOriginLateShare is the share of overdue likely misses at which the limit stays constant. The
	// value allows for the slow recovery of the origin.
	toleratedOriginLateShare = .15
	// missObjectiveShare is the share of the latency objective after which a likely miss counts against the
	// origin.
	missObjectiveShare = .65
	missRatioWindow    = 64 // likely misses that the moving average of the share of actual misses spans
)

// likelyMissAt reports whether the origin likely has to serve a read that is sent to the cache.
func (r *request) likelyMissAt(c *cache) bool { return !r.Write && !c.likelyCached(r.Key) }

// originHasCapacity reports whether the origin has capacity for misses that could be avoided.
func (e *Engine) originHasCapacity() bool { return float64(e.missesInFlight) < e.originLimit/2 }

// originFull reports whether further likely misses must wait. Those in flight are multiplied by the share of
// actual misses.
func (e *Engine) originFull() bool { return float64(e.missesInFlight)*e.missRatio >= e.originLimit }

// adjustOriginLimit raises or lowers the origin's limit after one attempt.
func (e *Engine) adjustOriginLimit(success bool) {
	e.adjustLimit(&e.originLimit, success, toleratedOriginLateShare)
	e.originLimit = max(minOriginLimit, e.originLimit)
}

// missLatencyLimit returns how long a likely miss may take before it counts against the origin. With a low
// limit it is the whole latency objective, because a lower limit does not make inherently slow misses faster.
func (e *Engine) missLatencyLimit(req *request, c *cache) Time {
	objective := req.class.LatencyObjective
	if e.originLimit <= float64(len(e.inService))*e.routerShare {
		return objective
	}
	allowance := e.latencyThresholdAt(c, req.class) - req.class.latencyThreshold()
	return min(objective, Time(missObjectiveShare*float64(objective))+allowance)
}

// handleOverdueAttempt handles an attempt that exceeds the latency threshold. It counts against the origin if
// it is a likely miss and the cache served its last likely hit in time, otherwise against the cache.
func (e *Engine) handleOverdueAttempt(req *request, n int) {
	a := &req.attempts[n]
	c := a.cache
	if a.likelyMiss && c.lastLikelyHitInTime && e.now >= c.warmAt { // a warming cache is slow and has few hits
		e.scheduleFor(req, a.sentAt+e.missLatencyLimit(req, c), func() { e.handleOverdueMiss(&req.attempts[n]) })
		return
	}
	c.lastLikelyHitInTime = false
	if c.concurrencyLimit > e.routerShare {
		e.adjustAllLimits(false)
		e.adjustCacheLimit(c, false)
		return
	}
	// A lower limit does not make an inherently slow cache faster: a sole attempt may take its whole objective.
	e.scheduleFor(req, a.sentAt+req.class.LatencyObjective, func() {
		if req.attempts[n].pending {
			e.adjustCacheLimit(c, false)
		}
	})
}

// handleOverdueMiss handles a likely miss that exceeds missLatencyLimit. It ejects a cache that is silent
// while the origin serves others, and otherwise counts the miss against the origin. A hung cache shows mostly
// as likely misses, because one of many routers knows of few of the keys that the cache holds.
func (e *Engine) handleOverdueMiss(a *attempt) {
	if !a.pending {
		return
	}
	if a.cache.lastReplyAt <= a.sentAt && e.lastOriginReplyAt > a.sentAt {
		e.eject(a.cache)
	} else {
		e.adjustOriginLimit(false)
	}
}
