// Concurrency limits of caches and admission: how much is sent on, and what waits or is shed.

package policy

import "math"

const (
	slowBy        = 2   // times what the quicker hits of a cache take, that one may take before it is overdue
	slowest       = .9  // ... of the aim at most
	quicker       = .25 // share of hits that are the quicker ones
	usualStep     = .1  // part by which one hit moves what they take
	firstLimit    = 8   // requests out at a cache, over all routers, before anything is known
	savedShare    = .25 // of the patience that a limit under one saves up at most: about one short attempt
	tolerated     = .2  // share of overdue attempts at which a limit stays as it is
	step          = .5  // of an attempt, by which one overdue attempt lowers a limit
	pooled        = .3  // weight of a verdict at all other caches together, for each router
	leastLimit    = .1  // where the limit stops falling; under 1 it is the share of time in use
	judged        = .1  // by which one late attempt lowers the share of keys that are sent on
	readmit       = 4   // DrainGraces in which the share of keys that are sent on grows e-fold by itself
	leastAdmitted = .2  // ... and what it falls to at least
)

// firstPart is what this router keeps out at a cache of which nothing is known but its size.
func (r *Engine) firstPart(c *cache) float64 {
	part := firstLimit * r.alone()
	if r.size > 0 && c.Weight > 0 {
		part *= c.Weight / r.size
	}
	return part
}

// note lets one hit move what the quicker quarter of hits takes, a quantile that is tracked sample by sample.
func (c *cache) note(took float64) {
	if c.usual == 0 {
		c.usual = took
	}
	c.usual *= 1 + usualStep*(quicker-float64(b2i(took < c.usual)))
}

// hasRoom reports whether the limit lets one more attempt out. A limit under one leaves gaps between
// attempts. The danger: a cache slowed down by crowding stays slow until it has been mostly idle, and one
// attempt of every router at all times is enough to keep it so. With many routers the gap has to grow with
// the time that attempts take: their sum is the crowd.
func (r *Engine) hasRoom(c *cache) bool {
	if c.limit >= 1 {
		return float64(c.pending) < c.limit
	}
	if !r.thin() {
		return c.pending == 0 && r.now >= c.lastSend+Time(float64(r.patience)*(1/c.limit-1))
	}
	return c.pending == 0 && r.earned(c) > 0
}

// earned is the time at a cache that a limit under one has gained and attempts have not taken up.
func (r *Engine) earned(c *cache) float64 {
	return min(savedShare*float64(r.patience), c.credit+min(c.limit, 1)*float64(r.now-c.creditAt))
}

// spend takes the time that an attempt took off what was earned.
func (r *Engine) spend(c *cache, t Time) {
	c.credit, c.creditAt = r.earned(c)-float64(t), r.now
}

// adjust moves a limit by the fate of one attempt under it. A limit comes to rest where
// the tolerated share of attempts is overdue: some are long by nature.
// Its step is that of one attempt, or of this router's part of the first limit where that is less. The
// danger: what is one step for a router alone is one for each of them.
func (r *Engine) adjust(limit *float64, good bool, tolerated float64) {
	unit := r.unit()
	if good {
		*limit += unit * step * tolerated / (1 - tolerated)
	} else {
		*limit = max(unit*leastLimit, *limit-step*min(*limit, unit))
	}
}

// pool lets a verdict on one cache count in part at all others. The danger: of many routers each sends
// a cache little, and learns of a surge or of a lost zone from each cache apart, when it is over. It
// lowers none under one attempt of all routers, and where each hears little of any, moves only what lies
// above the first limit: the many good verdicts on others would undo what took seconds to learn of one.
func (r *Engine) pool(good bool) {
	weight := pooled * float64(r.set.Routers)
	part := weight / (weight + float64(len(r.ready)))
	for _, c := range r.ready {
		least := r.alone()
		if r.thin() {
			least = r.firstPart(c)
		}
		if limit := c.limit; limit > least || limit == least && good {
			r.adjust(&limit, good, tolerated)
			c.limit = max(least, c.limit+part*(limit-c.limit))
		}
	}
}

// admission is the share of keys that are sent on at all. It grows by itself as well, lest a router that
// sends next to nothing on never learns that the crowd is over.
func (r *Engine) admission() float64 {
	return min(1, r.admitted*math.Exp(float64(r.now-r.admittedAt)/float64(readmit*r.set.DrainGrace)))
}

// judge lets the fate of an attempt move that share. The danger: one router of many learns of a crowd from
// each cache apart, and the clients' retries, sent on like first tries, keep the crowd up.
func (r *Engine) judge(inTime bool) {
	by := 1 - judged
	if inTime {
		by = 1 + judged*tolerated/(1-tolerated)
	}
	r.admitted, r.admittedAt = max(leastAdmitted, min(1, r.admission()*by)), r.now
}

// closesIdle reports whether an idle connection to the cache costs more than it saves: a dial,
// when this router comes back. At even shares keeping costs Routers/100 times what dialling
// does, as 100 connections a cache cost ConnPrice; a cache used more than others earns its own
// more often. The danger: every router keeps one to every cache, and the caches' tables are full.
func (r *Engine) closesIdle(c *cache) bool {
	again := float64(c.uses-1) / float64(r.uses) * float64(len(r.ready))
	return r.set.ConnectionCost*float64(r.set.Routers) > 100*r.set.HandshakeCost*again
}
