package scaletest

// This file holds the state of the discovery agent and encodes its lists.

import (
	"fmt"
	"math/rand/v2"
)

// The statuses of an endpoint on the wire.
const (
	statusInService   = "in_service"
	statusTerminating = "terminating"
	statusTerminated  = "terminated"
)

// serversPerPlacementGroup is the number of consecutive cache servers that are listed with the same
// group of caches.
const serversPerPlacementGroup = 8

// host is the state of a cache server in the discovery service.
type host struct {
	addrs          []string // by group of routers
	status         string
	nominalWeight  float64
	weight         float64
	startedAt      int64 // Unix time in milliseconds
	changedVersion int64 // version of the list in which the host last changed
}

// encodedList is an endpoint list in its JSON form.
type encodedList struct {
	body      []byte
	endpoints int
}

// publish applies change to each host and publishes the result as a new version of the list.
func (a *DiscoveryAgent) publish(change func(position int, h *host)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.hosts {
		h := &a.hosts[i]
		status, weight, startedAt := h.status, h.weight, h.startedAt
		change(i, h)
		if h.status != status || h.weight != weight || h.startedAt != startedAt {
			h.changedVersion = a.version
		}
	}
	for group := range a.snapshots {
		a.snapshots[group] = a.encode(group, true, func(h *host) bool { return h.status != statusTerminated })
		a.deltas[group] = a.encode(group, false, func(h *host) bool { return h.changedVersion == a.version })
	}
	a.notifyChange()
}

// nameMultiplier spreads the names of the cache servers over 32 bits (multiplicative hashing).
const nameMultiplier = 2654435761

// encode returns the list of the hosts that include selects, with the addresses for one group of routers.
func (a *DiscoveryAgent) encode(group int, snapshot bool, include func(*host) bool) encodedList {
	list := encodedList{body: fmt.Appendf(nil, `{"index":%d,"snapshot":%t,"endpoints":[`, a.version, snapshot)}
	for i := range a.hosts {
		h := &a.hosts[i]
		if !include(h) {
			continue
		}
		list.endpoints++
		if list.endpoints > 1 {
			list.body = append(list.body, ',')
		}
		list.body = fmt.Appendf(list.body,
			`{"name":"s-%08x","address":%q,"zone":"a","type":"m2","group":%d,"status":%q,"weight":%.3f,"since_ms":%d}`,
			uint32(i+1)*nameMultiplier, h.addrs[group], i/serversPerPlacementGroup, h.status, h.weight, h.startedAt)
	}
	list.body = append(list.body, "]}"...)
	return list
}

// maxWeightReduction is the largest fraction by which a live weight is below the nominal one.
const maxWeightReduction = .25

// ChangeWeights gives every cache server in service a new random live weight.
func (a *DiscoveryAgent) ChangeWeights() {
	a.publish(func(_ int, h *host) {
		if h.status == statusInService {
			h.weight = h.nominalWeight * (1 - rand.Float64()*maxWeightReduction)
		}
	})
}

// SetStatus sets the status of one cache server and its last start, in Unix milliseconds.
func (a *DiscoveryAgent) SetStatus(position int, status string, startedAt int64) {
	a.publish(func(i int, h *host) {
		if i == position {
			h.status = status
			h.startedAt = startedAt
		}
	})
}
