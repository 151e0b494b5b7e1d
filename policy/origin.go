// The origin: which attempts it likely has to serve, and the limit on those.

package policy

const (
	minOriginLimit           = 1   // least limit on likely misses in flight
	toleratedOriginLateShare = .15 // share of overdue likely misses at which the limit stays: recovery is slow
	missObjectiveShare       = .65 // of the latency objective; a likely miss beyond it counts against the origin
	missRatioWindow          = 64  // likely misses over which the share of true ones fades
)

// likelyMissAt reports whether the origin likely has to serve a read that is sent to the cache.
func (r *request) likelyMissAt(c *cache) bool { return !r.Write && !c.likelyCached(r.Key) }

// originHasCapacity reports whether the origin can take misses that could be avoided.
func (e *Engine) originHasCapacity() bool { return float64(e.missesInFlight) < e.originLimit/2 }

// originFull reports whether likely misses must wait. Of those in flight only the share of true ones counts.
func (e *Engine) originFull() bool { return float64(e.missesInFlight)*e.missRatio >= e.originLimit }

func (e *Engine) adjustOriginLimit(good bool) {
	e.adjustLimit(&e.originLimit, good, toleratedOriginLateShare)
	e.originLimit = max(minOriginLimit, e.originLimit)
}

// missLatencyLimit is how long a likely miss may take before it counts against the origin. Where few are in
// flight, it is the whole objective: misses that are slow by nature do not become faster.
func (e *Engine) missLatencyLimit(req *request, c *cache) Time {
	objective := req.class.LatencyObjective
	if e.originLimit <= float64(len(e.inService))*e.routerShare() {
		return objective
	}
	slowness := e.latencyThresholdAt(c, req.class) - req.class.latencyThreshold()
	return min(objective, Time(missObjectiveShare*float64(objective))+slowness)
}

// attemptOverdue blames a late attempt on the origin if it is a likely miss and the cache served the last
// likely hit in time, else on the cache.
func (e *Engine) attemptOverdue(req *request, n int) {
	a := &req.attempts[n]
	c := a.cache
	if a.likelyMiss && c.lastHitOnTime && e.now >= c.warmAt { // a warming one is slow itself and has few hits
		e.schedule(a.sentAt+e.missLatencyLimit(req, c), func() { e.missOverdue(&req.attempts[n]) })
		return
	}
	c.lastHitOnTime = false
	if c.concurrencyLimit > e.routerShare() {
		e.adjustAllLimits(false)
		e.adjustCacheLimit(c, false)
		return
	}
	// Caches that are slow by nature do not become faster: a sole attempt may take its whole objective.
	e.schedule(a.sentAt+req.class.LatencyObjective, func() {
		if req.attempts[n].pending {
			e.adjustCacheLimit(c, false)
		}
	})
}

// missOverdue blames an overdue likely miss on the origin, or on a cache that is silent while the origin
// serves others: to one of many routers, most of what a hung cache holds is a likely miss.
func (e *Engine) missOverdue(a *attempt) {
	if !a.pending {
		return
	}
	if a.cache.lastReplyAt <= a.sentAt && e.lastOriginReplyAt > a.sentAt {
		e.eject(a.cache)
	} else {
		e.adjustOriginLimit(false)
	}
}
