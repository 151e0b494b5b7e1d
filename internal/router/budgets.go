// Package router is the router on real sockets: it carries events to the
// decision module and its actions out.
package router

import (
	"sync/atomic"

	"marlstage/internal/config"
)

const (
	minSockets          = config.MinSockets
	reservedDescriptors = 48 // descriptors for what is not counted: the log, the poller, discovery, a moment's overlap
)

// descriptorBudget shares the descriptors out, so that neither side can take those of the other. The
// loop counts the connections to caches itself.
type descriptorBudget struct {
	clientConns      atomic.Int64
	freed            chan struct{} // holds a token once a client has given its descriptor back
	maxClientConns   int64
	maxUpstreamConns int
}

func newDescriptorBudget(most int) *descriptorBudget {
	free := max(most, minSockets) - reservedDescriptors
	return &descriptorBudget{maxClientConns: int64(free * 3 / 5), maxUpstreamConns: free * 2 / 5, freed: make(chan struct{}, 1)}
}

func (s *descriptorBudget) acquireClient() bool { return take(&s.clientConns, 1, s.maxClientConns) }
func (s *descriptorBudget) releaseClient() {
	s.clientConns.Add(-1)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

func take(n *atomic.Int64, more, most int64) bool {
	if n.Add(more) > most {
		n.Add(-more)
		return false
	}
	return true
}

// memoryBudget counts the bytes of requests in hand and of answers that wait for their readers.
type memoryBudget struct {
	inUse atomic.Int64
	limit int64
}

func newMemoryBudget(mb int64) *memoryBudget { return &memoryBudget{limit: mb << 20 / 4} }

func (m *memoryBudget) tryAcquire(n int64) bool { return take(&m.inUse, n, m.limit) }
func (m *memoryBudget) acquire(n int64)         { m.inUse.Add(n) }
func (m *memoryBudget) release(n int64)         { m.inUse.Add(-n) }
