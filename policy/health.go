// Health: the design's mechanism of periodic probes; beside it outlier ejection and circuit breakers.

package policy

import "math"

const (
	unhealthyThreshold      = 2   // consecutive failures that mark a cache
	zoneFailureThreshold    = 3   // consecutive failed connections that mark a zone
	connectFailureThreshold = 2   // ... and one cache
	healthCheckCostShare    = .01 // points a request that probes may cost, before the Interval is stretched
	maxSkippedIntervals     = 64  // ... to so many DrainGraces at most, for a router that is hardly asked
	maxFleetChecks          = 96  // probes of a cache in an Interval by all routers: 1.9 ms each in 1.5 s: 3% of 4 cores
)

// The Interval of the probes is the span within which the operators want bad
// news acted upon, or as many of them as it takes this router's requests to pay for a probe of
// each cache. The danger: probes grow with routers times caches, and cost more than they save.

func (e *Engine) startHealthCheckRound() {
	e.schedule(e.now+e.settings.HealthCheckInterval(), e.startHealthCheckRound)
	e.skippedIntervals++
	if e.healthCheckBudget < float64(len(e.inService)) && e.skippedIntervals < maxSkippedIntervals {
		return
	}
	e.healthCheckBudget, e.skippedIntervals = 0, 0
	e.checkRound++
	n := e.checkRound
	for _, c := range e.inService {
		if e.healthCheckDue(c) {
			c.checkRound, c.checkedAt = n, e.now
			e.emit(HealthCheck{c.ID})
		}
	}
	e.schedule(e.now+e.settings.HealthCheckTimeout(), func() {
		for _, c := range e.inService {
			if c.checkRound == n {
				c.checkRound = 0
				c.failedChecks++ // a hung cache never answers its probe: the timer counts it
			}
			if c.healthy && c.failedChecks >= unhealthyThreshold {
				e.setHealthy(c, false)
			}
		}
	})
}

// healthCheckDue reports whether a round probes the cache: always, until all routers together send over
// fleetProbes. Beyond that a cache that does its work is probed less often the more routers there are, by
// each at a time of its own; one that fails its probes is probed in each round, so that its end and its
// return are noticed as soon as by few routers. One that this router's own traffic makes suspect is probed
// in the next round, and later each time that its probe bore nothing out. The danger: the product of
// routers and caches takes the caches' time, and in a crowd every cache is suspect to every router.
func (e *Engine) healthCheckDue(c *cache) bool {
	interval := float64(e.settings.HealthCheckInterval())
	spread := interval * float64(e.settings.Routers) / maxFleetChecks
	if spread <= interval || c.failedChecks > 0 || !c.healthy {
		c.unconfirmedChecks = 0
		return true
	}
	if c.nextCheckAt == 0 {
		c.nextCheckAt = e.now + Time(e.random()*spread)
	}
	switch {
	case e.now >= c.nextCheckAt:
		c.nextCheckAt = max(c.nextCheckAt+Time(spread), e.now)
		if !c.suspect {
			c.unconfirmedChecks = 0
		}
	case (c.suspect || c.ejected) && float64(e.now-c.checkedAt) >= interval*math.Exp2(float64(c.unconfirmedChecks)):
		c.unconfirmedChecks++
	default:
		return false
	}
	c.suspect = false
	return true
}

func (e *Engine) healthCheckDone(ev *HealthCheckDone) {
	c := e.caches[ev.Cache]
	if c == nil || c.checkRound == 0 {
		return // too late: its round has been judged
	}
	c.checkRound = 0
	switch {
	case ev.Result == NotSent:
		return // it was not asked
	case ev.Result != Served:
		c.failedChecks++
		return
	}
	c.failedChecks = 0
	if (c.ejected || e.sparseTraffic()) && ev.Elapsed < e.latencyThreshold {
		// It has got over a crowd; the few attempts that a cut limit lets out would be long in telling.
		c.concurrencyLimit, c.ejected = max(c.concurrencyLimit, e.initialLimit(c)), false
	}
	if !c.healthy {
		e.setHealthy(c, true)
	}
}

func (e *Engine) setHealthy(c *cache, healthy bool) {
	c.healthy = healthy
	e.logf("%s healthy: %v, after %d failed probes in a row", c.ID, healthy, c.failedChecks)
}

// eject notes a cache that has answered nothing for as long as an attempt may take. Where all routers
// share what it can do, its limit goes to the least at once. The danger: each of many routers learns from
// its own few attempts that a cache hangs, and halving the limit costs one more of each every time.
func (e *Engine) eject(c *cache) {
	c.lastHitOnTime, c.ejected = false, true
	e.adjustLimit(&c.concurrencyLimit, false, toleratedLateShare)
	e.adjustLimit(&c.concurrencyLimit, false, toleratedLateShare)
	if c.concurrencyLimit < 1 {
		c.concurrencyLimit = e.limitStep() * minLimit
	}
}

// noteConnect notes whether an attempt met the cache. The danger: links to a zone are cut, and a
// router that learns it from each of its caches apart finds out when it is over.
func (e *Engine) noteConnect(c *cache, met bool) {
	if met {
		c.zone.connectFailures, c.connectFailures = 0, 0
		return
	}
	c.connectFailures++
	e.delayHalfOpen(c)
	if c.zone.connectFailures++; c.zone.connectFailures == zoneFailureThreshold {
		e.logf("zone %s out of reach", c.Zone)
	}
	c.zone.halfOpenAt = e.now + e.settings.WarmupTime/4
}

// delayHalfOpen sets when a cache that could not be reached is tried again: later with each failure, and not
// when the other routers do.
func (e *Engine) delayHalfOpen(c *cache) {
	wait := float64(e.settings.WarmupTime) / 8 * math.Exp2(float64(min(c.connectFailures, maxBackoffDoublings)))
	c.halfOpenAt = e.now + Time(wait*(0.5+e.random()/2))
}

// circuitOpen reports whether a cache or its zone is held to be out of reach. The danger: a router with old
// news, as after a restart, sends each request to caches that are gone until its attempts are used up.
func (e *Engine) circuitOpen(c *cache) bool {
	return c.connectFailures >= connectFailureThreshold && e.now < c.halfOpenAt ||
		c.zone.connectFailures >= zoneFailureThreshold && e.now < c.zone.halfOpenAt
}
