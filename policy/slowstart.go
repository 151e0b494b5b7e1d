// Slow start: the share of the traffic that a cache gets while it warms up.

package policy

import "math"

const goodputWindow = 16 // attempts at warm caches over which the share of those served in time fades

// slowStartAllows keeps a warming cache to its share of the traffic, as one pushed into overload stays there.
// A second hash of the key decides, so that all routers send it the same keys.
func (e *Engine) slowStartAllows(req *request, c *cache) bool {
	if e.now >= c.warmAt {
		return true
	}
	share := e.slowStartShare(c)
	if slowStartUnit(req.Key) >= share || e.keptOffWarming(req) {
		return false
	}
	weight := e.weightSums().warm
	if e.sparseTraffic() && weight > 0 && e.mayBeHotKey(req.Key, c.Weight, share) {
		return false
	}
	// The keys of its share can still add up to more than its part of what warm caches get.
	sent := e.warmLoad.At(e.now, e.settings.OverloadTime)
	fairPart := e.warmupFraction(c) * c.Weight * sent / max(weight, c.Weight)
	return c.recentAttempts.At(e.now, e.settings.OverloadTime) < 1+fairPart
}

// slowStartUnit is the hash of a key, from 0 to 1, by which it is in the share of a warming cache or not.
func slowStartUnit(key uint64) float64 { return hashToUnit(mix(key) + 1) }

// keptOffWarming reports whether a request may go to no warming cache: in a fault retries are most of the
// traffic, and they all look for capacity.
func (e *Engine) keptOffWarming(req *request) bool {
	return len(req.attempts) > 0 || e.replicaCount(req.Key) > 1
}

// recentlyAccepted counts the attempts of late that a cache has not rejected: in overload, what it rejects
// comes back many times and is no measure of what caches can do. Sparse traffic tells too little of that.
func (e *Engine) recentlyAccepted(c *cache) float64 {
	attempts := c.recentAttempts.At(e.now, e.settings.OverloadTime)
	if e.sparseTraffic() {
		return attempts
	}
	return max(0, attempts-c.recentRejections.At(e.now, e.settings.OverloadTime))
}

// mayBeHotKey reports whether a key may be more than a warming cache of that weight and share of its keys
// can serve, as all of many routers send it there. Together they send, for any share s of the key, at most
// half of what OverloadMultiple leaves beside the cache's other keys, as it may have two such keys. The first
// request that a router sees after n others makes up s*exp(-s*n) of all, at most 1/(e*n); later ones tell
// the share.
func (e *Engine) mayBeHotKey(key uint64, weight, share float64) bool {
	fleetWeight := e.meanWeight * float64(len(e.inService))
	fairPart := float64(e.requestCounts.Total()) * weight / fleetWeight
	limit := fairPart * share * max(1, (e.settings.OverloadMultiple-1)/2)
	count := e.keyCounts.Total(key)
	if count == 1 {
		limit *= math.E
	}
	return hashToUnit(key+e.salt)*float64(count) >= limit
}

func (e *Engine) updateGoodput(a *attempt, req *request, result Result) {
	late := e.now >= a.sentAt+req.class.LatencyObjective
	if e.now >= a.cache.warmAt && (late || result == Served || result == Rejected) {
		inTime := 0.0
		if result == Served && !late {
			inTime = 1
		}
		e.goodputRatio += (inTime - e.goodputRatio) / goodputWindow
	}
}

// slowStartShare is the share of its keys that a warming cache gets: as much as it can serve by now.
func (e *Engine) slowStartShare(c *cache) float64 { return e.warmupFraction(c) * e.overloadFactor() }

// overloadFactor lowers the share in overload to what warm caches serve in time, or to a multiple of that.
func (e *Engine) overloadFactor() float64 {
	return min(1, e.goodputRatio*max(1, e.settings.OverloadMultiple/2))
}

func (e *Engine) warmupFraction(c *cache) float64 {
	if e.now >= c.warmAt {
		return 1
	}
	age := float64(e.now-c.warmupFrom) / float64(e.settings.WarmupTime)
	return e.settings.WarmupStartShare + (1-e.settings.WarmupStartShare)*max(0, age)
}

// fleetWarmingUp reports whether more of the fleet is warming up than is tolerated of late attempts. All
// misses are then late for a while, which is no reason to reject hits.
func (e *Engine) fleetWarmingUp() bool {
	weights := e.weightSums()
	return weights.warmingUp > toleratedLateShare*weights.total
}
