// Placement: the choice of a cache for an attempt from the ranking for its key, and the replicas of hot keys.

package policy

import "math"

const (
	maxCandidates    = 4  // caches considered before an unhealthy one is used
	hotKeyShare      = .5 // of a cache's fair share of requests, above which a key is hot
	minHotKeyCount   = 2  // requests for a key before it can be hot
	hotKeyDeviations = 2  // standard deviations that are deducted from a key's count in sparse traffic
)

// replicaCount returns how many caches a key's requests are spread over: one, unless the key is hot.
func (e *Engine) replicaCount(key uint64) int {
	total := e.keyCounts.Total(key)
	if total < minHotKeyCount {
		return 1
	}
	count := float64(total)
	if e.sparseTraffic {
		// Two out of few requests may be for one key by chance, and a key that all routers spread would miss.
		count = max(0, count-hotKeyDeviations*math.Sqrt(count))
	}
	share := count / float64(e.requestCounts.Total())
	return 1 + int(share*float64(len(e.inService))/hotKeyShare)
}

// chooseReplica returns the rank of the cache that a request is sent to first. It is the first rank, the
// primary, unless the key is hot: a hot key would overload its primary, whose other keys would then miss
// elsewhere.
func (e *Engine) chooseReplica(key uint64) int {
	if replicas := min(e.replicaCount(key), len(e.inService)); replicas > 1 {
		return int(e.rng.Float64() * float64(replicas))
	}
	return 0
}

// cacheSelection selects the cache for one attempt. It considers caches in the order of the ranking.
type cacheSelection struct {
	engine        *Engine
	request       *request
	considered    int
	lacksCapacity bool   // a cache was passed over only for lack of capacity
	fallback      *cache // the first unusable cache that has capacity
}

// selectCache returns the cache for the next attempt. If there is none it returns nil, and whether the reason
// is only a lack of capacity.
func (e *Engine) selectCache(req *request) (selected *cache, lacksCapacity bool) {
	req.spilledOver = false
	replica := e.chooseReplica(req.Key)
	if !e.canAttempt(req) {
		return nil, false
	}
	s := &cacheSelection{engine: e, request: req}
	ranked := e.rankedFor(req, replica+1)
	if c := s.considerRanked(ranked, replica); c != nil {
		return c, false
	}
	if s.considered < maxCandidates && len(ranked) < len(e.inService) {
		for _, c := range e.searchRanking(req, ranked, maxCandidates-s.considered) {
			if s.consider(c) {
				return c, false
			}
		}
	}
	if s.lacksCapacity {
		return nil, true
	}
	return s.fallback, false
}

// considerRanked considers the caches of the first ranks, after swapping the first one with the replica, and
// returns the one that the attempt goes to, if any.
func (s *cacheSelection) considerRanked(ranked []*cache, replica int) *cache {
	for i := range ranked {
		switch i {
		case 0:
			i = replica
		case replica:
			i = 0
		}
		if s.considered >= maxCandidates {
			return nil
		}
		if s.consider(ranked[i]) {
			return ranked[i]
		}
	}
	return nil
}

// consider reports whether the attempt goes to the cache, and if not, records what stands against it.
func (s *cacheSelection) consider(c *cache) bool {
	e, req := s.engine, s.request
	if !e.eligible(req, c) {
		return false
	}
	if e.circuitOpen(c) { // not counted, as most of the fleet may be in an unreachable zone
		s.setFallback(c)
		return false
	}
	s.considered++
	switch {
	case !e.sendsKeyTo(c, req.Key):
	case !c.usable():
		s.setFallback(c)
	case req.likelyMissAt(c) && e.originFull():
		s.lacksCapacity, req.originLimited = true, true
	case !e.hasCapacity(c):
		s.lacksCapacity = true
	case !s.lacksCapacity || e.canSpillOver(req, c):
		req.spilledOver = s.lacksCapacity
		return true
	}
	return false
}

// setFallback keeps the cache as the fallback if it is the first one with capacity.
func (s *cacheSelection) setFallback(c *cache) {
	if s.fallback == nil && s.engine.hasCapacity(c) {
		s.fallback = c
	}
}

// eligible reports whether a cache may get the next attempt of a request, regardless of its health and load.
func (e *Engine) eligible(req *request, c *cache) bool {
	return e.canSend(req, c) && !req.ruledOut(c) && e.slowStartAllows(req, c)
}

// ruledOut reports whether earlier attempts rule the cache out for the next one. A single attempt that
// ended with a reset connection does not: one reset is weak evidence of a faulty cache, and the other caches
// are unlikely to have the key.
func (r *request) ruledOut(c *cache) bool {
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

// canSpillOver reports whether a request may go to the cache after another cache was passed over for lack of
// capacity, its own or the origin's. In overload no request spills over to a warming cache. A cache that is
// unlikely to have the key is allowed only if the origin has capacity or the retry budget covers an attempt.
func (e *Engine) canSpillOver(req *request, c *cache) bool {
	return (e.now >= c.warmAt || e.goodputRatio >= 1-toleratedLateShare) &&
		(c.likelyCached(req.Key) || e.originHasCapacity() || e.retryBudget >= 1)
}
