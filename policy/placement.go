// Placement: which cache of a key's ranking gets an attempt, and the replicas of a hot key.

package policy

import "math"

const (
	maxCandidates    = 4  // caches considered before one that is unhealthy is used after all
	hotKeyShare      = .5 // of a cache's fair share of the requests that one key may take
	minHotKeyCount   = 2  // requests for a key before it can be hot
	hotKeyDeviations = 2  // standard deviations by which chance may have raised a key's count
)

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

// drawReplica returns the rank of the cache that a request goes to first: the first rank, unless the key is
// hot. It would overload its primary, and the primary's other keys would miss elsewhere.
func (e *Engine) drawReplica(key uint64) int {
	if replicas := min(e.replicaCount(key), len(e.inService)); replicas > 1 {
		return int(e.rng.Float64() * float64(replicas))
	}
	return 0
}

// pick is the search for the cache of one attempt, which is offered caches in the order of the ranking.
type pick struct {
	engine     *Engine
	request    *request
	considered int
	overloaded bool   // only a lack of capacity is in the way
	fallback   *cache // the first unusable one with capacity
}

// pickCache returns the cache for the next attempt or nil, and whether only a lack of capacity is in the way.
func (e *Engine) pickCache(req *request) (picked *cache, overloaded bool) {
	req.spilledOver = false
	replica := e.drawReplica(req.Key)
	if !e.canAttempt(req) {
		return nil, false
	}
	p := &pick{engine: e, request: req}
	ranked := e.rankedFor(req, replica+1)
	if c := p.offerRanked(ranked, replica); c != nil {
		return c, false
	}
	if p.considered < maxCandidates && len(ranked) < len(e.inService) {
		for _, c := range e.searchRanking(req, ranked, maxCandidates-p.considered) {
			if p.offer(c) {
				return c, false
			}
		}
	}
	if p.overloaded {
		return nil, true
	}
	return p.fallback, false
}

// offerRanked offers the caches of the first ranks, with that of the replica's rank and the first exchanged.
func (p *pick) offerRanked(ranked []*cache, replica int) *cache {
	for i := range ranked {
		switch i {
		case 0:
			i = replica
		case replica:
			i = 0
		}
		if p.considered >= maxCandidates {
			return nil
		}
		if p.offer(ranked[i]) {
			return ranked[i]
		}
	}
	return nil
}

// offer reports whether the attempt goes to the cache.
func (p *pick) offer(c *cache) bool {
	e, req := p.engine, p.request
	if !e.mayTake(req, c) {
		return false
	}
	if e.circuitOpen(c) { // not counted: an unreachable zone may hold most of the fleet
		p.fallBack(c)
		return false
	}
	p.considered++
	switch {
	case !e.acceptsKey(c, req.Key):
	case !c.usable():
		p.fallBack(c)
	case req.likelyMissAt(c) && e.originFull():
		p.overloaded, req.originLimited = true, true
	case !e.hasCapacity(c):
		p.overloaded = true
	case !p.overloaded || e.canSpillOver(req, c):
		req.spilledOver = p.overloaded
		return true
	}
	return false
}

func (p *pick) fallBack(c *cache) {
	if p.fallback == nil && p.engine.hasCapacity(c) {
		p.fallback = c
	}
}

// mayTake reports whether a cache may get the next attempt of a request, whatever its own state.
func (e *Engine) mayTake(req *request, c *cache) bool {
	return e.canSend(req, c) && !req.alreadyTried(c) && e.slowStartAllows(req, c)
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
