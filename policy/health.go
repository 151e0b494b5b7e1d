// Health: periodic checks, ejection of caches that fall silent, and circuit breakers of unreachable ones.

package policy

import (
	"cmp"
	"math"
)

const (
	defaultDrainGrace = Time(1_000_000) // where the settings leave it out

	unhealthyThreshold   = 2    // consecutive failed checks that mark a cache unhealthy
	healthCheckCostShare = .01  // points that checks may cost per request before rounds are skipped
	minHealthCheckCost   = 1e-9 // assumed price of a check, so that the budget stays finite
	maxSkippedIntervals  = 64   // consecutive, for a router with next to no requests
	maxFleetChecks       = 96   // of a cache by all routers in an interval of 1.5 s: 3% of 4 cores
	minChecksAtOnce      = 200  // checks that a router may send at once, however few its requests are

	connectFailureThreshold = 2 // consecutive failed connections that open the circuit of a cache
	zoneFailureThreshold    = 3 // ... and of a zone
	cacheTrialDivisor       = 8 // part of the warm-up time from which the wait for a cache's trial doubles
	zoneTrialDivisor        = 4 // part of the warm-up time until the trial of a zone
)

// HealthCheckTimeout is how long a cache may take to answer a health check: half of the drain grace, so as to
// act upon faults within that, or the shortest latency objective if longer, as it may serve for so long.
func (s *Settings) HealthCheckTimeout() Time {
	objective := Time(math.MaxInt64)
	for _, class := range s.Classes {
		objective = min(objective, class.LatencyObjective)
	}
	return max(s.drainGraceOrDefault()/2, objective)
}

// HealthCheckInterval is the least time between two rounds of health checks. The earlier one is over by then.
func (s *Settings) HealthCheckInterval() Time {
	return max(s.drainGraceOrDefault(), s.HealthCheckTimeout()+1)
}

func (s *Settings) drainGraceOrDefault() Time { return cmp.Or(s.DrainGrace, defaultDrainGrace) }

// startHealthCheckRound checks the caches that are due, if the requests since the last round pay for a check
// of each: in a large fleet checks could cost more than they save.
func (e *Engine) startHealthCheckRound() {
	e.schedule(e.now+e.settings.HealthCheckInterval(), e.startHealthCheckRound)
	e.skippedIntervals++
	atOnce := max(minChecksAtOnce, e.requestsInInterval)
	e.requestsInInterval = 0
	paid := e.healthCheckBudget >= float64(len(e.inService)) || e.skippedIntervals >= maxSkippedIntervals
	switch {
	case e.lastChecked != "": // the round goes on where the last one had to stop
	case paid:
		e.healthCheckBudget, e.skippedIntervals = 0, 0
	default:
		return
	}
	e.sendHealthChecks(atOnce)
}

// sendHealthChecks checks the caches that are due, from where the last round stopped, up to a number of them.
func (e *Engine) sendHealthChecks(atOnce int) {
	e.checkRound++
	round := e.checkRound
	first, found := e.findInService(e.lastChecked)
	if found {
		first++
	}
	e.lastChecked = ""
	for _, c := range e.inService[first:] {
		if !e.healthCheckDue(c) {
			continue
		}
		c.checkRound, c.checkedAt = round, e.now
		e.emit(HealthCheck{c.ID})
		if atOnce--; atOnce == 0 {
			e.lastChecked = c.ID
			break
		}
	}
	e.schedule(e.now+e.settings.HealthCheckTimeout(), func() {
		for _, c := range e.inService {
			if c.checkRound == round { // no answer in time
				c.checkRound = 0
				c.failedChecks++
			}
			if c.healthy && c.failedChecks >= unhealthyThreshold {
				e.setHealthy(c, false)
			}
		}
	})
}

// healthCheckDue reports whether a round checks the cache. Above maxFleetChecks, caches that pass are checked
// less often, by each router at a time of its own. A suspect is checked in the next round, and then with a
// backoff while no fault is confirmed: in overload every cache is suspect.
func (e *Engine) healthCheckDue(c *cache) bool {
	interval := float64(e.settings.HealthCheckInterval())
	spread := interval * float64(e.settings.Routers) / maxFleetChecks
	if spread <= interval || c.failedChecks > 0 || !c.healthy {
		c.unconfirmedChecks = 0
		return true
	}
	if c.nextCheckAt == 0 {
		c.nextCheckAt = e.now + Time(e.rng.Float64()*spread)
	}
	suspectWait := interval * math.Exp2(float64(c.unconfirmedChecks))
	switch {
	case e.now >= c.nextCheckAt:
		c.nextCheckAt = max(c.nextCheckAt+Time(spread), e.now)
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

func (e *Engine) healthCheckDone(ev *HealthCheckDone) {
	c := e.caches[ev.Cache]
	if c == nil || c.checkRound == 0 {
		return // too late: its round is over
	}
	c.checkRound = 0
	if ev.Result != Served {
		if ev.Result != NotSent {
			c.failedChecks++
		}
		return
	}
	c.failedChecks = 0
	if (c.ejected || e.sparseTraffic()) && ev.Elapsed < e.latencyThreshold {
		// Its overload is over. With a low limit, the few attempts would be late to reveal that.
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

// eject marks a cache that has been silent for as long as an attempt may take. A limit below one falls to the
// minimum at once: each halving would cost each of many routers one more attempt.
func (e *Engine) eject(c *cache) {
	c.lastHitOnTime, c.ejected = false, true
	e.adjustCacheLimit(c, false)
	e.adjustCacheLimit(c, false)
	if c.concurrencyLimit < 1 {
		c.concurrencyLimit = e.limitStep() * minLimit
	}
}

// circuitBreaker counts failed connections. While it is open, one request at a time is the half-open trial.
type circuitBreaker struct {
	connectFailures int // consecutive
	halfOpenAt      Time
}

// noteConnect records whether an attempt reached the cache, and its zone: a partition shows there first.
func (e *Engine) noteConnect(c *cache, connected bool) {
	if connected {
		c.connectFailures, c.zone.connectFailures = 0, 0
		return
	}
	c.connectFailures++
	c.zone.connectFailures++
	if c.zone.connectFailures == zoneFailureThreshold {
		e.logf("zone unreachable zone=%s connect_failures=%d", c.Zone, c.zone.connectFailures)
	}
	e.delayTrial(c)
	c.zone.halfOpenAt = e.zoneTrialAt()
}

// delayTrial sets the next trial of a cache: later with each failure, and not when other routers try.
func (e *Engine) delayTrial(c *cache) {
	wait := backoff(e.settings.WarmupTime, cacheTrialDivisor, c.connectFailures)
	c.halfOpenAt = e.now + Time(e.rng.Jitter(wait))
}

func (e *Engine) zoneTrialAt() Time { return e.now + e.settings.WarmupTime/zoneTrialDivisor }

// circuitOpen reports whether a cache or its zone counts as unreachable. With an old endpoint list, requests
// would else use up their attempts on caches that are gone.
func (e *Engine) circuitOpen(c *cache) bool {
	return e.breakerOpen(&c.circuitBreaker, connectFailureThreshold) ||
		e.breakerOpen(c.zone, zoneFailureThreshold)
}

func (e *Engine) breakerOpen(b *circuitBreaker, threshold int) bool {
	return b.connectFailures >= threshold && e.now < b.halfOpenAt
}
