// Membership: the list of caches and the calls for it.

package policy

import (
	"cmp"
	"math"
	"sort"
)

const (
	maxBackoffDoublings = 6   // doublings of the wait between calls for the list
	pollAllowance       = 1e6 // microseconds that a call for the list may take until its answer
)

// pollEndpoints calls for the list.
func (e *Engine) pollEndpoints() {
	e.polledAt = e.now
	e.emit(Watch{})
}

func (e *Engine) updateEndpoints(ev *EndpointsUpdate) {
	if ev.Kind == UpdateFailed {
		// Routers that lose the list together must not ask together: the list serves few calls.
		e.failedPolls++
		wait := float64(max(e.settings.PollInterval, 1e6)) / 40 * math.Exp2(float64(min(e.failedPolls, maxBackoffDoublings)))
		if e.failedPolls == 1 { // a silent watch is noticed when what it missed is about to count as told
			wait = min(wait, float64(e.settings.DrainGrace))
		}
		// The danger: discovery may be back since the start of the call that has failed, and what it has to
		// tell counts as told before the next call is answered.
		wait = min(wait, float64(max(NotificationDeadline-pollAllowance-(e.now-e.polledAt), pollAllowance/2)))
		e.schedule(e.now+Time(wait*(0.5+e.random()/2)), e.pollEndpoints)
		if e.failedPolls == 1 {
			e.logf("list lost, asking again")
		}
		return
	}
	if ev.Kind != UpdateStale {
		e.failedPolls, e.polledAt = 0, e.now // the next call follows at once
	}
	seen := map[string]bool{}
	for _, endpoint := range ev.Endpoints {
		seen[endpoint.ID] = true
		e.updateEndpoint(endpoint)
	}
	e.inService = e.inService[:0]
	for id, c := range e.caches {
		if ev.Kind != UpdateDelta && !seen[id] {
			c.State = Removed
		}
		if c.State == InService {
			e.inService = append(e.inService, c)
		}
	}
	sort.Slice(e.inService, func(i, j int) bool { return e.inService[i].ID < e.inService[j].ID })
	size := 0.0
	for _, c := range e.inService {
		size += c.Weight / float64(len(e.inService))
	}
	e.meanWeight = cmp.Or(size, e.meanWeight)
	for _, c := range e.inService {
		if c.concurrencyLimit == 0 {
			c.concurrencyLimit = e.initialLimit(c)
			// Routers started together must not all come at once.
			c.timeTokens, c.timeTokensAt = maxSavedTimeShare*e.random()*float64(e.latencyThreshold), e.now
		}
	}
	if !e.started {
		e.started = true
		e.missRatio = 1
		e.originLimit = max(minOriginLimit, initialFleetLimit*float64(len(e.inService))/float64(max(1, e.settings.Routers)))
		if e.settings.WatchRequired {
			e.pollEndpoints()
		}
		e.schedule(e.now, e.rotateRecentKeys)
		e.schedule(e.now, e.rotateKeyCounts)
		if e.settings.HealthChecksAllowed {
			// Routers started together must not probe on one beat.
			e.healthCheckBudget = e.random() * float64(len(e.inService))
			e.schedule(e.now+Time(e.random()*float64(e.settings.DrainGrace)), e.startHealthCheckRound)
		}
	}
}

func (e *Engine) updateEndpoint(endpoint Endpoint) {
	c := e.caches[endpoint.ID]
	starts := c == nil || endpoint.StartedAt != c.StartedAt
	if c == nil {
		c = &cache{healthy: true, lastHitOnTime: true, acceptedKeyShare: 1, hash: hash(endpoint.ID), recentKeys: [2]map[uint64]bool{{}, {}}}
		e.caches[endpoint.ID] = c
	} else if endpoint.StartedAt != c.StartedAt || c.State == Removed && endpoint.State == InService {
		// The process is a new one: nothing seen of the old one holds.
		c.healthy, c.failedChecks, c.connectFailures, c.recentKeys = true, 0, 0, [2]map[uint64]bool{{}, {}}
		c.loadPerCore, c.acceptedKeyShare = 0, 1
	}
	if e.settings.LiveWeights {
		// The danger: a size that falls with the load moves keys from list to list, and they miss.
		// The largest seen is the nominal one, or close; it is the same for all routers.
		listed := max(endpoint.Weight, 1e-3)
		endpoint.Weight = max(endpoint.Weight, c.Weight)
		e.updateLoad(c, max(0, endpoint.Weight/listed-1))
	}
	c.Endpoint = endpoint
	if e.zones[endpoint.Zone] == nil {
		e.zones[endpoint.Zone] = &zone{}
	}
	c.zone = e.zones[endpoint.Zone]
	if endpoint.Weight <= 0 {
		c.Weight = 1
	}
	if from := min(endpoint.StartedAt, e.now); starts && endpoint.StartedAt > 0 && from > c.warmupFrom {
		// The danger: a start that a list dates in the future, or repeats after a later one, shuts the cache
		// out for longer than it is cold, or lets it in while it is.
		c.warmupFrom, c.warmAt = from, from+e.settings.WarmupTime
	}
}
