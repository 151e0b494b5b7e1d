// Package scaletest runs a fleet of routers and a fleet of cache servers on loopback, in real time, and
// measures what the control traffic costs each of them: the endpoint list, health checks, timers
// and connections. A few routers are real; hollow ones represent the rest.
//
// The stand-ins for cache servers, the discovery agent and the hollow routers run in worker
// processes of the same program, which are controlled by JSON messages over their standard input
// and output.
package scaletest
