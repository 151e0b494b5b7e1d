// Limits: concurrency limits of caches, and the shares of keys that are admitted or sent to a loaded cache.

package policy

import "math"

const (
	initialFleetLimit   = 8   // initial concurrency limit of a cache, over all routers
	minLimit            = .1  // least limit, in steps; below one, a limit is the share of time in use
	limitDecrease       = .5  // steps by which one overdue attempt lowers a limit
	toleratedLateShare  = .2  // share of overdue attempts at which a limit stays constant
	sharedOutcomeWeight = .3  // total weight of an outcome at all other caches, for each router
	maxTimeTokenShare   = .25 // maximum of time tokens, in latency thresholds: about one short attempt
	hitLatencyFactor    = 2   // multiple of a cache's quicker hits after which an attempt there is overdue
	maxThresholdShare   = .9  // share of the latency objective that the threshold of a cache can reach
	hitLatencyQuantile  = .25 // quantile of the latency of hits that stands for the quicker ones
	connectionCostUnit  = 100 // connections per cache that ConnectionCost is the cost of

	admissionStep           = .1  // part by which one late attempt lowers the share of admitted keys
	admissionRecoveryGraces = 4   // drain graces in which admissionRatio grows e-fold without attempts
	minAdmissionRatio       = .2  // least share of admitted keys
	overloadThreshold       = 1.5 // listed requests per core above which a cache is sent fewer keys
	loadDropRatio           = .8  // a load below this part of the previous one does not lower the share of keys
	minAcceptedKeyShare     = .02 // least share of its keys that a cache is sent
)

// initialLimit returns this router's concurrency limit for a cache that it has not used yet, in proportion to
// the cache's weight.
func (e *Engine) initialLimit(c *cache) float64 {
	limit := initialFleetLimit * e.routerShare
	if e.meanWeight > 0 && c.Weight > 0 {
		limit *= c.Weight / e.meanWeight
	}
	return limit
}

// hasCapacity reports whether the limit allows one more attempt. A limit below one requires pauses between
// attempts, because an overloaded cache stays slow if each router always has one attempt in flight there. In
// sparse traffic the pauses grow with the latency of the attempts.
func (e *Engine) hasCapacity(c *cache) bool {
	if c.concurrencyLimit >= 1 {
		return float64(c.inFlight) < c.concurrencyLimit
	}
	if !e.sparseTraffic {
		return c.inFlight == 0 && e.now >= c.lastSentAt+Time(float64(e.latencyThreshold)*(1/c.concurrencyLimit-1))
	}
	return c.inFlight == 0 && e.availableTimeTokens(c) > 0
}

// availableTimeTokens returns the balance of a cache's time tokens: the time earned under a limit below one,
// less the time that past attempts took.
func (e *Engine) availableTimeTokens(c *cache) float64 {
	earned := min(c.concurrencyLimit, 1) * float64(e.now-c.timeTokensAt)
	return min(maxTimeTokenShare*float64(e.latencyThreshold), c.timeTokens+earned)
}

// adjustLimit raises or lowers a limit after one attempt. The limit stays constant on average where the
// tolerated share of attempts is overdue.
func (e *Engine) adjustLimit(limit *float64, success bool, tolerated float64) {
	step := e.limitStep
	if success {
		*limit += step * limitDecrease * tolerated / (1 - tolerated)
	} else {
		*limit = max(step*minLimit, *limit-limitDecrease*min(*limit, step))
	}
}

func (e *Engine) adjustCacheLimit(c *cache, success bool) {
	e.adjustLimit(&c.concurrencyLimit, success, toleratedLateShare)
}

// adjustAllLimits applies a part of the outcome of an attempt to the limits of all caches, because detecting
// a surge at each cache separately takes too long. It lowers no limit below the limitFloor of its cache.
func (e *Engine) adjustAllLimits(success bool) {
	weight := sharedOutcomeWeight * float64(e.settings.Routers)
	share := weight / (weight + float64(len(e.inService)))
	for _, c := range e.inService {
		if limit := c.concurrencyLimit; limit > c.limitFloor || limit == c.limitFloor && success {
			e.adjustLimit(&limit, success, toleratedLateShare)
			c.concurrencyLimit = max(c.limitFloor, c.concurrencyLimit+share*(limit-c.concurrencyLimit))
		}
	}
}

// updateLimitFloors sets the limitFloor of all caches in service: one attempt of all routers together, or the
// initial limit in sparse traffic. Both change with the endpoint list alone.
func (e *Engine) updateLimitFloors() {
	for _, c := range e.inService {
		c.limitFloor = e.routerShare
		if e.sparseTraffic {
			c.limitFloor = e.initialLimit(c)
		}
	}
}

// latencyThreshold returns how long an attempt may take before it counts as overdue.
func (c *Class) latencyThreshold() Time { return max(c.LatencyObjective/2, 1) }

// latencyThresholdAt returns the latency threshold at one cache. It is higher for a cache whose quicker hits
// are slow, as the limit of such a cache would otherwise fall to almost zero. In sparse traffic a router sees
// too few hits of one cache for that.
func (e *Engine) latencyThresholdAt(c *cache, class *Class) Time {
	if e.sparseTraffic {
		return class.latencyThreshold()
	}
	slowest := Time(maxThresholdShare * float64(class.LatencyObjective))
	return max(class.latencyThreshold(), min(Time(hitLatencyFactor*c.hitLatency.Estimate()), slowest))
}

// shouldCloseIdle reports whether an idle connection to the cache costs more than the handshake that it saves
// for the next attempt. If all caches get equal shares of the attempts, the connection costs Routers/100
// times ConnectionCost, and the handshake costs HandshakeCost.
func (e *Engine) shouldCloseIdle(c *cache) bool {
	reuse := float64(c.attemptsSent-1) / float64(e.attemptsSent) * float64(len(e.inService))
	idleCost := e.settings.ConnectionCost * float64(e.settings.Routers)
	return idleCost > connectionCostUnit*e.settings.HandshakeCost*reuse
}

// currentAdmission returns the share of admitted keys. It also grows with time, because a router that admits
// almost nothing would not notice the end of an overload.
func (e *Engine) currentAdmission() float64 {
	recovery := float64(admissionRecoveryGraces * e.settings.DrainGrace)
	return min(1, e.admissionRatio*math.Exp(float64(e.now-e.admissionRatioAt)/recovery))
}

// updateAdmission raises or lowers the share of admitted keys after one attempt.
func (e *Engine) updateAdmission(inTime bool) {
	factor := 1 - admissionStep
	if inTime {
		factor = 1 + admissionStep*toleratedLateShare/(1-toleratedLateShare)
	}
	e.admissionRatio, e.admissionRatioAt = max(minAdmissionRatio, min(1, e.currentAdmission()*factor)), e.now
}

// updateLoad sets the load of a cache from the endpoint list, and lowers its share of keys in overload. The
// attempts of a single router would reveal the overload too late.
func (e *Engine) updateLoad(c *cache, load float64) {
	c.acceptedKeyShare, c.acceptedKeyShareAt = e.currentKeyShare(c), e.now
	if load > overloadThreshold && load > loadDropRatio*c.loadPerCore {
		c.acceptedKeyShare = max(minAcceptedKeyShare, c.acceptedKeyShare*math.Sqrt(overloadThreshold/load))
	}
	c.loadPerCore = load
}

// currentKeyShare returns the share of its keys that a cache is sent. It grows back while the cache is not
// overloaded.
func (e *Engine) currentKeyShare(c *cache) float64 {
	if c.loadPerCore > overloadThreshold {
		return c.acceptedKeyShare
	}
	spare := 1 - c.loadPerCore/overloadThreshold
	growth := math.Exp(spare * float64(e.now-c.acceptedKeyShareAt) / float64(e.settings.DrainGrace))
	return min(1, c.acceptedKeyShare*growth)
}

// sendsKeyTo reports whether this router sends the key to the cache. In sparse traffic a router sends an
// overloaded cache only a share of its keys. Each router selects them by a hash of its own, so that the
// routers together spread a hot key over as many caches as it needs.
func (e *Engine) sendsKeyTo(c *cache, key uint64) bool {
	return !e.sparseTraffic || hashToUnit(key^c.hash^e.salt) < e.currentKeyShare(c)
}
