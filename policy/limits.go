// Limits: how many attempts a cache gets, and which share of the keys is admitted or sent to a loaded cache.

package policy

import "math"

const (
	initialFleetLimit   = 8   // attempts in flight at a cache, over all routers, before anything is known
	minLimit            = .1  // where a limit stops falling, in steps; below one it is the share of time in use
	limitDecrease       = .5  // steps by which one overdue attempt lowers a limit
	toleratedLateShare  = .2  // share of overdue attempts at which a limit stays as it is
	sharedVerdictWeight = .3  // weight of a verdict at all other caches together, for each router
	maxSavedTimeShare   = .25 // of the latency threshold that time tokens save up: about one short attempt
	slowHitFactor       = 2   // multiple of a cache's quicker hits after which an attempt there is overdue ...
	maxThresholdShare   = .9  // ... but at most this share of the latency objective
	hitLatencyQuantile  = .25 // share of hits that count as the quicker ones
	connectionCostUnit  = 100 // connections at a cache that ConnectionCost is the price of

	admissionStep       = .1  // part by which one late attempt lowers the share of keys that is admitted
	admissionRecovery   = 4   // drain graces in which that share grows e-fold by itself
	minAdmissionRatio   = .2  // least share of keys that is admitted
	overloadThreshold   = 1.5 // requests per core, by the endpoint list, above which a cache sheds keys ...
	loadDropRatio       = .8  // ... unless the load is below this part of the one listed before
	minAcceptedKeyShare = .02 // least share of its keys that a cache is sent
)

// limitStep is the unit by which a verdict moves a limit: one attempt, or less for each of many routers.
func (e *Engine) limitStep() float64 { return min(1, initialFleetLimit*e.routerShare()) }

func (e *Engine) initialLimit(c *cache) float64 {
	limit := initialFleetLimit * e.routerShare()
	if e.meanWeight > 0 && c.Weight > 0 {
		limit *= c.Weight / e.meanWeight
	}
	return limit
}

// hasCapacity reports whether the limit allows one more attempt. A limit below one leaves gaps: one attempt
// of each router at all times keeps an overloaded cache slow. With many routers, gaps grow with the latency.
func (e *Engine) hasCapacity(c *cache) bool {
	if c.concurrencyLimit >= 1 {
		return float64(c.inFlight) < c.concurrencyLimit
	}
	if !e.sparseTraffic() {
		return c.inFlight == 0 && e.now >= c.lastSentAt+Time(float64(e.latencyThreshold)*(1/c.concurrencyLimit-1))
	}
	return c.inFlight == 0 && e.availableTime(c) > 0
}

func (e *Engine) availableTime(c *cache) float64 {
	earned := min(c.concurrencyLimit, 1) * float64(e.now-c.timeTokensAt)
	return min(maxSavedTimeShare*float64(e.latencyThreshold), c.timeTokens+earned)
}

// adjustLimit moves a limit by the verdict on one attempt. It rests where a tolerated share is overdue.
func (e *Engine) adjustLimit(limit *float64, good bool, tolerated float64) {
	step := e.limitStep()
	if good {
		*limit += step * limitDecrease * tolerated / (1 - tolerated)
	} else {
		*limit = max(step*minLimit, *limit-limitDecrease*min(*limit, step))
	}
}

func (e *Engine) adjustCacheLimit(c *cache, good bool) {
	e.adjustLimit(&c.concurrencyLimit, good, toleratedLateShare)
}

// adjustAllLimits lets a verdict on one cache count in part at all others, as learning of a surge from each
// cache apart takes too long. What it lowers stays above one attempt of all routers, or the initial limit.
func (e *Engine) adjustAllLimits(good bool) {
	weight := sharedVerdictWeight * float64(e.settings.Routers)
	share := weight / (weight + float64(len(e.inService)))
	for _, c := range e.inService {
		lowest := e.routerShare()
		if e.sparseTraffic() {
			lowest = e.initialLimit(c)
		}
		if limit := c.concurrencyLimit; limit > lowest || limit == lowest && good {
			e.adjustLimit(&limit, good, toleratedLateShare)
			c.concurrencyLimit = max(lowest, c.concurrencyLimit+share*(limit-c.concurrencyLimit))
		}
	}
}

// latencyThreshold is how long an attempt may take before it counts as overdue.
func (c *Class) latencyThreshold() Time { return max(c.LatencyObjective/2, 1) }

// latencyThresholdAt is the latency threshold at one cache. It is higher at one whose quicker hits are slow:
// its limit would else fall to next to nothing. Sparse traffic shows too few hits of one cache.
func (e *Engine) latencyThresholdAt(c *cache, class *Class) Time {
	if e.sparseTraffic() {
		return class.latencyThreshold()
	}
	slowest := Time(maxThresholdShare * float64(class.LatencyObjective))
	return max(class.latencyThreshold(), min(Time(slowHitFactor*c.hitLatency.Estimate()), slowest))
}

// shouldCloseIdle reports whether an idle connection to the cache costs more than the handshake that it saves
// when this router comes back. At even shares it costs Routers/100 times as much.
func (e *Engine) shouldCloseIdle(c *cache) bool {
	reuse := float64(c.attemptsSent-1) / float64(e.attemptsSent) * float64(len(e.inService))
	idleCost := e.settings.ConnectionCost * float64(e.settings.Routers)
	return idleCost > connectionCostUnit*e.settings.HandshakeCost*reuse
}

// currentAdmission is the share of keys that is admitted. It grows by itself too: a router that admits next
// to nothing would not learn that the overload is over.
func (e *Engine) currentAdmission() float64 {
	recovery := float64(admissionRecovery * e.settings.DrainGrace)
	return min(1, e.admissionRatio*math.Exp(float64(e.now-e.admissionRatioAt)/recovery))
}

func (e *Engine) updateAdmission(inTime bool) {
	factor := 1 - admissionStep
	if inTime {
		factor = 1 + admissionStep*toleratedLateShare/(1-toleratedLateShare)
	}
	e.admissionRatio, e.admissionRatioAt = max(minAdmissionRatio, min(1, e.currentAdmission()*factor)), e.now
}

// updateLoad takes the load of a cache from the endpoint list: one router's own attempts tell of it too late.
func (e *Engine) updateLoad(c *cache, load float64) {
	c.acceptedKeyShare, c.acceptedKeyShareAt = e.currentKeyShare(c), e.now
	if load > overloadThreshold && load > loadDropRatio*c.loadPerCore {
		c.acceptedKeyShare = max(minAcceptedKeyShare, c.acceptedKeyShare*math.Sqrt(overloadThreshold/load))
	}
	c.loadPerCore = load
}

// currentKeyShare is the share of its keys that a cache is sent. It grows back while there is no overload.
func (e *Engine) currentKeyShare(c *cache) float64 {
	if c.loadPerCore > overloadThreshold {
		return c.acceptedKeyShare
	}
	spare := 1 - c.loadPerCore/overloadThreshold
	growth := math.Exp(spare * float64(e.now-c.acceptedKeyShareAt) / float64(e.settings.DrainGrace))
	return min(1, c.acceptedKeyShare*growth)
}

// acceptsKey reports whether this router sends the key to the cache. Each router makes its own, lasting
// choice, so that together they spread a hot key over as many caches as it takes.
func (e *Engine) acceptsKey(c *cache, key uint64) bool {
	return !e.sparseTraffic() || hashToUnit(key^c.hash^e.salt) < e.currentKeyShare(c)
}
