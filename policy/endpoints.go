// Membership: the list of caches and the calls for it.

package policy

import (
	"cmp"
	"math"
	"sort"
)

const (
	backoffMost = 6   // doublings of the wait between calls for the list
	callRoom    = 1e6 // microseconds that a call for the list may take until its answer
)

// watch calls for the list.
func (r *Engine) watch() {
	r.askedAt = r.now
	r.do(Watch{})
}

func (r *Engine) list(ev *EndpointsUpdate) {
	if ev.Kind == UpdateFailed {
		// Routers that lose the list together must not ask together: the list serves few calls.
		r.calls++
		wait := float64(max(r.set.PollInterval, 1e6)) / 40 * math.Exp2(float64(min(r.calls, backoffMost)))
		if r.calls == 1 { // a silent watch is noticed when what it missed is about to count as told
			wait = min(wait, float64(r.set.DrainGrace))
		}
		// The danger: discovery may be back since the start of the call that has failed, and what it has to
		// tell counts as told before the next call is answered.
		wait = min(wait, float64(max(NotificationDeadline-callRoom-(r.now-r.askedAt), callRoom/2)))
		r.at(r.now+Time(wait*(0.5+r.random()/2)), r.watch)
		if r.calls == 1 {
			r.logf("list lost, asking again")
		}
		return
	}
	if ev.Kind != UpdateStale {
		r.calls, r.askedAt = 0, r.now // the next call follows at once
	}
	seen := map[string]bool{}
	for _, e := range ev.Endpoints {
		seen[e.ID] = true
		r.entry(e)
	}
	r.ready = r.ready[:0]
	for id, c := range r.caches {
		if ev.Kind != UpdateDelta && !seen[id] {
			c.State = Removed
		}
		if c.State == InService {
			r.ready = append(r.ready, c)
		}
	}
	sort.Slice(r.ready, func(i, j int) bool { return r.ready[i].ID < r.ready[j].ID })
	size := 0.0
	for _, c := range r.ready {
		size += c.Weight / float64(len(r.ready))
	}
	r.size = cmp.Or(size, r.size)
	for _, c := range r.ready {
		if c.limit == 0 {
			c.limit = r.firstPart(c)
			// Routers started together must not all come at once.
			c.credit, c.creditAt = savedShare*r.random()*float64(r.patience), r.now
		}
	}
	if !r.started {
		r.started = true
		r.missing = 1
		r.fetches = max(leastFetches, firstLimit*float64(len(r.ready))/float64(max(1, r.set.Routers)))
		if r.set.WatchRequired {
			r.watch()
		}
		r.at(r.now, r.forget)
		r.at(r.now, r.turn)
		if r.set.HealthChecksAllowed {
			// Routers started together must not probe on one beat.
			r.spare = r.random() * float64(len(r.ready))
			r.at(r.now+Time(r.random()*float64(r.set.DrainGrace)), r.probeRound)
		}
	}
}

func (r *Engine) entry(e Endpoint) {
	c := r.caches[e.ID]
	starts := c == nil || e.StartedAt != c.StartedAt
	if c == nil {
		c = &cache{healthy: true, prompt: true, open: 1, hash: hash(e.ID), keeps: [2]map[uint64]bool{{}, {}}}
		r.caches[e.ID] = c
	} else if e.StartedAt != c.StartedAt || c.State == Removed && e.State == InService {
		// The process is a new one: nothing seen of the old one holds.
		c.healthy, c.fails, c.unmet, c.keeps = true, 0, 0, [2]map[uint64]bool{{}, {}}
		c.crowd, c.open = 0, 1
	}
	if r.set.LiveWeights {
		// The danger: a size that falls with the load moves keys from list to list, and they miss.
		// The largest seen is the nominal one, or close; it is the same for all routers.
		listed := max(e.Weight, 1e-3)
		e.Weight = max(e.Weight, c.Weight)
		r.ease(c, max(0, e.Weight/listed-1))
	}
	c.Endpoint = e
	if r.zones[e.Zone] == nil {
		r.zones[e.Zone] = &zone{}
	}
	c.zone = r.zones[e.Zone]
	if e.Weight <= 0 {
		c.Weight = 1
	}
	if from := min(e.StartedAt, r.now); starts && e.StartedAt > 0 && from > c.coldFrom {
		// The danger: a start that a list dates in the future, or repeats after a later one, shuts the cache
		// out for longer than it is cold, or lets it in while it is.
		c.coldFrom, c.warmAt = from, from+r.set.WarmupTime
	}
}
