package scaletest

// This file names the roles, figures and units of the results.

import "fmt"

// The roles whose figures are reported. Recorded results contain these names, so they must not change.
const (
	roleLoaded           = "router loaded"
	roleNoHealthChecks   = "router noprobe"
	roleIdle             = "router idle"
	roleControl          = "router control"
	roleHollow           = "router hollow"
	roleAllServers       = "cache, all"
	roleBusiestServer    = "cache, most at one"
	roleConnectedServers = "cache, opened"
	roleDiscovery        = "discovery"
	roleDiscoveryOfFleet = "discovery, whole fleet"
	roleStandIns         = "stand-ins"
)

// The names of figures that several roles have or that other figures are derived from.
const (
	figureProcessorTime    = "processor time"
	figureMemory           = "memory"
	figureMaxMemory        = "memory at most"
	figureControlBytes     = "bytes"
	figureHealthChecks     = "probes"
	figureHealthCheckBytes = "probe bytes"
	figureAttempts         = "attempts"
	figureAttemptBytes     = "attempt bytes"
	figureHandshakes       = "handshakes"
	figureConnections      = "connections"
	figureRejectedConns    = "connections turned away"
	figureWatchCalls       = "watch calls"
	figureListLines        = "list lines"
	figureListBytes        = "list bytes"
	figureServed           = "served"
	figureTimers           = "timers"
)

// The units of figures.
const (
	unitNone               = "" // a plain number
	unitPerSecond          = "1/s"
	unitKilobytesPerSecond = "KB/s"
	unitMegabytes          = "MB"
	unitMilliseconds       = "ms"
	unitPercentOfCore      = "% of a core"
	unitPercentOfDue       = "% of due"
	unitPercentOfRequests  = "% of requests"
)

// The divisors that convert bytes to other units.
const (
	bytesPerKilobyte = 1e3
	bytesPerMegabyte = 1e6
)

// The basis of a figure, unless it was counted on a sample of the fleet (see countedOn).
const (
	basisMeasured = "measured"
	basisDerived  = "worked out"
)

func countedOn(n, of int) string { return fmt.Sprintf("counted on %d of %d", n, of) }
