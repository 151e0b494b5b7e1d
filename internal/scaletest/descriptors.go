package scaletest

// This file limits the file descriptors of a hollow router.

import "slices"

// How a router divides its file descriptors: routerReservedDescriptors are kept for those that are not
// counted, and serverShareNumerator/serverShareDenominator of the rest may be connections to cache
// servers.
const (
	routerReservedDescriptors = 48
	serverShareNumerator      = 2
	serverShareDenominator    = 5
)

// acquireDescriptor reserves a descriptor for a connection and reports whether it succeeded. If none is
// left, it closes the connection that has been idle for longest; it fails if no connection is idle.
func (h *hollowRouter) acquireDescriptor() bool {
	if h.openConns >= h.maxConns && !h.closeLongestIdle() {
		h.descriptorShortage = true
		return false
	}
	h.openConns++
	return true
}

func (h *hollowRouter) closeLongestIdle() bool {
	var oldest *pool
	for _, p := range h.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	c := oldest.idle[0]
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	c.close()
	return true
}

// releaseDescriptor releases the descriptor of a closed connection. After a shortage, it schedules a
// dispatch of every pool.
func (h *hollowRouter) releaseDescriptor() {
	h.openConns--
	if !h.descriptorShortage {
		return
	}
	h.descriptorShortage = false
	h.scheduleAt(h.now, func() {
		for _, p := range h.pools {
			p.dispatch()
		}
	})
}
