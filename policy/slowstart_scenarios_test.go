package policy

// faultScenario describes a simulation in which caches start while other faults or changes occur. If a
// field is zero, its fault does not occur, unless a default is stated. Caches, clients and discovery are as
// simple as possible.
type faultScenario struct {
	name                       string
	routers, caches            int
	load                       float64 // request rate as a share of the capacity of all caches when warm
	startingShare              float64 // share of the caches that start, all at the same time
	overloadMultiple           float64 // multiple of its capacity at which a cache collapses; default 3
	newlyListed                bool    // the starting caches were not listed before their start
	notifyWithin               Time    // time within which all routers are notified of the starts
	restartedRouters           float64 // share of the routers that restart too, with the endpoints from before
	restartInterval            Time    // time between restarts of each router, with the current endpoints
	startShare                 float64 // WarmupStartShare; default as in slowStartSettings
	listedStartError           Time    // how much too early starts are listed; internal/router tolerates 500 ms
	hotShare                   float64 // share of all requests for one key, whose primary is a starting cache
	hotAfter                   Time    // time after the starts when requests for that key begin; 0: always
	hangingShare, failingShare float64 // shares of the caches, all of them warm, that hang or fail from then on
	burstFactor                float64 // factor of the request rate from 1 s after the starts on; default 1
	duration                   Time    // simulated time after the starts
	seed                       int64
	largeCaches                int // caches in the largest fleet; 0 leaves the scenario out there
}

// faultScenarios are the scenarios that fleets of all sizes are tested with, unless largeCaches leaves one out.
var faultScenarios = []faultScenario{
	{name: "a tenth starts", load: .8, startingShare: .1},
	{name: "half start", load: .5, startingShare: .5, largeCaches: 200},
	{name: "half start, burst", load: .6, startingShare: .5, burstFactor: 1.5, overloadMultiple: 2},
	{name: "multiple 1.5", load: .7, startingShare: .3, overloadMultiple: 1.5},
	{name: "hot 1%", load: .6, startingShare: .2, hotShare: .01},
	{name: "hot 3%", load: .6, startingShare: .2, hotShare: .03},
	{name: "hot 8%", load: .6, startingShare: .2, hotShare: .08, largeCaches: 200},
	{name: "hot 3%, multiple 1.5", load: .6, startingShare: .2, hotShare: .03, overloadMultiple: 1.5},
	{name: "hot 1% after 500 ms", load: .6, startingShare: .2, hotShare: .01, hotAfter: 500 * ms},
	{name: "hang", load: .6, startingShare: .2, hangingShare: .3},
	{name: "hang, multiple 1.5", load: .6, startingShare: .2, hangingShare: .3, overloadMultiple: 1.5},
	{name: "fail", load: .6, startingShare: .2, failingShare: .3},
	{name: "burst", load: .8, startingShare: .3, burstFactor: 1.5, overloadMultiple: 2, largeCaches: 120},
	{name: "burst, hot 3%", load: .8, startingShare: .3, burstFactor: 1.5, hotShare: .03, newlyListed: true},
	{name: "overload", load: 1.3, startingShare: .2, newlyListed: true, notifyWithin: 200 * ms, largeCaches: 120},
	{name: "overload, seed 1", load: 1.3, startingShare: .2, newlyListed: true, notifyWithin: 200 * ms, seed: 1},
	{name: "overload, seed 7", load: 1.3, startingShare: .2, newlyListed: true, notifyWithin: 200 * ms, seed: 7},
	{name: "overload, multiple 2", load: 1.3, startingShare: .2, newlyListed: true, notifyWithin: 200 * ms, overloadMultiple: 2},
	{name: "overload, multiple 2, seed 2", load: 1.3, startingShare: .2, newlyListed: true, notifyWithin: 200 * ms,
		overloadMultiple: 2, seed: 2},
	{name: "restart", load: .6, startingShare: .5, restartedRouters: .3, notifyWithin: 2000 * ms},
	{name: "routers restart", load: .8, startingShare: .3, restartInterval: 1000 * ms, overloadMultiple: 2},
	{name: "routers restart, hot 3%", load: .6, startingShare: .2, restartInterval: 1000 * ms, hotShare: .03},
	{name: "low start share", load: .6, startingShare: .3, startShare: .05},
	{name: "low start share, multiple 1.5", load: .6, startingShare: .3, startShare: .05, overloadMultiple: 1.5},
	{name: "low start share, burst", load: .8, startingShare: .3, startShare: .08, burstFactor: 1.5, overloadMultiple: 2},
	{name: "low start share, routers restart", load: .6, startingShare: .3, startShare: .05, restartInterval: 2000 * ms},
	{name: "routers restart, stale list", load: .6, startingShare: .5, restartedRouters: 1, notifyWithin: 1000 * ms,
		startShare: .1, overloadMultiple: 2, seed: 1005},
	{name: "listed start too early", load: .8, startingShare: .3, listedStartError: 500 * ms, largeCaches: 120},
	{name: "listed start too early, burst", load: .8, startingShare: .3, listedStartError: 500 * ms, burstFactor: 1.5, overloadMultiple: 2},
	{name: "all faults", load: .6, startingShare: .5, restartedRouters: .3, notifyWithin: 500 * ms, hangingShare: .2, burstFactor: 1.5,
		hotShare: .02, overloadMultiple: 2, largeCaches: 200},
}

// settings returns the settings of the scenario's routers.
func (f faultScenario) settings() Settings {
	s := slowStartSettings(f.routers)
	if f.overloadMultiple > 0 {
		s.OverloadMultiple = f.overloadMultiple
	}
	if f.startShare > 0 {
		s.WarmupStartShare = f.startShare
	}
	s.Classes = []Class{
		{Name: "read", Effect: Idempotent, LatencyObjective: 600 * ms, Timeout: 2000 * ms, PriorityWeight: 5},
	}
	return s
}
