// Slow start: the share of the traffic that a cache gets while it warms up.

package policy

import "math"

const goodputWindow = 16 // attempts at warm caches that the moving average of the goodput ratio spans

// slowStartAllows reports whether the slow start lets the cache get the request. A warming cache gets only a
// share of its keys, because a cache that is pushed into overload stays overloaded. A second hash of the key
// selects that share, so that all routers send the cache the same keys.
func (e *Engine) slowStartAllows(req *request, c *cache) bool {
	if e.now >= c.warmAt {
		return true
	}
	share := e.slowStartShare(c)
	if slowStartHash(req.Key) >= share || e.mustAvoidWarmingCaches(req) {
		return false
	}
	weight := e.weightSums().warm
	if e.sparseTraffic && weight > 0 && e.mayBeHotKey(req.Key, c.Weight, share) {
		return false
	}
	// The selected keys can still carry too much traffic. The cache therefore gets at most its part of the
	// attempts that warm caches recently accepted, in proportion to its weight and its assumed capacity.
	accepted := e.warmLoad.At(e.now, e.settings.OverloadTime)
	acceptableAttempts := e.warmCapacityShare(c) * c.Weight * accepted / max(weight, c.Weight)
	return c.recentAttempts.At(e.now, e.settings.OverloadTime) < 1+acceptableAttempts
}

// slowStartHash maps a key to [0, 1). A warming cache gets the key if the result is below its share.
func slowStartHash(key uint64) float64 { return hashToUnit(mix(key) + 1) }

// mustAvoidWarmingCaches reports whether a request must not go to a warming cache, because it has been
// attempted before or its key is hot. During a fault, retries are most of the traffic, and all of them look
// for spare capacity.
func (e *Engine) mustAvoidWarmingCaches(req *request) bool {
	return len(req.attempts) > 0 || e.replicaCount(req.Key) > 1
}

// recentlyAccepted returns the fading count of attempts at a cache that it has not rejected. In overload,
// rejected requests are retried many times, so they don't measure the capacity of the caches. In sparse
// traffic, rejections are too few to be deducted.
func (e *Engine) recentlyAccepted(c *cache) float64 {
	attempts := c.recentAttempts.At(e.now, e.settings.OverloadTime)
	if e.sparseTraffic {
		return attempts
	}
	return max(0, attempts-c.recentRejections.At(e.now, e.settings.OverloadTime))
}

// mayBeHotKey reports whether a key may carry more traffic than a warming cache of the given weight and share
// of its keys can serve, as all of many routers may send the key there. Each router therefore sends it only
// with a probability that falls with the key's count. Whatever share s of all requests is for the key, the
// routers together then send at most half of the headroom that OverloadMultiple leaves beside the cache's
// other keys: half, because the cache may have two such keys. If n other requests precede the first one that
// a router sees for the key, it accounts for s*exp(-s*n) of all requests, at most 1/(e*n); later requests
// show the share.
func (e *Engine) mayBeHotKey(key uint64, weight, share float64) bool {
	fleetWeight := e.meanWeight * float64(len(e.inService))
	expectedRequests := float64(e.requestCounts.Total()) * weight / fleetWeight
	limit := expectedRequests * share * max(1, (e.settings.OverloadMultiple-1)/2)
	count := e.keyCounts.Total(key)
	if count == 1 {
		limit *= math.E
	}
	return hashToUnit(key+e.salt)*float64(count) >= limit
}

// updateGoodput updates the share of attempts at warm caches that are served within the latency objective.
// Failures within the objective do not count, except for rejections.
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

// slowStartShare returns the share of its keys that a warming cache gets: what it can serve by now, and less
// in overload.
func (e *Engine) slowStartShare(c *cache) float64 { return e.warmCapacityShare(c) * e.overloadFactor() }

// overloadFactor returns the factor by which overload lowers the slow start's share: the share of attempts
// that warm caches serve in time, or half of OverloadMultiple times that if it is more.
func (e *Engine) overloadFactor() float64 {
	return min(1, e.goodputRatio*max(1, e.settings.OverloadMultiple/2))
}

// warmCapacityShare returns the assumed capacity of a cache as a share of its capacity when warm. It grows
// linearly from WarmupStartShare to 1 over the warm-up time.
func (e *Engine) warmCapacityShare(c *cache) float64 {
	if e.now >= c.warmAt {
		return 1
	}
	age := float64(e.now-c.warmupFrom) / float64(e.settings.WarmupTime)
	return e.settings.WarmupStartShare + (1-e.settings.WarmupStartShare)*max(0, age)
}

// fleetWarmingUp reports whether the share of the fleet that is warming up, by weight, exceeds the tolerated
// share of late attempts. All misses are then late for a while, which is no reason to reject hits.
func (e *Engine) fleetWarmingUp() bool {
	weights := e.weightSums()
	return weights.warmingUp > toleratedLateShare*weights.total
}
