package scaletest

// This file computes the figures of a point from two samples.

import "fmt"

// reporter computes the figures of the interval between two samples.
type reporter struct {
	*Result
	point         *Point
	before, after *sample
	seconds       float64 // seconds
}

// newResult computes the result of a point from the samples at the start and the end of the window.
func newResult(p *Point, before, after *sample) *Result {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	result := &Result{
		CacheServers:  p.CacheServers,
		Routers:       p.Routers,
		RequestRate:   p.RequestRate * float64(p.Routers),
		WindowSeconds: seconds,
	}
	r := &reporter{Result: result, point: p, before: before, after: after, seconds: seconds}
	for group := firstRealGroup; group < groupCount; group++ {
		r.addRealRouter(group)
	}
	r.addControlTraffic()
	r.addHollowRouters()
	r.addConnectedServers()
	r.addDiscovery()
	r.addStandIns()
	r.addNotMeasuredNotes()
	return result
}

// rate returns the number of events per second and member, where members is the number of routers or cache
// servers that the events are divided by.
func (r *reporter) rate(events int64, members float64) float64 {
	return float64(events) / members / r.seconds
}

func (r *reporter) kilobyteRate(bytes int64, members float64) float64 {
	return r.rate(bytes, members) / bytesPerKilobyte
}

func (r *reporter) cpuPercent(after, before usage) float64 {
	return 100 * (after.cpu - before.cpu) / r.seconds
}

func percent(part, whole int64) float64 { return 100 * float64(part) / float64(whole) }

// addCacheStats adds the figures of a cache server's traffic per member (see rate).
func (r *reporter) addCacheStats(role string, c CacheStats, members float64, basis string) {
	r.add(role, figureHealthChecks, unitPerSecond, r.rate(c.HealthChecks, members), basis)
	r.add(role, figureHealthCheckBytes, unitKilobytesPerSecond, r.kilobyteRate(c.HealthCheckBytes, members), basis)
	r.add(role, figureAttempts, unitPerSecond, r.rate(c.Attempts, members), basis)
	r.add(role, figureAttemptBytes, unitKilobytesPerSecond, r.kilobyteRate(c.AttemptBytes, members), basis)
	r.add(role, figureHandshakes, unitPerSecond, r.rate(c.Handshakes, members), basis)
	r.add(role, figureConnections, unitNone, float64(c.OpenConns)/members, basis)
	r.add(role, figureRejectedConns, unitPerSecond, r.rate(c.RejectedConns, members), basis)
}

// addDiscoveryStats adds the figures of the discovery traffic of a group of routers per member (see rate).
func (r *reporter) addDiscoveryStats(role string, group routerGroup, members float64, basis string) {
	after, before := r.after.discovery[group], r.before.discovery[group]
	bytes := after.BytesIn - before.BytesIn + after.BytesOut - before.BytesOut
	r.add(role, figureWatchCalls, unitPerSecond, r.rate(after.Calls-before.Calls, members), basis)
	r.add(role, figureListLines, unitPerSecond, r.rate(after.Endpoints-before.Endpoints, members), basis)
	r.add(role, figureListBytes, unitKilobytesPerSecond, r.kilobyteRate(bytes, members), basis)
}

func (r *reporter) addRealRouter(group routerGroup) {
	role := "router " + group.String()
	after, before := r.after.routers[group], r.before.routers[group]
	r.add(role, figureProcessorTime, unitPercentOfCore, r.cpuPercent(after, before), basisMeasured)
	r.add(role, figureMemory, unitMegabytes, after.memory/bytesPerMegabyte, basisMeasured)
	r.add(role, figureMaxMemory, unitMegabytes, after.maxMemory/bytesPerMegabyte, basisMeasured)
	r.addDiscoveryStats(role, group, 1, basisMeasured)
	var total CacheStats
	for position := range r.after.cacheServers {
		total.add(r.cacheStats(position, group))
	}
	r.addCacheStats(role, total, 1, basisMeasured)
	r.addClientStats(role, r.after.clients[group])
}

// cacheStats returns the traffic of one cache server with a group of routers between the samples.
func (r *reporter) cacheStats(position int, group routerGroup) CacheStats {
	return r.after.cacheServers[position][group].since(r.before.cacheServers[position][group])
}

func (r *reporter) addClientStats(role string, c ClientStats) {
	if c.Latency == nil {
		return
	}
	r.add(role, "requests due", unitPerSecond, r.rate(c.Due, 1), basisMeasured)
	r.add(role, figureServed, unitPercentOfDue, percent(c.Served, c.Due), basisMeasured)
	r.add(role, "refused", unitPercentOfDue, percent(c.Rejected, c.Due), basisMeasured)
	r.add(role, "failed", unitPercentOfDue, percent(c.Failed, c.Due), basisMeasured)
	median := toMilliseconds(c.Latency.ValueAtQuantile(medianQuantile))
	p99 := toMilliseconds(c.Latency.ValueAtQuantile(p99Quantile))
	r.add(role, "latency, median", unitMilliseconds, median, basisMeasured)
	r.add(role, "latency, 99th percentile", unitMilliseconds, p99, basisMeasured)
}

func toMilliseconds(microseconds int64) float64 {
	return float64(microseconds) / microsecondsPerMillisecond
}

// addControlTraffic derives the cost of the control traffic to one router. The cost of its health checks is
// the processor time that the loaded router uses beyond one that makes none.
func (r *reporter) addControlTraffic() {
	checking := r.Value(roleLoaded, figureProcessorTime) - r.Value(roleNoHealthChecks, figureProcessorTime)
	total := r.Value(roleIdle, figureProcessorTime) + max(0, checking)
	bytes := r.Value(roleLoaded, figureListBytes) + r.Value(roleLoaded, figureHealthCheckBytes)
	r.add(roleControl, "processor time, loaded less noprobe", unitPercentOfCore, checking, basisDerived)
	r.add(roleControl, figureProcessorTime, unitPercentOfCore, total, basisDerived+": idle, and that where it is above 0")
	r.add(roleControl, figureMemory, unitMegabytes, r.Value(roleIdle, figureMaxMemory), basisMeasured+" without clients")
	r.add(roleControl, figureControlBytes, unitKilobytesPerSecond, bytes, basisMeasured)
}

// addHollowRouters adds the figures of the active hollow routers, and the load on a cache server that
// results when they are scaled to the whole fleet.
func (r *reporter) addHollowRouters() {
	active, fleet := r.point.activeRouters(), float64(r.point.Routers)
	basis := countedOn(active, r.point.Routers)
	derivedBasis := basisDerived + ", " + basis
	after, before := r.after.fleet, r.before.fleet
	requests := after.Requests - before.Requests
	total, busiest := r.simulatedStats()

	r.add(roleHollow, "requests", unitPerSecond, r.rate(requests, float64(active)), basis)
	r.add(roleHollow, figureServed, unitPercentOfRequests, percent(after.Served-before.Served, requests), basis)
	r.add(roleHollow, figureTimers, unitPerSecond, r.rate(after.Timers-before.Timers, float64(active)), basis)
	r.addSimulatedStats(roleHollow, total, float64(active), basis)
	r.addSimulatedStats(roleAllServers, total, float64(active)/fleet*float64(r.point.CacheServers), derivedBasis)

	scale := fleet / float64(active)
	r.add(roleBusiestServer, figureHealthChecks, unitPerSecond, float64(busiest.HealthChecks)*scale/r.seconds, derivedBasis)
	r.add(roleBusiestServer, figureHandshakes, unitPerSecond, float64(busiest.Handshakes)*scale/r.seconds, derivedBasis)
	r.add(roleBusiestServer, figureConnections, unitNone, float64(busiest.OpenConns)*scale, derivedBasis)
}

// simulatedStats returns the traffic of the active hollow routers with all cache servers, and the
// maximum of each counter over the cache servers.
func (r *reporter) simulatedStats() (total, busiest CacheStats) {
	for i := range r.after.fleet.CacheServers {
		c := r.after.fleet.CacheServers[i].since(r.before.fleet.CacheServers[i])
		total.add(c)
		busiest.HealthChecks = max(busiest.HealthChecks, c.HealthChecks)
		busiest.Handshakes = max(busiest.Handshakes, c.Handshakes)
		busiest.OpenConns = max(busiest.OpenConns, c.OpenConns)
	}
	return total, busiest
}

// addSimulatedStats adds the figures of simulated traffic, which has no bytes, per member (see rate).
func (r *reporter) addSimulatedStats(role string, c CacheStats, members float64, basis string) {
	r.add(role, figureHealthChecks, unitPerSecond, r.rate(c.HealthChecks, members), basis)
	r.add(role, figureAttempts, unitPerSecond, r.rate(c.Attempts, members), basis)
	r.add(role, figureHandshakes, unitPerSecond, r.rate(c.Handshakes, members), basis)
	r.add(role, figureConnections, unitNone, float64(c.OpenConns)/members, basis)
}

// addConnectedServers adds the figures of the traffic on the sockets of the hollow routers.
func (r *reporter) addConnectedServers() {
	connected := r.point.connectedServers()
	var total CacheStats
	for k := range connected {
		total.add(r.cacheStats(r.point.connectedPosition(k), groupHollow))
	}
	basis := fmt.Sprintf("%s at %d of %d", basisMeasured, connected, r.point.CacheServers)
	r.addCacheStats(roleConnectedServers, total, float64(connected), basis)
}

func (r *reporter) addDiscovery() {
	hollow, routers := r.point.hollowRouters(), r.point.Routers
	basis := fmt.Sprintf("%s for %d of %d", basisMeasured, hollow, routers)
	cpu := r.cpuPercent(r.after.standIns.discovery, r.before.standIns.discovery)
	r.addDiscoveryStats(roleDiscovery, groupHollow, 1, basis)
	r.add(roleDiscovery, figureProcessorTime, unitPercentOfCore, cpu, basisMeasured+" for the same and the real routers")
	r.addDiscoveryStats(roleDiscoveryOfFleet, groupHollow, float64(hollow)/float64(routers), basisDerived)
}

// addStandIns adds the resource use and the errors of the stand-ins, which are the processes that simulate
// the hollow routers, the cache servers and discovery.
func (r *reporter) addStandIns() {
	after, before := &r.after.standIns, &r.before.standIns
	fleetCPU := r.cpuPercent(after.fleet, before.fleet)
	cacheServerCPU := r.cpuPercent(after.cacheServers, before.cacheServers)
	totalMemory := after.fleet.memory + after.cacheServers.memory + after.discovery.memory
	failures := r.after.fleet.MirrorFailures - r.before.fleet.MirrorFailures
	r.add(roleStandIns, "processor time, hollow routers", unitPercentOfCore, fleetCPU, basisMeasured)
	r.add(roleStandIns, "processor time, cache servers", unitPercentOfCore, cacheServerCPU, basisMeasured)
	r.add(roleStandIns, figureMemory, unitMegabytes, totalMemory/bytesPerMegabyte, basisMeasured)
	lateness := toMilliseconds(r.after.fleet.LatenessP99)
	r.add(roleStandIns, "requests late, 99th percentile", unitMilliseconds, lateness, basisMeasured)
	r.add(roleStandIns, "messages to opened caches that went wrong", unitPerSecond, r.rate(failures, 1), basisMeasured)
}

// addNotMeasuredNotes adds notes on what the figures do not cover.
func (r *reporter) addNotMeasuredNotes() {
	p := r.point
	r.NotMeasured = []string{
		"bytes of TCP and IP, and of handshakes: bytes are what the sockets carried",
		"processor time and memory of a cache server for control: many stand-ins share a process and do no work",
		"processor time of a real router's probes apart: the two that are compared have clients of their own, and handshakes of noprobe count as data",
		"a real router's timers, which are counted at hollow ones; the network; discovery behind its agents",
	}
	if left := p.Routers - p.activeRouters(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("requests of %d routers of %d: "+
			"at opened caches the sockets of the others repeat what theirs do, up to a round of probes later", left, p.Routers))
	}
	if left := p.Routers - p.hollowRouters(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("watches of %d routers of %d", left, p.Routers))
	}
	if left := p.CacheServers - p.connectedServers(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("connections of hollow routers to %d caches of %d: "+
			"counted, not opened", left, p.CacheServers))
	}
}
