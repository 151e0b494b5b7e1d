// Placement: the primary of a key by rendezvous hashing, its fallbacks, and the replicas of a hot key.

package policy

import "math"

const (
	maxCandidates    = 4     // caches considered before one that is unhealthy is used after all
	hotKeyShare      = .5    // of a cache's fair share of the requests that one key may take
	minHotKeyCount   = 2     // requests for a key before it can be hot
	hotKeyDeviations = 2     // standard deviations by which chance may have raised a key's count
	minUnit          = 1e-18 // keeps the logarithm of a hash finite
)

// rank orders the caches in service for a key. All routers agree on the order.
func (e *Engine) rank(key uint64) {
	e.ranking.Reset(e.inService)
	for i, c := range e.inService {
		e.ranking.SetScore(i, -math.Log(hashToUnit(key^c.hash)+minUnit)/c.Weight)
	}
	if replicas := min(e.replicaCount(key), e.ranking.Len()); replicas > 1 {
		// A hot key would overload its primary, and the primary's other keys would miss elsewhere.
		e.ranking.At(replicas - 1)
		e.ranking.Swap(0, int(e.rng.Float64()*float64(replicas)))
	}
}

// replicaCount is over how many caches a key's requests are spread: one, unless it is hot.
func (e *Engine) replicaCount(key uint64) int {
	total := e.keyCounts.Total(key)
	if total < minHotKeyCount {
		return 1
	}
	count := float64(total)
	if e.sparseTraffic() { // two of few requests may be chance, and a key that all routers spread misses
		count = max(0, count-hotKeyDeviations*math.Sqrt(count))
	}
	share := count / float64(e.requestCounts.Total())
	return 1 + int(share*float64(len(e.inService))/hotKeyShare)
}

// pickCache returns the cache for the next attempt or nil, and whether only a lack of capacity is in the way.
func (e *Engine) pickCache(req *request) (picked *cache, overloaded bool) {
	var fallback *cache // the first unusable one with capacity
	considered := 0
	req.spilledOver = false
	e.rank(req.Key)
	for i := 0; i < e.ranking.Len() && considered < maxCandidates; i++ {
		c := e.ranking.At(i)
		if !e.canSend(req, c) || req.alreadyTried(c) || !e.slowStartAllows(req, c) {
			continue
		}
		if e.circuitOpen(c) { // not counted: an unreachable zone may hold most of the fleet
			fallback = e.fallback(fallback, c)
			continue
		}
		considered++
		switch {
		case !e.acceptsKey(c, req.Key):
		case !c.usable():
			fallback = e.fallback(fallback, c)
		case req.likelyMissAt(c) && e.originFull():
			overloaded, req.originLimited = true, true
		case !e.hasCapacity(c):
			overloaded = true
		case !overloaded || e.canSpillOver(req, c):
			req.spilledOver = overloaded
			return c, false
		}
	}
	if overloaded {
		return nil, true
	}
	return fallback, false
}

func (e *Engine) fallback(first, c *cache) *cache {
	if first == nil && e.hasCapacity(c) {
		return c
	}
	return first
}

// alreadyTried reports whether the next attempt should go to another cache. One reset connection says little
// about the cache, and at any other the key would miss.
func (r *request) alreadyTried(c *cache) bool {
	attempts := 0
	for _, a := range r.attempts {
		if a.cache == c {
			attempts++
			if !a.connectionReset || attempts > 1 {
				return true
			}
		}
	}
	return false
}

// canSpillOver reports whether a request whose primary lacks capacity may go to another cache, though it
// likely misses there. In overload none goes to a warming cache.
func (e *Engine) canSpillOver(req *request, c *cache) bool {
	return (e.now >= c.warmAt || e.goodputRatio >= 1-toleratedLateShare) &&
		(c.likelyCached(req.Key) || e.originHasCapacity() || e.retryBudget >= 1)
}
