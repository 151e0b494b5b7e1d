// Health: periodic checks, ejection of silent caches, and circuit breakers of unreachable caches and zones.

package policy

import (
	"cmp"
	"math"
)

const (
	defaultDrainGrace = Time(1_000_000) // if it is not set

	unhealthyThreshold   = 2    // consecutive failed checks after which a cache is unhealthy
	healthCheckCostShare = .01  // cost of checks per request above which rounds are skipped
	minHealthCheckCost   = 1e-9 // lower bound of the cost of a check, so that the budget stays finite
	maxSkippedIntervals  = 64   // limit of consecutive skipped rounds, for a router with almost no requests
	// maxFleetChecks is the limit of the checks of a cache by all routers in an interval. At an interval of
	// 1.5 s they take 3% of 4 cores.
	maxFleetChecks = 96
	minCheckBurst  = 200 // checks that a router may send at once, even with few requests

	connectFailureThreshold = 2 // consecutive connect failures that open the circuit of a cache
	zoneFailureThreshold    = 3 // consecutive connect failures that open the circuit of a zone
	cacheTrialDivisor       = 8 // divides the warm-up time to give the first backoff of a cache's trial request
	zoneTrialDivisor        = 4 // divides the warm-up time to give the wait for a zone's trial request
)

// HealthCheckTimeout returns how long a cache may take to answer a health check. It is half of the drain
// grace, so that faults are acted upon within that time, or the shortest latency objective if that is longer,
// because a working cache may take that long.
func (s *Settings) HealthCheckTimeout() Time {
	objective := Time(math.MaxInt64)
	for _, class := range s.Classes {
		objective = min(objective, class.LatencyObjective)
	}
	return max(s.drainGraceOrDefault()/2, objective)
}

// HealthCheckInterval returns the least time between the starts of two rounds of health checks. It exceeds
// HealthCheckTimeout, so that a round is over when the next one starts.
func (s *Settings) HealthCheckInterval() Time {
	return max(s.drainGraceOrDefault(), s.HealthCheckTimeout()+1)
}

func (s *Settings) drainGraceOrDefault() Time { return cmp.Or(s.DrainGrace, defaultDrainGrace) }

// startHealthCheckRound checks the caches that are due if the requests since the last round have earned
// enough budget to check every cache. In a large fleet checks could otherwise cost more than they save.
func (e *Engine) startHealthCheckRound() {
	e.schedule(e.now+e.settings.HealthCheckInterval(), e.startHealthCheckRound)
	e.skippedIntervals++
	maxChecks := max(minCheckBurst, e.requestsInInterval)
	e.requestsInInterval = 0
	affordable := e.healthCheckBudget >= float64(len(e.inService)) || e.skippedIntervals >= maxSkippedIntervals
	switch {
	case e.resumeChecksAfter != "": // the last round reached its limit, and this one continues it
	case affordable:
		e.healthCheckBudget, e.skippedIntervals = 0, 0
	default:
		return
	}
	e.sendHealthChecks(maxChecks)
}

// sendHealthChecks checks up to maxChecks of the caches that are due, from where the last round stopped.
func (e *Engine) sendHealthChecks(maxChecks int) {
	e.checkRound++
	round := e.checkRound
	first, found := e.findInService(e.resumeChecksAfter)
	if found {
		first++
	}
	e.resumeChecksAfter = ""
	for _, c := range e.inService[first:] {
		if !e.healthCheckDue(c) {
			continue
		}
		c.checkRound, c.checkedAt = round, e.now
		e.emit(HealthCheck{c.ID})
		if maxChecks--; maxChecks == 0 {
			e.resumeChecksAfter = c.ID
			break
		}
	}
	e.schedule(e.now+e.settings.HealthCheckTimeout(), func() {
		for _, c := range e.inService {
			if c.checkRound == round { // it did not answer in time
				c.checkRound = 0
				c.failedChecks++
			}
			if c.healthy && c.failedChecks >= unhealthyThreshold {
				e.setHealthy(c, false)
			}
		}
	})
}

// healthCheckDue reports whether a round checks the cache. If the checks of all routers would exceed
// maxFleetChecks, healthy caches are checked less often, by each router at a different time. A suspect cache
// is checked in the next round, and then with a backoff while no check confirms a fault, because in overload
// every cache is suspect.
func (e *Engine) healthCheckDue(c *cache) bool {
	interval := float64(e.settings.HealthCheckInterval())
	staggeredInterval := interval * float64(e.settings.Routers) / maxFleetChecks
	if staggeredInterval <= interval || c.failedChecks > 0 || !c.healthy {
		c.unconfirmedChecks = 0
		return true
	}
	if c.nextCheckAt == 0 {
		c.nextCheckAt = e.now + Time(e.rng.Float64()*staggeredInterval)
	}
	suspectWait := interval * math.Exp2(float64(c.unconfirmedChecks))
	switch {
	case e.now >= c.nextCheckAt:
		c.nextCheckAt = max(c.nextCheckAt+Time(staggeredInterval), e.now)
		if !c.suspect {
			c.unconfirmedChecks = 0
		}
	case (c.suspect || c.ejected) && float64(e.now-c.checkedAt) >= suspectWait:
		c.unconfirmedChecks++
	default:
		return false
	}
	c.suspect = false
	return true
}

// handleHealthCheckDone handles the result of a health check.
func (e *Engine) handleHealthCheckDone(ev *HealthCheckDone) {
	c := e.caches[ev.Cache]
	if c == nil || c.checkRound == 0 {
		return // the round of the check is over
	}
	c.checkRound = 0
	if ev.Result != Served {
		if ev.Result != NotSent {
			c.failedChecks++
		}
		return
	}
	c.failedChecks = 0
	if (c.ejected || e.sparseTraffic) && ev.Elapsed < e.latencyThreshold {
		// The overload of the cache is over. A low limit allows too few attempts to show that soon.
		c.concurrencyLimit, c.ejected = max(c.concurrencyLimit, e.initialLimit(c)), false
	}
	if !c.healthy {
		e.setHealthy(c, true)
	}
}

func (e *Engine) setHealthy(c *cache, healthy bool) {
	c.healthy = healthy
	e.logf("cache health changed cache=%s healthy=%t failed_checks=%d", c.ID, healthy, c.failedChecks)
}

// eject ejects a cache that has been silent for as long as an attempt may take. A limit below one falls to
// the minimum at once, because each halving would cost each of many routers one more attempt.
func (e *Engine) eject(c *cache) {
	c.lastLikelyHitInTime, c.ejected = false, true
	e.adjustCacheLimit(c, false)
	e.adjustCacheLimit(c, false)
	if c.concurrencyLimit < 1 {
		c.concurrencyLimit = e.limitStep * minLimit
	}
}

// circuitBreaker counts connect failures of a cache or a zone. An open one lets single trial requests pass,
// each after a wait.
type circuitBreaker struct {
	connectFailures int  // consecutive
	halfOpenAt      Time // when the next trial request may be sent
}

// recordConnect records, for a cache and its zone, whether an attempt could connect. In a partition the
// circuit of the zone opens first.
func (e *Engine) recordConnect(c *cache, connected bool) {
	if connected {
		c.connectFailures, c.zone.connectFailures = 0, 0
		return
	}
	c.connectFailures++
	c.zone.connectFailures++
	if c.zone.connectFailures == zoneFailureThreshold {
		e.logf("zone unreachable zone=%s connect_failures=%d", c.Zone, c.zone.connectFailures)
	}
	e.postponeTrial(c)
	c.zone.halfOpenAt = e.zoneTrialTime()
}

// postponeTrial sets the time of the next trial request to a cache, with an exponential backoff, and with
// jitter so that routers do not try at the same time.
func (e *Engine) postponeTrial(c *cache) {
	wait := backoff(e.settings.WarmupTime, cacheTrialDivisor, c.connectFailures)
	c.halfOpenAt = e.now + Time(e.rng.Jitter(wait))
}

// zoneTrialTime returns the time of the next trial request to a zone.
func (e *Engine) zoneTrialTime() Time { return e.now + e.settings.WarmupTime/zoneTrialDivisor }

// circuitOpen reports whether a cache or its zone counts as unreachable. Without circuit breakers, an
// outdated endpoint list would make requests use up their attempts on caches that are gone.
func (e *Engine) circuitOpen(c *cache) bool {
	return e.breakerOpen(&c.circuitBreaker, connectFailureThreshold) ||
		e.breakerOpen(c.zone, zoneFailureThreshold)
}

func (e *Engine) breakerOpen(b *circuitBreaker, threshold int) bool {
	return b.connectFailures >= threshold && e.now < b.halfOpenAt
}
