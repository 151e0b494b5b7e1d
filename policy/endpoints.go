// The endpoint list: polls with backoff, and updates of the caches.

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxBackoffDoublings      = 6         // doublings of a backoff
	minPollInterval     Time = 1_000_000 // the backoff is computed from at least this poll interval
	pollBackoffDivisor       = 40        // the backoff starts at the poll interval divided by this
	maxPollTime         Time = 1_000_000 // time that a poll may take
	minListedWeight          = 1e-3      // lower bound of the listed weight, so that the load stays finite

	pollFailureLogInterval Time = 10_000_000 // least time between log lines about failed polls
)

func (e *Engine) pollEndpoints() {
	e.polledAt = e.now
	e.emit(Watch{})
}

// updateEndpoints handles an update of the endpoint list, or the failure of a poll.
func (e *Engine) updateEndpoints(ev *EndpointsUpdate) {
	if ev.Kind == UpdateFailed {
		e.retryPoll()
		return
	}
	if ev.Kind != UpdateStale {
		e.failedPolls, e.polledAt = 0, e.now // the caller polls again at once
	}
	if ev.Kind != UpdateDelta {
		e.removeUnlisted(ev.Endpoints)
	}
	added := false
	for _, endpoint := range ev.Endpoints {
		c := e.updateEndpoint(endpoint)
		added = added || c.State == InService && c.concurrencyLimit == 0
	}
	if len(ev.Endpoints) > 0 || ev.Kind != UpdateDelta {
		e.updateFleet(added)
	}
	if !e.started {
		e.started = true
		e.start()
	}
}

// removeUnlisted removes the caches that are missing from a complete list.
func (e *Engine) removeUnlisted(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
	}
	for id, c := range e.caches {
		if !listed[id] {
			c.State = Removed
		}
	}
	for _, c := range slices.Clone(e.inService) {
		if c.State != InService {
			e.removeFromService(c)
		}
	}
}

// updateFleet updates the state that depends on all caches. added says that some caches have no limits yet.
func (e *Engine) updateFleet(added bool) {
	e.rankingVersion++
	e.sums.valid = false
	mean := 0.0
	for _, c := range e.inService {
		mean += c.Weight / float64(len(e.inService))
	}
	e.meanWeight = cmp.Or(mean, e.meanWeight)
	e.updateLimitFloors()
	if added {
		e.initializeLimits()
	}
}

// retryPoll schedules the next poll with a backoff, because discovery serves few routers at a time.
func (e *Engine) retryPoll() {
	e.failedPolls++
	wait := backoff(max(e.settings.PollInterval, minPollInterval), pollBackoffDivisor, e.failedPolls)
	if e.failedPolls == 1 {
		// A silent watch is detected only shortly before the router counts as notified of the changes it
		// missed.
		wait = min(wait, float64(e.settings.DrainGrace))
	}
	// Discovery may be reachable again. The next poll must end before the router counts as notified of a
	// change.
	untilNotified := NotificationTimeout - maxPollTime - (e.now - e.polledAt)
	wait = min(wait, float64(max(untilNotified, maxPollTime/2)))
	e.schedule(e.now+Time(e.rng.Jitter(wait)), e.pollEndpoints)
	if e.failedPolls == 1 && e.now >= e.nextPollFailureLog {
		e.nextPollFailureLog = e.now + pollFailureLogInterval
		e.logf("endpoint list poll failed failed_polls=%d", e.failedPolls)
	}
}

// backoff returns a wait that starts at a part of the span and doubles with each failure.
func backoff(span Time, divisor float64, failures int) float64 {
	return float64(span) / divisor * math.Exp2(float64(min(failures, maxBackoffDoublings)))
}

// updateEndpoint updates or adds the cache of an endpoint, and returns it.
func (e *Engine) updateEndpoint(endpoint Endpoint) *cache {
	c := e.caches[endpoint.ID]
	restarted := c == nil || endpoint.StartedAt != c.StartedAt
	if c == nil {
		c = newCache(endpoint.ID)
		e.caches[endpoint.ID] = c
	} else if restarted || c.State == Removed && endpoint.State == InService {
		c.reset()
	}
	if e.settings.LiveWeights {
		// A weight that falls under load would move keys to other caches, so the largest weight seen is used,
		// which is close to the nominal one.
		listed := max(endpoint.Weight, minListedWeight)
		endpoint.Weight = max(endpoint.Weight, c.Weight)
		e.updateLoad(c, max(0, endpoint.Weight/listed-1))
	}
	c.Endpoint = endpoint
	if endpoint.Weight <= 0 {
		c.Weight = 1
	}
	c.zone = cmp.Or(e.zones[endpoint.Zone], &circuitBreaker{})
	e.zones[endpoint.Zone] = c.zone
	// A start time in the future, or an older one listed again, must not change the length of the slow start.
	startedAt := min(endpoint.StartedAt, e.now)
	warmupRestarted := restarted && endpoint.StartedAt > 0 && startedAt > c.warmupFrom
	if warmupRestarted {
		c.warmupFrom, c.warmAt = startedAt, startedAt+e.settings.WarmupTime
	}
	e.regroup(c, warmupRestarted)
	return c
}

// initializeLimits sets the limits of caches that have none yet.
func (e *Engine) initializeLimits() {
	for _, c := range e.inService {
		if c.concurrencyLimit == 0 {
			c.concurrencyLimit = e.initialLimit(c)
			saved := maxTimeTokenShare * e.rng.Float64() // so that routers that start together do not send together
			c.timeTokens, c.timeTokensAt = saved*float64(e.latencyThreshold), e.now
		}
	}
}

// start starts the timers and sets the origin's first limit, which depends on the number of caches. It is
// called when the first endpoint list has been applied.
func (e *Engine) start() {
	e.missRatio = 1
	fleetLimit := initialFleetLimit * float64(len(e.inService))
	e.originLimit = max(minOriginLimit, fleetLimit/float64(max(1, e.settings.Routers)))
	if e.settings.WatchRequired {
		e.pollEndpoints()
	}
	e.schedule(e.now, e.rotateRecentKeys)
	e.schedule(e.now, e.rotateCounts)
	if e.settings.HealthChecksAllowed {
		// A random start keeps routers from checking together.
		e.healthCheckBudget = e.rng.Float64() * float64(len(e.inService))
		e.schedule(e.now+Time(e.rng.Float64()*float64(e.settings.DrainGrace)), e.startHealthCheckRound)
	}
}
