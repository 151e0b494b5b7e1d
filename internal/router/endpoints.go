package router

import (
	"context"
	"errors"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

// discoveryClientConfig returns the part of the configuration that binds the
// client of the discovery service.
func discoveryClientConfig(cfg *config.Config) discovery.ClientConfig {
	return discovery.ClientConfig{
		Address:         cfg.Discovery,
		MaxResponseSize: discovery.MaxResponseSize(cfg.Limits.MemoryMB),
		WatchWait:       discovery.WatchWait(cfg.Settings.WatchRequired),
	}
}

func newDiscoveryClient(cfg *config.Config) *discovery.Client {
	return discovery.NewClient(discoveryClientConfig(cfg))
}

// applyEndpoints applies an endpoint list to the pools and queues it for the policy. Both get its
// start times by the loop's clock.
func (l *eventLoop) applyEndpoints(list discovery.EndpointList, kind policy.UpdateKind) {
	l.endpointsVersion = list.Version
	l.watchBackoff.Reset()
	list.Endpoints = l.startTimes.convert(&list, kind, l.now)
	l.updatePools(&list)
	l.canServe.Store(l.hasInServicePool())
	l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: kind, Endpoints: list.Endpoints})
}

// updatePools updates the pool of each listed endpoint. Where the list is a
// snapshot, it takes the pools of all others out of service.
func (l *eventLoop) updatePools(list *discovery.EndpointList) {
	listed := make(map[string]bool, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		p := l.pools[endpoint.ID]
		if p == nil {
			p = newPool(l, endpoint.ID)
			l.pools[endpoint.ID] = p
		}
		p.update(list.Addresses[i], endpoint.StartedAt, endpoint.State == policy.InService)
	}
	if !list.Snapshot {
		return
	}
	for id, p := range l.pools {
		if !listed[id] {
			p.update(p.addr, p.startedAt, false)
		}
	}
}

// startWatch opens a watch for changes of the endpoint list, unless one is open.
func (l *eventLoop) startWatch() {
	if l.watching {
		return
	}
	l.watching = true
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelWatch = cancel
	go func(client *discovery.Client, version int64) {
		defer cancel()
		l.runWatch(ctx, client, version)
	}(l.discovery, l.endpointsVersion)
}

// runWatch runs a watch until it fails. Unlike the other methods it runs in a
// goroutine of its own.
func (l *eventLoop) runWatch(ctx context.Context, client *discovery.Client, version int64) {
	err := client.Watch(ctx, version, func(list discovery.EndpointList) {
		l.postFromWatch(client, func() { l.applyEndpoints(list, list.Kind()) })
	})
	l.postFromWatch(client, func() { l.watchFailed(err) })
}

// postFromWatch has the loop run f, unless the client has been replaced by then.
func (l *eventLoop) postFromWatch(client *discovery.Client, f func()) {
	l.post(func() {
		if client == l.discovery {
			f()
		}
	})
}

// watchFailed arranges the next watch. Where the policy opens watches it is
// notified of the failure; elsewhere the loop retries by itself.
func (l *eventLoop) watchFailed(err error) {
	l.watching = false
	l.startTimes.contactLost()
	l.log("discovery: " + err.Error())
	if errors.Is(err, discovery.ErrOutOfOrder) {
		l.endpointsVersion = discovery.NoVersion // the same call would get the same response for ever
	}
	if l.cfg.Settings.WatchRequired {
		l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: policy.UpdateFailed})
		return
	}
	l.scheduleAfter(l.watchBackoff.Next(l.cfg.Settings.DrainGrace), l.startWatch)
}

// moveDiscovery replaces the client of the discovery service by one with
// another address. Where a watch has no cost it starts from a snapshot, as the
// versions of the other service may differ.
func (l *eventLoop) moveDiscovery(cfg *config.Config) {
	l.log("discovery moves to " + cfg.Discovery)
	if l.watching {
		l.cancelWatch()
	}
	l.startTimes.contactLost()
	l.discovery.CloseIdleConnections()
	l.discovery = newDiscoveryClient(cfg)
	l.watching = false
	l.watchBackoff.Reset()
	if !l.cfg.Settings.WatchRequired {
		l.endpointsVersion = discovery.NoVersion
	}
	l.startWatch()
}

// hasInServicePool reports whether a cache server accepts requests.
func (l *eventLoop) hasInServicePool() bool {
	for _, p := range l.pools {
		if p.inService {
			return true
		}
	}
	return false
}
