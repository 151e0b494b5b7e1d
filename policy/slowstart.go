// Slow start of caches that have just started.

package policy

import "math"

const goodputWindow = 16 // attempts at warm caches over which the share of those served in time fades

// slowStartAllows keeps a cold cache to its share, whichever way a request comes to
// it. The danger: all routers' work adds up, and a cold cache pushed over stays
// down. A second hash of the key decides, so that routers agree and it fills steadily.
func (e *Engine) slowStartAllows(q *request, c *cache) bool {
	if e.now >= c.warmAt {
		return true
	}
	if len(q.attempts) > 0 || e.replicaCount(q.Key) > 1 || unitInterval(mix(mix(q.Key)+1)) >= e.slowStartShare(c) {
		return false // in trouble retries are most of what is sent, and they all look for room
	}
	// Retries and hot keys can still add up: it gets no more than its part of what warm ones get.
	sent, size := 0.0, 0.0
	for _, w := range e.inService {
		if e.now >= w.warmAt {
			sent, size = sent+e.recentAttemptCount(w), size+w.Weight
		}
	}
	if e.sparseTraffic() && size > 0 && e.mayBeHotKey(q.Key, c) {
		return false
	}
	return e.recentAttemptCount(c) < 1+e.warmupFraction(c)*c.Weight*sent/max(size, c.Weight)
}

// mayBeHotKey reports whether a key may be more than a cold cache can do: here a doubt speaks against it. The
// danger: each of many routers has seen a hot key once or twice, and all of them send it to a cache that is
// cold. So each sends on what keeps the sum over all routers, whatever the key's share of all requests, to
// half of what the tipping multiple leaves beside the cache's other keys, as it may have two such: of a share
// s, s*exp(-s*n) is the first that its router sees after n others, 1/(e*n) at most, and of later ones the
// count tells the share.
func (e *Engine) mayBeHotKey(key uint64, c *cache) bool {
	// Of what it was asked, the part of a cache of that size.
	part := float64(e.requestCounts[0]+e.requestCounts[1]) * c.Weight / (e.meanWeight * float64(len(e.inService)))
	most := part * e.slowStartShare(c) * max(1, (e.settings.OverloadMultiple-1)/2)
	n := e.keyCounts[0][key] + e.keyCounts[1][key]
	if n == 1 {
		most *= math.E
	}
	return unitInterval(mix(key+e.salt))*float64(n) >= most
}

// updateGoodput notes whether a warm cache served an attempt in time.
func (e *Engine) updateGoodput(a *attempt, q *request, result Result) {
	late := e.now >= a.sentAt+q.class.LatencyObjective
	if e.now >= a.cache.warmAt && (late || result == Served || result == Rejected) {
		e.goodputRatio += (float64(boolToInt(result == Served && !late)) - e.goodputRatio) / goodputWindow
	}
}

// recentAttemptCount is the number of attempts sent to a cache lately, fading within TipTime.
func (e *Engine) recentAttemptCount(c *cache) float64 {
	return c.recentAttempts * math.Exp(-float64(e.now-c.lastSentAt)/float64(max(e.settings.OverloadTime, 1)))
}

// slowStartShare is the share of its keys that a cold cache gets: as much as it can do by now.
func (e *Engine) slowStartShare(c *cache) float64 { return e.warmupFraction(c) * e.overloadFactor() }

// overloadFactor is what a cold cache's part is cut by in overload: to what warm ones do of what they are sent, or
// to half of the tipping multiple where that is more. The danger: its part of what is asked for, clients'
// retries included, is then far more than its part of what can be done.
func (e *Engine) overloadFactor() float64 {
	return min(1, e.goodputRatio*max(1, e.settings.OverloadMultiple/2))
}

// warmupFraction is the least share of its capacity that a cache can have by now.
func (e *Engine) warmupFraction(c *cache) float64 {
	if e.now >= c.warmAt {
		return 1
	}
	age := float64(e.now-c.warmupFrom) / float64(e.settings.WarmupTime)
	return e.settings.WarmupStartShare + (1-e.settings.WarmupStartShare)*max(0, age)
}

// fleetWarmingUp reports whether more of the fleet is cold than a share of late attempts is tolerated. The danger:
// what cold caches have lost is asked of the origin at once, all misses are late for a while, and routers
// refuse the hits with them.
func (e *Engine) fleetWarmingUp() bool {
	cold, all := 0.0, 0.0
	for _, c := range e.inService {
		if all += c.Weight; e.now < c.warmAt {
			cold += c.Weight
		}
	}
	return cold > toleratedLateShare*all
}
