package scaletest

// This file defines the groups of routers whose traffic is counted apart.

// routerGroup says which routers use a port of a stand-in. Every stand-in has a port for each
// group, so that what the groups cost is counted apart.
type routerGroup int

const (
	groupHollow         routerGroup = iota
	groupLoaded                     // a real router with clients
	groupNoHealthChecks             // a real router with clients that may not check health
	groupIdle                       // a real router without clients
	groupCount
)

// firstRealGroup is the first of the groups that consist of one real router each.
const firstRealGroup = groupLoaded

var groupNames = [groupCount]string{"hollow", "loaded", "noprobe", "idle"}

// String is the name of the group in the results.
func (g routerGroup) String() string { return groupNames[g] }
