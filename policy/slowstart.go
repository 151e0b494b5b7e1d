// Slow start of caches that have just started.

package policy

import "math"

const takenWindow = 16 // attempts at warm caches over which the share of those served in time fades

// slowStart keeps a cold cache to its share, whichever way a request comes to
// it. The danger: all routers' work adds up, and a cold cache pushed over stays
// down. A second hash of the key decides, so that routers agree and it fills steadily.
func (r *Engine) slowStart(q *request, c *cache) bool {
	if r.now >= c.warmAt {
		return true
	}
	if len(q.attempts) > 0 || r.spread(q.Key) > 1 || unit(mix(mix(q.Key)+1)) >= r.coldPart(c) {
		return false // in trouble retries are most of what is sent, and they all look for room
	}
	// Retries and hot keys can still add up: it gets no more than its part of what warm ones get.
	sent, size := 0.0, 0.0
	for _, w := range r.ready {
		if r.now >= w.warmAt {
			sent, size = sent+r.recent(w), size+w.Weight
		}
	}
	if r.thin() && size > 0 && r.mayBeHot(q.Key, c) {
		return false
	}
	return r.recent(c) < 1+r.warmth(c)*c.Weight*sent/max(size, c.Weight)
}

// mayBeHot reports whether a key may be more than a cold cache can do: here a doubt speaks against it. The
// danger: each of many routers has seen a hot key once or twice, and all of them send it to a cache that is
// cold. So each sends on what keeps the sum over all routers, whatever the key's share of all requests, to
// half of what the tipping multiple leaves beside the cache's other keys, as it may have two such: of a share
// s, s*exp(-s*n) is the first that its router sees after n others, 1/(e*n) at most, and of later ones the
// count tells the share.
func (r *Engine) mayBeHot(key uint64, c *cache) bool {
	// Of what it was asked, the part of a cache of that size.
	part := float64(r.asked[0]+r.asked[1]) * c.Weight / (r.size * float64(len(r.ready)))
	most := part * r.coldPart(c) * max(1, (r.set.OverloadMultiple-1)/2)
	n := r.keys[0][key] + r.keys[1][key]
	if n == 1 {
		most *= math.E
	}
	return unit(mix(key+r.own))*float64(n) >= most
}

// took notes whether a warm cache served an attempt in time.
func (r *Engine) took(a *attempt, q *request, result Result) {
	late := r.now >= a.sent+q.class.LatencyObjective
	if r.now >= a.to.warmAt && (late || result == Served || result == Rejected) {
		r.taken += (float64(b2i(result == Served && !late)) - r.taken) / takenWindow
	}
}

// recent is the number of attempts sent to a cache lately, fading within TipTime.
func (r *Engine) recent(c *cache) float64 {
	return c.sends * math.Exp(-float64(r.now-c.lastSend)/float64(max(r.set.OverloadTime, 1)))
}

// coldPart is the share of its keys that a cold cache gets: as much as it can do by now.
func (r *Engine) coldPart(c *cache) float64 { return r.warmth(c) * r.relief() }

// relief is what a cold cache's part is cut by in overload: to what warm ones do of what they are sent, or
// to half of the tipping multiple where that is more. The danger: its part of what is asked for, clients'
// retries included, is then far more than its part of what can be done.
func (r *Engine) relief() float64 { return min(1, r.taken*max(1, r.set.OverloadMultiple/2)) }

// warmth is the least share of its capacity that a cache can have by now.
func (r *Engine) warmth(c *cache) float64 {
	if r.now >= c.warmAt {
		return 1
	}
	age := float64(r.now-c.coldFrom) / float64(r.set.WarmupTime)
	return r.set.WarmupStartShare + (1-r.set.WarmupStartShare)*max(0, age)
}

// refilling reports whether more of the fleet is cold than a share of late attempts is tolerated. The danger:
// what cold caches have lost is asked of the origin at once, all misses are late for a while, and routers
// refuse the hits with them.
func (r *Engine) refilling() bool {
	cold, all := 0.0, 0.0
	for _, c := range r.ready {
		if all += c.Weight; r.now < c.warmAt {
			cold += c.Weight
		}
	}
	return cold > tolerated*all
}
