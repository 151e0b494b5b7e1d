package scaletest

// This file names the roles, figures and units of the results.

import "fmt"

// The roles whose figures are reported. They stand in recorded results, which must stay comparable.
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

// The names of figures that several roles have, or that others are derived from.
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
	unitNone               = "" // a number of things
	unitPerSecond          = "1/s"
	unitKilobytesPerSecond = "KB/s"
	unitMegabytes          = "MB"
	unitMilliseconds       = "ms"
	unitPercentOfCore      = "% of a core"
	unitPercentOfDue       = "% of due"
	unitPercentOfRequests  = "% of requests"
)

// By what bytes are divided for a unit.
const (
	bytesPerKilobyte = 1e3
	bytesPerMegabyte = 1e6
)

// What a figure rests on, where it is not the sample that it was counted on.
const (
	basisMeasured = "measured"
	basisDerived  = "worked out"
)

func countedOn(n, of int) string { return fmt.Sprintf("counted on %d of %d", n, of) }
