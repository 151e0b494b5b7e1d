package router

import (
	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

// discoveryClientConfig returns the configuration of the discovery client.
func discoveryClientConfig(cfg *config.Config) discovery.ClientConfig {
	return discovery.ClientConfig{
		Address:         cfg.Discovery,
		MaxResponseSize: discovery.MaxResponseSize(cfg.Limits.MemoryMB),
		MaxEndpoints:    discovery.MaxEndpoints(cfg.Limits.MemoryMB),
		WatchWait:       discovery.WatchWait(cfg.Settings.WatchRequired),
	}
}

func newDiscoveryClient(cfg *config.Config) *discovery.Client {
	return discovery.NewClient(discoveryClientConfig(cfg))
}

// applyEndpoints applies an endpoint list. The next watch asks for the changes since its version.
func (l *eventLoop) applyEndpoints(list discovery.EndpointList, kind policy.UpdateKind) {
	l.endpointsVersion = list.Version
	l.watchBackoff.Reset()
	l.watchRetries = 0
	l.discoveryMovedAt = 0
	l.updateEndpoints(list, kind)
}

// applyReplacedEndpoints applies a list from a replaced discovery service while the new service has not sent a
// list yet. The list's version is ignored: the new service is still asked for the changes since the version that
// was set when it replaced the old one.
func (l *eventLoop) applyReplacedEndpoints(list discovery.EndpointList) {
	l.updateEndpoints(list, list.Kind())
	l.startTimes.noteContactLost()
}

// updateEndpoints updates the pools from an endpoint list and queues the list for the policy. Both get the
// start times converted to the loop's clock. The list is queued before the outcomes of attempts that end with it:
// otherwise the engine could send their requests to the same caches again.
func (l *eventLoop) updateEndpoints(list discovery.EndpointList, kind policy.UpdateKind) {
	list.Endpoints = l.startTimes.convert(&list, kind, l.now)
	l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: kind, Endpoints: list.Endpoints})
	l.updatePools(&list)
	l.ready.Store(l.hasInServicePool())
	l.memory.reserve(int64(len(l.pools)) * cacheMemory)
}

// updatePools updates the pool of each listed endpoint. If the list is a snapshot, it takes the pools of all
// other endpoints out of service.
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

// hasInServicePool reports whether any cache is in service.
func (l *eventLoop) hasInServicePool() bool {
	for _, p := range l.pools {
		if p.inService {
			return true
		}
	}
	return false
}
