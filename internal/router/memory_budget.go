package router

import (
	"log/slog"
	"sync/atomic"

	"marlstage/internal/config"
)

const mebibyte = 1 << 20

// Memory in bytes that the process needs besides what the memory budget counts. docs/CAPACITY.md has the table.
const (
	// engineMemory is for the engine without the keys that it tracks, the runtime's own structures and brief uses.
	engineMemory = 2 * mebibyte
	// cacheMemory is for what the loop and the engine keep for each cache, without connections.
	cacheMemory = 4 << 10
	// clientConnMemory is for a client connection: two stacks, its objects, and the parts of its read buffer and its
	// reply queue that the budget does not count.
	clientConnMemory = 14 << 10
	// upstreamConnMemory is for a connection to a cache: a stack, its objects and the initial read buffer.
	upstreamConnMemory = 8 << 10
)

const (
	// maxBudgetDivisor and minBudgetDivisor are the ratios of the memory limit to the largest and the smallest budget.
	maxBudgetDivisor = 4
	minBudgetDivisor = 8
	// The budget is this share of the memory that is left; the rest is garbage that has not been collected.
	budgetNumerator   = 5
	budgetDenominator = 8
	// groupDivisor is the ratio of the budget to what each group of uses may have of it.
	groupDivisor = 4
)

// memoryUse is a purpose for which memory is held on behalf of peers.
type memoryUse uint8

const (
	memoryPartialCommands memoryUse = iota // read buffers of clients
	memoryWholeCommands                    // read buffers for commands that the system has received completely
	memoryReadAhead                        // commands that were read before they could be handled
	memoryRequests                         // commands of requests, with the state of the requests
	memoryQueuedReplies                    // reply slots and replies that have not been written
	memoryUpstreamReplies                  // read buffers of caches, and replies that the event loop has not handled
	memoryUpstreamWrites                   // commands that are partly written to caches
	memoryUseCount                         // number of purposes
)

func (u memoryUse) String() string {
	return [memoryUseCount]string{
		"partial_commands", "whole_commands", "read_ahead", "requests", "queued_replies", "upstream_replies", "upstream_writes",
	}[u]
}

// memoryGroup is a set of purposes with a common limit. What is held for purposes without one may use up all of the
// budget, but no other purpose can use up all of it.
type memoryGroup uint8

const (
	groupReceiving memoryGroup = iota // what clients send and is no complete command yet
	groupReceived                     // complete commands that are being read
	groupReplying                     // what caches send, and what clients do not read
	groupOther                        // without a limit of its own
	groupCount                        // number of groups
)

func (u memoryUse) group() memoryGroup {
	switch u {
	case memoryPartialCommands, memoryReadAhead:
		return groupReceiving
	case memoryWholeCommands:
		return groupReceived
	case memoryQueuedReplies, memoryUpstreamReplies:
		return groupReplying
	default:
		return groupOther
	}
}

// memoryBudget counts all memory that peers can make the process hold, in capacity, beyond a fixed amount for each
// connection. Any goroutine may use it.
type memoryBudget struct {
	inUse   atomic.Int64
	total   int64        // the limit without caches
	limit   atomic.Int64 // less the memory of known caches
	groups  [groupCount]atomic.Int64
	uses    [memoryUseCount]atomic.Int64
	peak    atomic.Int64 // largest inUse so far
	refused atomic.Int64 // number of failed calls of tryAcquire
}

// newMemoryBudget returns the budget of a process with the given limits.
func newMemoryBudget(limits config.Limits) *memoryBudget {
	descriptors := newDescriptorBudget(limits.Sockets)
	needed := engineMemory + int64(limits.MaxTrackedKeys())*config.TrackedKeyBytes + descriptors.maxClientConns*clientConnMemory + int64(descriptors.maxUpstreamConns)*upstreamConnMemory
	total := limits.MemoryMB * mebibyte
	budget := (limits.HeapLimit() - needed) * budgetNumerator / budgetDenominator
	b := &memoryBudget{total: min(max(budget, total/minBudgetDivisor), total/maxBudgetDivisor)}
	b.limit.Store(b.total)
	return b
}

// reserve leaves a number of bytes of the budget to the state of the caches in the endpoint list, but half of the budget
// at the most: a list has to be taken in, whatever clients send.
func (b *memoryBudget) reserve(bytes int64) { b.limit.Store(b.total - min(bytes, b.total/2)) }

// tryAcquire acquires n bytes, and returns false if that would exceed the limit of the budget or of the group.
func (b *memoryBudget) tryAcquire(use memoryUse, n int64) bool {
	group := use.group()
	if group != groupOther && !tryAdd(&b.groups[group], n, b.limit.Load()/groupDivisor) {
		b.refused.Add(1)
		return false
	}
	if !tryAdd(&b.inUse, n, b.limit.Load()) {
		if group != groupOther {
			b.groups[group].Add(-n)
		}
		b.refused.Add(1)
		return false
	}
	if group == groupOther {
		b.groups[group].Add(n)
	}
	b.uses[use].Add(n)
	storeMax(&b.peak, b.inUse.Load())
	return true
}

// acquire acquires n bytes even if that exceeds a limit. A negative n releases bytes.
func (b *memoryBudget) acquire(use memoryUse, n int64) {
	b.groups[use.group()].Add(n)
	b.uses[use].Add(n)
	storeMax(&b.peak, b.inUse.Add(n))
}

// release releases n bytes.
func (b *memoryBudget) release(use memoryUse, n int64) { b.acquire(use, -n) }

// isScarce reports whether more than half of the budget is in use.
func (b *memoryBudget) isScarce() bool { return b.inUse.Load() > b.limit.Load()/2 }

// LogValue implements slog.LogValuer.
func (b *memoryBudget) LogValue() slog.Value {
	uses := []slog.Attr{
		slog.Int64("in_use", b.inUse.Load()),
		slog.Int64("limit", b.limit.Load()),
		slog.Int64("peak", b.peak.Load()),
		slog.Int64("refused", b.refused.Load()),
	}
	for use := range memoryUseCount {
		if n := b.uses[use].Load(); n != 0 {
			uses = append(uses, slog.Int64(use.String(), n))
		}
	}
	return slog.GroupValue(uses...)
}

// memoryHold is the memory that is held for one purpose by one owner. Any goroutine may use it.
type memoryHold struct {
	budget *memoryBudget
	use    memoryUse
	bytes  atomic.Int64
}

// tryGrow acquires n more bytes, and returns false if the budget does not have them.
func (h *memoryHold) tryGrow(n int64) bool {
	if !h.budget.tryAcquire(h.use, n) {
		return false
	}
	h.bytes.Add(n)
	return true
}

// grow acquires n more bytes even if that exceeds a limit.
func (h *memoryHold) grow(n int64) {
	h.budget.acquire(h.use, n)
	h.bytes.Add(n)
}

// shrink releases n bytes.
func (h *memoryHold) shrink(n int64) { h.grow(-n) }

// release releases all bytes that are held. Only the first call after an acquisition has an effect.
func (h *memoryHold) release() {
	if n := h.bytes.Swap(0); n != 0 {
		h.budget.release(h.use, n)
	}
}

// split moves n bytes to a new hold for the same purpose.
func (h *memoryHold) split(n int64) *memoryHold {
	other := &memoryHold{budget: h.budget, use: h.use}
	h.bytes.Add(-n)
	other.bytes.Add(n)
	return other
}

// moveTo moves all bytes to another hold of the same budget.
func (h *memoryHold) moveTo(other *memoryHold) {
	if n := h.bytes.Swap(0); n != 0 {
		other.grow(n)
		h.budget.release(h.use, n)
	}
}
