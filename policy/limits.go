// Concurrency limits of caches and admission: how much is sent on, and what waits or is shed.

package policy

import "math"

const (
	slowHitFactor       = 2   // times what the quicker hits of a cache take, that one may take before it is overdue
	maxThresholdShare   = .9  // ... of the aim at most
	hitLatencyQuantile  = .25 // share of hits that are the quicker ones
	hitLatencyStep      = .1  // part by which one hit moves what they take
	initialFleetLimit   = 8   // requests out at a cache, over all routers, before anything is known
	maxSavedTimeShare   = .25 // of the patience that a limit under one saves up at most: about one short attempt
	toleratedLateShare  = .2  // share of overdue attempts at which a limit stays as it is
	limitDecrease       = .5  // of an attempt, by which one overdue attempt lowers a limit
	sharedVerdictWeight = .3  // weight of a verdict at all other caches together, for each router
	minLimit            = .1  // where the limit stops falling; under 1 it is the share of time in use
	admissionStep       = .1  // by which one late attempt lowers the share of keys that are sent on
	admissionRecovery   = 4   // DrainGraces in which the share of keys that are sent on grows e-fold by itself
	minAdmissionRatio   = .2  // ... and what it falls to at least
)

// initialLimit is what this router keeps out at a cache of which nothing is known but its size.
func (e *Engine) initialLimit(c *cache) float64 {
	part := initialFleetLimit * e.routerShare()
	if e.meanWeight > 0 && c.Weight > 0 {
		part *= c.Weight / e.meanWeight
	}
	return part
}

// updateHitLatency lets one hit move what the quicker quarter of hits takes, a quantile that is tracked sample by sample.
func (c *cache) updateHitLatency(took float64) {
	if c.hitLatency == 0 {
		c.hitLatency = took
	}
	c.hitLatency *= 1 + hitLatencyStep*(hitLatencyQuantile-float64(boolToInt(took < c.hitLatency)))
}

// hasCapacity reports whether the limit lets one more attempt out. A limit under one leaves gaps between
// attempts. The danger: a cache slowed down by crowding stays slow until it has been mostly idle, and one
// attempt of every router at all times is enough to keep it so. With many routers the gap has to grow with
// the time that attempts take: their sum is the crowd.
func (e *Engine) hasCapacity(c *cache) bool {
	if c.concurrencyLimit >= 1 {
		return float64(c.inFlight) < c.concurrencyLimit
	}
	if !e.sparseTraffic() {
		return c.inFlight == 0 && e.now >= c.lastSentAt+Time(float64(e.latencyThreshold)*(1/c.concurrencyLimit-1))
	}
	return c.inFlight == 0 && e.availableTime(c) > 0
}

// availableTime is the time at a cache that a limit under one has gained and attempts have not taken up.
func (e *Engine) availableTime(c *cache) float64 {
	return min(maxSavedTimeShare*float64(e.latencyThreshold), c.timeTokens+min(c.concurrencyLimit, 1)*float64(e.now-c.timeTokensAt))
}

// spendTime takes the time that an attempt took off what was earned.
func (e *Engine) spendTime(c *cache, t Time) {
	c.timeTokens, c.timeTokensAt = e.availableTime(c)-float64(t), e.now
}

// adjustLimit moves a limit by the fate of one attempt under it. A limit comes to rest where
// the tolerated share of attempts is overdue: some are long by nature.
// Its step is that of one attempt, or of this router's part of the first limit where that is less. The
// danger: what is one step for a router alone is one for each of them.
func (e *Engine) adjustLimit(limit *float64, good bool, tolerated float64) {
	unit := e.limitStep()
	if good {
		*limit += unit * limitDecrease * tolerated / (1 - tolerated)
	} else {
		*limit = max(unit*minLimit, *limit-limitDecrease*min(*limit, unit))
	}
}

// adjustAllLimits lets a verdict on one cache count in part at all others. The danger: of many routers each sends
// a cache little, and learns of a surge or of a lost zone from each cache apart, when it is over. It
// lowers none under one attempt of all routers, and where each hears little of any, moves only what lies
// above the first limit: the many good verdicts on others would undo what took seconds to learn of one.
func (e *Engine) adjustAllLimits(good bool) {
	weight := sharedVerdictWeight * float64(e.settings.Routers)
	part := weight / (weight + float64(len(e.inService)))
	for _, c := range e.inService {
		least := e.routerShare()
		if e.sparseTraffic() {
			least = e.initialLimit(c)
		}
		if limit := c.concurrencyLimit; limit > least || limit == least && good {
			e.adjustLimit(&limit, good, toleratedLateShare)
			c.concurrencyLimit = max(least, c.concurrencyLimit+part*(limit-c.concurrencyLimit))
		}
	}
}

// currentAdmission is the share of keys that are sent on at all. It grows by itself as well, lest a router that
// sends next to nothing on never learns that the crowd is over.
func (e *Engine) currentAdmission() float64 {
	return min(1, e.admissionRatio*math.Exp(float64(e.now-e.admissionRatioAt)/float64(admissionRecovery*e.settings.DrainGrace)))
}

// updateAdmission lets the fate of an attempt move that share. The danger: one router of many learns of a crowd from
// each cache apart, and the clients' retries, sent on like first tries, keep the crowd up.
func (e *Engine) updateAdmission(inTime bool) {
	by := 1 - admissionStep
	if inTime {
		by = 1 + admissionStep*toleratedLateShare/(1-toleratedLateShare)
	}
	e.admissionRatio, e.admissionRatioAt = max(minAdmissionRatio, min(1, e.currentAdmission()*by)), e.now
}

// shouldCloseIdle reports whether an idle connection to the cache costs more than it saves: a dial,
// when this router comes back. At even shares keeping costs Routers/100 times what dialling
// does, as 100 connections a cache cost ConnPrice; a cache used more than others earns its own
// more often. The danger: every router keeps one to every cache, and the caches' tables are full.
func (e *Engine) shouldCloseIdle(c *cache) bool {
	again := float64(c.attemptsSent-1) / float64(e.attemptsSent) * float64(len(e.inService))
	return e.settings.ConnectionCost*float64(e.settings.Routers) > 100*e.settings.HandshakeCost*again
}
