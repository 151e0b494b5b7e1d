package router

// acquireDescriptor takes one for a connection to a cache. Where none is left, the connection that has
// been idle for longest, at whichever cache, makes room.
func (l *eventLoop) acquireDescriptor() bool {
	if l.upstreamConns >= l.descriptors.maxUpstreamConns {
		var oldest *pool // the one used first stands first
		for _, u := range l.pools {
			if len(u.idle) > 0 && (oldest == nil || u.idle[0].idleSince < oldest.idle[0].idleSince) {
				oldest = u
			}
		}
		if oldest == nil {
			l.descriptorStarved = true
			return false
		}
		c := oldest.idle[0]
		oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
		c.close()
	}
	l.upstreamConns++
	return true
}

// releaseDescriptor takes a connection's descriptor back.
func (l *eventLoop) releaseDescriptor() {
	l.upstreamConns--
	if l.descriptorStarved {
		l.descriptorStarved = false
		l.schedule(l.now, func() {
			for _, u := range l.pools {
				u.dispatch()
			}
		})
	}
}

// sweepIdle closes upstream connections before their caches do, and forgets the caches that are gone; the module
// has been told of that by now. The danger: machines come and go, and memory grows with their names.
func (l *eventLoop) sweepIdle() {
	for name, u := range l.pools {
		u.closeIdle(u.idleCutoff())
		if !u.inService && len(u.conns) == 0 {
			delete(l.pools, name)
		}
	}
	l.scheduleAfter(max(1000, min(sweepInterval, l.cfg.Transport.Keepalive/sweepsPerKeepalive)), l.sweepIdle)
}
