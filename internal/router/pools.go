package router

const (
	minSweepInterval   = 1_000     // minimum time in microseconds between sweeps of idle upstream connections
	sweepInterval      = 1_000_000 // maximum time in microseconds between these sweeps
	sweepsPerKeepalive = 8         // minimum number of sweeps within a cache's keepalive time
)

// acquireDescriptor reserves a descriptor for an upstream connection. If none is left, it closes the connection
// that has been idle for longest in any pool. It returns false if no connection is idle either.
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

// longestIdlePool returns the pool whose first idle connection has been idle for longest, or nil if no
// connection is idle.
func (l *eventLoop) longestIdlePool() *pool {
	var longest *pool
	for p := range l.idlePools {
		if longest == nil || p.idle[0].idleSince < longest.idle[0].idleSince {
			longest = p
		}
	}
	return longest
}

// releaseDescriptor releases the descriptor of an upstream connection and schedules a dispatch for the pools
// that wait for one.
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

// sweepIdle periodically closes idle connections before the caches do, and removes the pools of caches that
// are out of service and have no connections, so that memory does not grow with each cache that has ever been
// listed. The engine has been notified of the change by then.
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
