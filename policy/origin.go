// The origin: what it likely has to serve, and how much of that is let out.

package policy

const (
	minOriginLimit           = 1   // likely misses that one router may have out, at least
	toleratedOriginLateShare = .15 // share of overdue likely misses that their limit bears: the origin is slow to recover
	missObjectiveShare       = .65 // of the aim after which a likely miss speaks against the origin
	missRatioWindow          = 64  // likely misses over which the share of true ones fades
)

// isLikelyMiss reports whether the origin likely has to serve a read that is sent to the cache.
func (e *Engine) isLikelyMiss(q *request, c *cache) bool { return !q.Write && !c.likelyCached(q.Key) }

// likelyCached reports whether the cache has answered for the key lately, so that it likely keeps it.
func (c *cache) likelyCached(key uint64) bool { return c.recentKeys[0][key] || c.recentKeys[1][key] }

func (e *Engine) originHasCapacity() bool { return float64(e.missesInFlight) < e.originLimit/2 }

// missLatencyLimit is how long a likely miss may take before it speaks against the origin. The danger: where
// misses are slow by themselves, fewer of them are no faster, and the limit finds no rest until
// nothing is fetched. Once all routers together have one out at each cache, it may take its whole aim.
func (e *Engine) missLatencyLimit(q *request, c *cache) Time {
	if e.originLimit <= float64(len(e.inService))*e.routerShare() {
		return q.class.LatencyObjective
	}
	slow := e.latencyThresholdAt(c, q.class) - q.class.latencyThreshold()
	return min(q.class.LatencyObjective, Time(missObjectiveShare*float64(q.class.LatencyObjective))+slow)
}

// attemptOverdue blames a late attempt on the origin if it is a likely miss and the cache answered the
// last likely hit in time, else on the cache. The danger: an origin that is asked for too much serves all of
// it late, writes too, and goes on with work that nobody waits for; a cache likewise.
func (e *Engine) attemptOverdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.cache
	if a.likelyMiss && c.lastHitOnTime && e.now >= c.warmAt { // a cold one is slow itself and has few hits
		e.schedule(a.sentAt+e.missLatencyLimit(q, c), func() {
			a := &q.attempts[n]
			switch {
			case !a.pending:
			case c.lastReplyAt <= a.sentAt && e.lastOriginReplyAt > a.sentAt:
				// The danger: one router of many knows few keys, and nearly all that a stuck cache
				// leaves lying counts as a likely miss. The origin has served others meanwhile.
				e.eject(c)
			default:
				e.adjustLimit(&e.originLimit, false, toleratedOriginLateShare)
				e.originLimit = max(1, e.originLimit)
			}
		})
		return
	}
	c.lastHitOnTime = false
	if c.concurrencyLimit > e.routerShare() {
		e.adjustAllLimits(false)
		e.adjustLimit(&c.concurrencyLimit, false, toleratedLateShare)
		return
	}
	// The danger: where all caches are slow by themselves, less load makes none of them faster,
	// and a share of nothing is served. Alone, an attempt may take its whole aim.
	e.schedule(a.sentAt+q.class.LatencyObjective, func() {
		if q.attempts[n].pending {
			e.adjustLimit(&c.concurrencyLimit, false, toleratedLateShare)
		}
	})
}
