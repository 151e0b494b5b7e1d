// Placement by rendezvous hashing: the home of a key, its fallbacks, the spread of hot keys.

package policy

import "math"

const (
	rehashCap = 4   // picks tried before an unhealthy one is used anyway
	hotPart   = .5  // of a cache's fair share of requests that one key may take
	hotLeast  = 2   // requests for a key before it can be hot
	hotDoubt  = 2   // standard deviations by which chance may have raised a key's count
	crowdedAt = 1.5 // requests held for each core, by the list, above which a cache loses keys
	drained   = .8  // ... unless that is so much of what it was before
	leastOpen = .02 // share of its keys that a cache keeps at least
)

// rank orders the ready caches for a key by size-weighted rendezvous hashing: a
// cache that leaves gives up its own keys only, and each key has its fallbacks.
// Routers agree, as the list's contents alone decide. Ranks after the first are for nth to find.
func (r *Engine) rank(key uint64) []*cache {
	r.ranks, r.ranked = append(r.ranks[:0], r.ready...), 0
	for _, c := range r.ranks {
		c.score = -math.Log(unit(mix(key^c.hash))+1e-18) / c.Weight
	}
	if k := min(r.spread(key), len(r.ranks)); k > 1 {
		// The danger: a hot key drowns its cache, and the cache's other keys go elsewhere and
		// miss. It is shared by its first ranks, where it soon is a hit.
		r.nth(k - 1)
		i := int(r.random() * float64(k))
		r.ranks[0], r.ranks[i] = r.ranks[i], r.ranks[0]
	}
	return r.ranks
}

// nth is the cache of rank i. The danger: sorting a large fleet for each request takes more time
// than a router has; few ranks are asked for.
func (r *Engine) nth(i int) *cache {
	for ; r.ranked <= i; r.ranked++ {
		best := r.ranked
		for j := best + 1; j < len(r.ranks); j++ { // equal scores stay in the order of ids
			if r.ranks[j].score < r.ranks[best].score {
				best = j
			}
		}
		c := r.ranks[best]
		copy(r.ranks[r.ranked+1:best+1], r.ranks[r.ranked:best])
		r.ranks[r.ranked] = c
	}
	return r.ranks[i]
}

// spread is over how many caches a key's requests go: one, unless it is hot.
func (r *Engine) spread(key uint64) int {
	n := r.keys[0][key] + r.keys[1][key]
	if n < hotLeast {
		return 1
	}
	sure := float64(n)
	if r.thin() {
		// The danger: one router of many sees so few requests that two for a key look like a hot one. All
		// routers spread it, each as it sees fit, and it misses everywhere.
		sure = max(0, sure-hotDoubt*math.Sqrt(sure))
	}
	share := sure / float64(r.asked[0]+r.asked[1])
	return 1 + int(share*float64(len(r.ready))/hotPart)
}

// pick names the cache for the next attempt, or nil. crowded tells that only
// want of room stands in the way.
func (r *Engine) pick(q *request) (to *cache, crowded bool) {
	var anyway *cache
	home := true // until a cache has been passed over that the key should go to
	tried, shut := 0, false
	for i := range r.rank(q.Key) {
		if tried == rehashCap {
			break
		}
		c := r.nth(i)
		if !r.maySend(q, c) || q.triedAt(c) || !r.slowStart(q, c) {
			continue
		}
		if r.circuitOpen(c) { // not counted: a lost zone may hold most of the fleet
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
			continue
		}
		tried++
		switch {
		case !r.isOpen(c, q.Key):
			shut = true
		case !c.healthy || c.ejected:
			if anyway == nil && r.hasRoom(c) {
				anyway = c
			}
		case r.fetch(q, c) && float64(r.fetching)*r.missing >= r.fetches:
			// Likely hits of other routers' keys pass. The danger: one router of many knows few
			// keys, and in sparing the origin it refuses mostly what the cache has.
			crowded, q.spares = true, true
		case !r.hasRoom(c):
			crowded = true
		case !crowded || r.mayOverflow(q, c):
			q.astray = !home
			return c, false
		}
		home = home && (!c.healthy || c.ejected || !r.isOpen(c, q.Key))
	}
	q.astray = false
	if crowded || shut && anyway == nil {
		return nil, crowded
	}
	return anyway, false
}

// triedAt reports whether the next attempt should go elsewhere. One connection that broke says nothing
// against the cache behind it. The danger: at any other cache the key misses, and the origin is
// asked for what its home keeps.
func (q *request) triedAt(c *cache) bool {
	broke := 0
	for _, a := range q.attempts {
		if a.to == c {
			if !a.broke || broke > 0 {
				return true
			}
			broke++
		}
	}
	return false
}

// mayOverflow reports whether a request without room at its home may go to another cache: one
// that keeps its key, or any while the origin has room or the budget a token. The danger:
// overflowing keys miss wherever they go and crowd the origin. In overload none goes to a cold cache: what
// the warm ones leave is more than it can do.
func (r *Engine) mayOverflow(q *request, c *cache) bool {
	return (r.now >= c.warmAt || r.relief() >= 1-tolerated) &&
		(c.knows(q.Key) || r.originIdles() || r.retryBudget >= 1)
}

// ease takes the list's word for how crowded a cache is. The danger: each of many routers sends a cache so
// little that it learns of a crowd from its own attempts when it is over, and all of them send one more.
func (r *Engine) ease(c *cache, crowd float64) {
	c.open, c.openAt = r.openShare(c), r.now
	if crowd > crowdedAt && crowd > drained*c.crowd {
		c.open = max(leastOpen, c.open*math.Sqrt(crowdedAt/crowd))
	}
	c.crowd = crowd
}

// openShare is the share of its keys that a cache is still sent. It grows back while there is no crowd.
func (r *Engine) openShare(c *cache) float64 {
	if c.crowd > crowdedAt {
		return c.open
	}
	room := 1 - c.crowd/crowdedAt
	return min(1, c.open*math.Exp(room*float64(r.now-c.openAt)/float64(r.set.DrainGrace)))
}

// isOpen reports whether this router sends the key to the cache. Routers choose apart, so that those of a hot
// key share it out among as many caches as it takes, and each stays with its choice.
func (r *Engine) isOpen(c *cache, key uint64) bool {
	return !r.thin() || unit(mix(key^c.hash^r.own)) < r.openShare(c)
}
