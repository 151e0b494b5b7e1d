package scaletest

// This file defines the groups of routers whose traffic is counted separately.

// routerGroup identifies a group of routers. Every cache server and the discovery agent have a port for
// each group, so that the traffic of the groups is counted separately.
type routerGroup int

const (
	groupHollow         routerGroup = iota // the hollow routers
	groupLoaded                            // a real router with clients
	groupNoHealthChecks                    // a real router with clients whose settings disable health checks
	groupIdle                              // a real router without clients
	groupCount                             // the number of groups
)

// firstRealGroup is the first of the groups with a real router. Each of them has exactly one.
const firstRealGroup = groupLoaded

var groupNames = [groupCount]string{"hollow", "loaded", "noprobe", "idle"}

// String returns the name of the group in the results.
func (g routerGroup) String() string { return groupNames[g] }
