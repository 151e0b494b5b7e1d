// Package scaletest runs a fleet of routers and a fleet of cache servers on loopback, in real time, and
// measures the cost of the control traffic to each of them: the endpoint list, health checks, timers
// and connections. A few routers are real processes; hollow routers, which run the policy engine with
// simulated connections, represent the rest.
//
// The simulated cache servers, the discovery agent and the hollow routers are the stand-ins of a run.
// They run in worker processes of the same program, which are controlled by JSON messages over
// standard input and output.
package scaletest
