package router

import (
	"context"
	"errors"
	"math/rand/v2"

	"marlstage/policy"
)

// applyEndpoints takes over a list of caches, for the module and for sending alike.
func (l *eventLoop) applyEndpoints(h hostList, kind policy.UpdateKind) {
	l.endpointsVersion, l.failedWatches = h.index, 0
	seen := make(map[string]bool, len(h.entries))
	for i, e := range h.entries {
		seen[e.ID] = true
		u := l.pools[e.ID]
		if u == nil {
			u = newPool(l, e.ID)
			l.pools[e.ID] = u
		}
		u.update(h.addrs[i], e.StartedAt, e.State == policy.InService)
	}
	for name, u := range l.pools {
		if h.full && !seen[name] {
			u.update(u.addr, u.startedAt, false)
		}
	}
	l.canServe.Store(l.hasInServicePool())
	l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: kind, Endpoints: h.entries})
}

func (l *eventLoop) startWatch() {
	if l.watching {
		return
	}
	l.watching = true
	ctx, end := context.WithCancel(l.ctx)
	l.cancelWatch = end
	go func(d *discovery, after int64) {
		defer end()
		current := func(f func()) {
			l.post(func() {
				if d == l.discovery { // else its successor tells
					f()
				}
			})
		}
		err := d.watch(ctx, after, func(h hostList) { current(func() { l.applyEndpoints(h, h.kind()) }) })
		current(func() {
			l.watching = false
			l.log("discovery: " + err.Error())
			if errors.Is(err, errOutOfStep) {
				l.endpointsVersion = noIndex // the danger: the same call is answered in the same way for ever
			}
			if l.cfg.Settings.WatchRequired {
				l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: policy.UpdateFailed})
			} else {
				l.scheduleAfter(l.watchBackoff(), l.startWatch) // the module never asked, so it is not told of failures
			}
		})
	}(l.discovery, l.endpointsVersion)
}

// watchBackoff is how long to wait before another watch, longer with each that has failed and never as long as the
// other routers: what they all ask again at once serves none of them. It ends well within the drain grace, as
// what discovery has to tell at its return counts as told at once.
func (l *eventLoop) watchBackoff() policy.Time {
	wait := policy.Time(watchBackoffBase) << min(l.failedWatches, maxWatchDoublings)
	if grace := l.cfg.Settings.DrainGrace; grace > 0 {
		wait = min(wait, grace/2)
	}
	l.failedWatches++
	return policy.Time(float64(wait) * (0.5 + rand.Float64()/2))
}

// moveDiscovery goes on with discovery at another address. Where the list comes by itself and costs nothing, all
// of it is asked for: versions there may be others.
func (l *eventLoop) moveDiscovery(cfg *Config) {
	l.log("discovery moves to " + cfg.Discovery)
	if l.watching {
		l.cancelWatch()
	}
	l.discovery.client.CloseIdleConnections()
	l.discovery, l.watching, l.failedWatches = newDiscovery(cfg), false, 0
	if !l.cfg.Settings.WatchRequired {
		l.endpointsVersion = noIndex
	}
	l.startWatch()
}

// hasInServicePool reports whether the router can serve.
func (l *eventLoop) hasInServicePool() bool {
	for _, u := range l.pools {
		if u.inService {
			return true
		}
	}
	return false
}
