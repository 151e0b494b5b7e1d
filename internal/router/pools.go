package router

const (
	minSweepInterval   = 1_000     // microseconds between sweeps of idle upstream connections, at least
	sweepInterval      = 1_000_000 // microseconds between these sweeps, at most
	sweepsPerKeepalive = 8         // sweeps within the keepalive time of a cache, at least
)

// acquireDescriptor reserves a descriptor for a connection to a cache server. If none is left, the
// connection that has been idle for longest, to whichever server, is closed for it.
func (l *eventLoop) acquireDescriptor() bool {
	if l.upstreamConns >= l.descriptors.maxUpstreamConns {
		p := l.longestIdlePool()
		if p == nil {
			return false
		}
		p.closeConn(p.idle[0])
	}
	l.upstreamConns++
	return true
}

// longestIdlePool returns the pool of the connection that has been idle for longest, which is the
// first one in its pool; nil if no connection is idle.
func (l *eventLoop) longestIdlePool() *pool {
	var longest *pool
	for p := range l.idlePools {
		if longest == nil || p.idle[0].idleSince < longest.idle[0].idleSince {
			longest = p
		}
	}
	return longest
}

// releaseDescriptor gives a connection's descriptor back and has queued attempts dispatched that may
// be waiting for it.
func (l *eventLoop) releaseDescriptor() {
	l.upstreamConns--
	if len(l.starvedPools) == 0 {
		return
	}
	starved := l.starvedPools
	l.starvedPools = map[*pool]struct{}{}
	l.schedule(l.now, func() {
		for p := range starved {
			p.dispatch()
		}
	})
}

// sweepIdle closes idle connections before the cache servers do and drops the pools of servers that
// are gone, so that memory doesn't grow with every server there ever was. The policy has been
// notified by then.
func (l *eventLoop) sweepIdle() {
	for name, p := range l.pools {
		p.closeIdle(p.idleCutoff())
		if !p.inService && len(p.conns) == 0 {
			delete(l.pools, name)
		}
	}
	interval := min(sweepInterval, l.cfg.Transport.Keepalive/sweepsPerKeepalive)
	l.scheduleAfter(max(minSweepInterval, interval), l.sweepIdle)
}
