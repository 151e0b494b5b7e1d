// Health: the design's mechanism of periodic probes; beside it outlier ejection and circuit breakers.

package policy

import "math"

const (
	threshold       = 2   // consecutive failures that mark a cache
	zoneThreshold   = 3   // consecutive failed connections that mark a zone
	awayThreshold   = 2   // ... and one cache
	probeShare      = .01 // points a request that probes may cost, before the Interval is stretched
	longestInterval = 64  // ... to so many DrainGraces at most, for a router that is hardly asked
	fleetProbes     = 96  // probes of a cache in an Interval by all routers: 1.9 ms each in 1.5 s: 3% of 4 cores
)

// The Interval of the probes is the span within which the operators want bad
// news acted upon, or as many of them as it takes this router's requests to pay for a probe of
// each cache. The danger: probes grow with routers times caches, and cost more than they save.

func (r *Engine) probeRound() {
	r.at(r.now+r.set.HealthCheckInterval(), r.probeRound)
	r.beats++
	if r.spare < float64(len(r.ready)) && r.beats < longestInterval {
		return
	}
	r.spare, r.beats = 0, 0
	r.round++
	n := r.round
	for _, c := range r.ready {
		if r.probeDue(c) {
			c.probing, c.probedAt = n, r.now
			r.do(HealthCheck{c.ID})
		}
	}
	r.at(r.now+r.set.HealthCheckTimeout(), func() {
		for _, c := range r.ready {
			if c.probing == n {
				c.probing = 0
				c.fails++ // a hung cache never answers its probe: the timer counts it
			}
			if c.healthy && c.fails >= threshold {
				r.mark(c, false)
			}
		}
	})
}

// probeDue reports whether a round probes the cache: always, until all routers together send over
// fleetProbes. Beyond that a cache that does its work is probed less often the more routers there are, by
// each at a time of its own; one that fails its probes is probed in each round, so that its end and its
// return are noticed as soon as by few routers. One that this router's own traffic makes suspect is probed
// in the next round, and later each time that its probe bore nothing out. The danger: the product of
// routers and caches takes the caches' time, and in a crowd every cache is suspect to every router.
func (r *Engine) probeDue(c *cache) bool {
	interval := float64(r.set.HealthCheckInterval())
	spread := interval * float64(r.set.Routers) / fleetProbes
	if spread <= interval || c.fails > 0 || !c.healthy {
		c.vain = 0
		return true
	}
	if c.probeAt == 0 {
		c.probeAt = r.now + Time(r.random()*spread)
	}
	switch {
	case r.now >= c.probeAt:
		c.probeAt = max(c.probeAt+Time(spread), r.now)
		if !c.suspect {
			c.vain = 0
		}
	case (c.suspect || c.ejected) && float64(r.now-c.probedAt) >= interval*math.Exp2(float64(c.vain)):
		c.vain++
	default:
		return false
	}
	c.suspect = false
	return true
}

func (r *Engine) probed(ev *HealthCheckDone) {
	c := r.caches[ev.Cache]
	if c == nil || c.probing == 0 {
		return // too late: its round has been judged
	}
	c.probing = 0
	switch {
	case ev.Result == NotSent:
		return // it was not asked
	case ev.Result != Served:
		c.fails++
		return
	}
	c.fails = 0
	if (c.ejected || r.thin()) && ev.Elapsed < r.patience {
		// It has got over a crowd; the few attempts that a cut limit lets out would be long in telling.
		c.limit, c.ejected = max(c.limit, r.firstPart(c)), false
	}
	if !c.healthy {
		r.mark(c, true)
	}
}

func (r *Engine) mark(c *cache, healthy bool) {
	c.healthy = healthy
	r.logf("%s healthy: %v, after %d failed probes in a row", c.ID, healthy, c.fails)
}

// eject notes a cache that has answered nothing for as long as an attempt may take. Where all routers
// share what it can do, its limit goes to the least at once. The danger: each of many routers learns from
// its own few attempts that a cache hangs, and halving the limit costs one more of each every time.
func (r *Engine) eject(c *cache) {
	c.prompt, c.ejected = false, true
	r.adjust(&c.limit, false, tolerated)
	r.adjust(&c.limit, false, tolerated)
	if c.limit < 1 {
		c.limit = r.unit() * leastLimit
	}
}

// reached notes whether an attempt met the cache. The danger: links to a zone are cut, and a
// router that learns it from each of its caches apart finds out when it is over.
func (r *Engine) reached(c *cache, met bool) {
	if met {
		c.zone.fails, c.unmet = 0, 0
		return
	}
	c.unmet++
	r.delayHalfOpen(c)
	if c.zone.fails++; c.zone.fails == zoneThreshold {
		r.logf("zone %s out of reach", c.Zone)
	}
	c.zone.halfOpenAt = r.now + r.set.WarmupTime/4
}

// delayHalfOpen sets when a cache that could not be reached is tried again: later with each failure, and not
// when the other routers do.
func (r *Engine) delayHalfOpen(c *cache) {
	wait := float64(r.set.WarmupTime) / 8 * math.Exp2(float64(min(c.unmet, backoffMost)))
	c.halfOpenAt = r.now + Time(wait*(0.5+r.random()/2))
}

// circuitOpen reports whether a cache or its zone is held to be out of reach. The danger: a router with old
// news, as after a restart, sends each request to caches that are gone until its attempts are used up.
func (r *Engine) circuitOpen(c *cache) bool {
	return c.unmet >= awayThreshold && r.now < c.halfOpenAt ||
		c.zone.fails >= zoneThreshold && r.now < c.zone.halfOpenAt
}
