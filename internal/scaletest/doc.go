// Package scaletest plays a fleet of routers before a fleet of cache servers on loopback, in real
// time, and measures what the control traffic costs each of them: the endpoint list, health
// checks, timers and connections. A few routers are real; hollow ones stand in for the rest.
//
// Each part runs in a process of its own, started from this program and spoken to in JSON over its
// standard input and output: the cache servers, the discovery agent, and the hollow routers.
package scaletest
