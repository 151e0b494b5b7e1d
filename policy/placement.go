// Placement by rendezvous hashing: the home of a key, its fallbacks, the spread of hot keys.

package policy

import "math"

const (
	maxRehashes         = 4   // picks tried before an unhealthy one is used anyway
	hotKeyShare         = .5  // of a cache's fair share of requests that one key may take
	minHotKeyCount      = 2   // requests for a key before it can be hot
	hotKeyDeviations    = 2   // standard deviations by which chance may have raised a key's count
	overloadThreshold   = 1.5 // requests held for each core, by the list, above which a cache loses keys
	loadDropRatio       = .8  // ... unless that is so much of what it was before
	minAcceptedKeyShare = .02 // share of its keys that a cache keeps at least
)

// rank orders the ready caches for a key by size-weighted rendezvous hashing: a
// cache that leaves gives up its own keys only, and each key has its fallbacks.
// Routers agree, as the list's contents alone decide. Ranks after the first are for nth to find.
func (e *Engine) rank(key uint64) []*cache {
	e.ranking, e.rankedCount = append(e.ranking[:0], e.inService...), 0
	for _, c := range e.ranking {
		c.score = -math.Log(unitInterval(mix(key^c.hash))+1e-18) / c.Weight
	}
	if k := min(e.replicaCount(key), len(e.ranking)); k > 1 {
		// The danger: a hot key drowns its cache, and the cache's other keys go elsewhere and
		// miss. It is shared by its first ranks, where it soon is a hit.
		e.rankAt(k - 1)
		i := int(e.random() * float64(k))
		e.ranking[0], e.ranking[i] = e.ranking[i], e.ranking[0]
	}
	return e.ranking
}

// rankAt is the cache of rank i. The danger: sorting a large fleet for each request takes more time
// than a router has; few ranks are asked for.
func (e *Engine) rankAt(i int) *cache {
	for ; e.rankedCount <= i; e.rankedCount++ {
		best := e.rankedCount
		for j := best + 1; j < len(e.ranking); j++ { // equal scores stay in the order of ids
			if e.ranking[j].score < e.ranking[best].score {
				best = j
			}
		}
		c := e.ranking[best]
		copy(e.ranking[e.rankedCount+1:best+1], e.ranking[e.rankedCount:best])
		e.ranking[e.rankedCount] = c
	}
	return e.ranking[i]
}

// replicaCount is over how many caches a key's requests go: one, unless it is hot.
func (e *Engine) replicaCount(key uint64) int {
	n := e.keyCounts[0][key] + e.keyCounts[1][key]
	if n < minHotKeyCount {
		return 1
	}
	sure := float64(n)
	if e.sparseTraffic() {
		// The danger: one router of many sees so few requests that two for a key look like a hot one. All
		// routers spread it, each as it sees fit, and it misses everywhere.
		sure = max(0, sure-hotKeyDeviations*math.Sqrt(sure))
	}
	share := sure / float64(e.requestCounts[0]+e.requestCounts[1])
	return 1 + int(share*float64(len(e.inService))/hotKeyShare)
}

// pickCache names the cache for the next attempt, or nil. crowded tells that only
// want of room stands in the way.
func (e *Engine) pickCache(q *request) (to *cache, crowded bool) {
	var anyway *cache
	home := true // until a cache has been passed over that the key should go to
	tried, shut := 0, false
	for i := range e.rank(q.Key) {
		if tried == maxRehashes {
			break
		}
		c := e.rankAt(i)
		if !e.canSend(q, c) || q.alreadyTried(c) || !e.slowStartAllows(q, c) {
			continue
		}
		if e.circuitOpen(c) { // not counted: a lost zone may hold most of the fleet
			if anyway == nil && e.hasCapacity(c) {
				anyway = c
			}
			continue
		}
		tried++
		switch {
		case !e.acceptsKey(c, q.Key):
			shut = true
		case !c.healthy || c.ejected:
			if anyway == nil && e.hasCapacity(c) {
				anyway = c
			}
		case e.isLikelyMiss(q, c) && float64(e.missesInFlight)*e.missRatio >= e.originLimit:
			// Likely hits of other routers' keys pass. The danger: one router of many knows few
			// keys, and in sparing the origin it refuses mostly what the cache has.
			crowded, q.originLimited = true, true
		case !e.hasCapacity(c):
			crowded = true
		case !crowded || e.canSpillOver(q, c):
			q.spilledOver = !home
			return c, false
		}
		home = home && (!c.healthy || c.ejected || !e.acceptsKey(c, q.Key))
	}
	q.spilledOver = false
	if crowded || shut && anyway == nil {
		return nil, crowded
	}
	return anyway, false
}

// alreadyTried reports whether the next attempt should go elsewhere. One connection that broke says nothing
// against the cache behind it. The danger: at any other cache the key misses, and the origin is
// asked for what its home keeps.
func (q *request) alreadyTried(c *cache) bool {
	broke := 0
	for _, a := range q.attempts {
		if a.cache == c {
			if !a.connectionReset || broke > 0 {
				return true
			}
			broke++
		}
	}
	return false
}

// canSpillOver reports whether a request without room at its home may go to another cache: one
// that keeps its key, or any while the origin has room or the budget a token. The danger:
// overflowing keys miss wherever they go and crowd the origin. In overload none goes to a cold cache: what
// the warm ones leave is more than it can do.
func (e *Engine) canSpillOver(q *request, c *cache) bool {
	return (e.now >= c.warmAt || e.overloadFactor() >= 1-toleratedLateShare) &&
		(c.likelyCached(q.Key) || e.originHasCapacity() || e.retryBudget >= 1)
}

// updateLoad takes the list's word for how crowded a cache is. The danger: each of many routers sends a cache so
// little that it learns of a crowd from its own attempts when it is over, and all of them send one more.
func (e *Engine) updateLoad(c *cache, crowd float64) {
	c.acceptedKeyShare, c.acceptedKeyShareAt = e.currentKeyShare(c), e.now
	if crowd > overloadThreshold && crowd > loadDropRatio*c.loadPerCore {
		c.acceptedKeyShare = max(minAcceptedKeyShare, c.acceptedKeyShare*math.Sqrt(overloadThreshold/crowd))
	}
	c.loadPerCore = crowd
}

// currentKeyShare is the share of its keys that a cache is still sent. It grows back while there is no crowd.
func (e *Engine) currentKeyShare(c *cache) float64 {
	if c.loadPerCore > overloadThreshold {
		return c.acceptedKeyShare
	}
	room := 1 - c.loadPerCore/overloadThreshold
	return min(1, c.acceptedKeyShare*math.Exp(room*float64(e.now-c.acceptedKeyShareAt)/float64(e.settings.DrainGrace)))
}

// acceptsKey reports whether this router sends the key to the cache. Routers choose apart, so that those of a hot
// key share it out among as many caches as it takes, and each stays with its choice.
func (e *Engine) acceptsKey(c *cache, key uint64) bool {
	return !e.sparseTraffic() || unitInterval(mix(key^c.hash^e.salt)) < e.currentKeyShare(c)
}
