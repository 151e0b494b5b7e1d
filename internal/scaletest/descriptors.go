package scaletest

// This file implements a hollow router's budget of file descriptors.

import "slices"

// How a router shares out its file descriptors: some are reserved for what is not counted, and of
// the rest this fraction may be connections to cache servers.
const (
	reservedDescriptors    = 48
	serverShareNumerator   = 2
	serverShareDenominator = 5
)

// takeDescriptor takes a descriptor for a connection. Where none is left, it closes the connection
// that has been idle for longest, and reports false if there is none.
func (h *hollowRouter) takeDescriptor() bool {
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

// returnDescriptor has the pools dispatch again if there was a shortage.
func (h *hollowRouter) returnDescriptor() {
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
