package router

import (
	"sync/atomic"

	"marlstage/internal/config"
)

const (
	minSockets          = config.MinSockets
	reservedDescriptors = 48 // descriptors outside the budget, for the log, the poller, discovery and brief overlaps

	// The remaining descriptors are divided between clients and caches in this ratio.
	clientShare   = 3
	upstreamShare = 2
)

// descriptorBudget divides the process's descriptors between connections to clients and to caches, so that
// neither side can use up the descriptors of the other. It counts client connections; the event loop counts
// upstream connections itself.
type descriptorBudget struct {
	clientConns      atomic.Int64
	clientReleased   chan struct{} // has capacity one; receives when a client's descriptor is released
	maxClientConns   int64
	maxUpstreamConns int
}

// newDescriptorBudget returns a budget that divides the given number of descriptors.
func newDescriptorBudget(descriptors int) *descriptorBudget {
	free := max(descriptors, minSockets) - reservedDescriptors
	return &descriptorBudget{
		clientReleased:   make(chan struct{}, 1),
		maxClientConns:   int64(free * clientShare / (clientShare + upstreamShare)),
		maxUpstreamConns: free * upstreamShare / (clientShare + upstreamShare),
	}
}

// acquireClient reserves a descriptor for a client connection, and returns false if none is left.
func (b *descriptorBudget) acquireClient() bool {
	return tryAdd(&b.clientConns, 1, b.maxClientConns)
}

// releaseClient releases the descriptor of a client connection and wakes the accept loop if it waits for one.
func (b *descriptorBudget) releaseClient() {
	b.clientConns.Add(-1)
	select {
	case b.clientReleased <- struct{}{}:
	default:
	}
}

// tryAdd adds delta to the counter, and returns false if that would exceed the limit.
func tryAdd(counter *atomic.Int64, delta, limit int64) bool {
	if counter.Add(delta) > limit {
		counter.Add(-delta)
		return false
	}
	return true
}
