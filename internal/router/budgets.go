package router

import (
	"sync/atomic"

	"marlstage/internal/config"
)

const (
	minSockets          = config.MinSockets
	reservedDescriptors = 48 // descriptors outside the budget: the log, the poller, discovery, short overlaps

	// The budgets divide the remaining descriptors in the ratio of these shares.
	clientShare   = 3
	upstreamShare = 2

	requestMemoryDivisor = 4 // the memory limit over the part for requests in flight and pending replies
)

// descriptorBudget divides the process's descriptors between clients and caches, so that neither
// side can use up those of the other. It counts those of clients; the event loop counts the
// connections to caches itself.
type descriptorBudget struct {
	clientConns      atomic.Int64
	freed            chan struct{} // has capacity one; receives when a client's descriptor is released
	maxClientConns   int64
	maxUpstreamConns int
}

// newDescriptorBudget divides the given number of descriptors.
func newDescriptorBudget(descriptors int) *descriptorBudget {
	free := max(descriptors, minSockets) - reservedDescriptors
	return &descriptorBudget{
		freed:            make(chan struct{}, 1),
		maxClientConns:   int64(free * clientShare / (clientShare + upstreamShare)),
		maxUpstreamConns: free * upstreamShare / (clientShare + upstreamShare),
	}
}

// acquireClient takes a descriptor for a client's connection, if one is left.
func (b *descriptorBudget) acquireClient() bool {
	return tryAdd(&b.clientConns, 1, b.maxClientConns)
}

// releaseClient returns a client's descriptor and wakes the accept loop if it waits for one.
func (b *descriptorBudget) releaseClient() {
	b.clientConns.Add(-1)
	select {
	case b.freed <- struct{}{}:
	default:
	}
}

// memoryBudget counts the bytes of requests in flight and of replies that are not written.
type memoryBudget struct {
	inUse atomic.Int64
	limit int64
}

// newMemoryBudget makes a budget for a process with the given memory limit in MiB.
func newMemoryBudget(limitMB int64) *memoryBudget {
	return &memoryBudget{limit: limitMB << 20 / requestMemoryDivisor}
}

// tryAcquire counts n bytes if they are within the limit.
func (b *memoryBudget) tryAcquire(n int64) bool { return tryAdd(&b.inUse, n, b.limit) }

// acquire counts n bytes, also beyond the limit.
func (b *memoryBudget) acquire(n int64) { b.inUse.Add(n) }

// release returns n bytes.
func (b *memoryBudget) release(n int64) { b.inUse.Add(-n) }

// tryAdd adds delta to the counter unless that exceeds the limit.
func tryAdd(counter *atomic.Int64, delta, limit int64) bool {
	if counter.Add(delta) > limit {
		counter.Add(-delta)
		return false
	}
	return true
}
