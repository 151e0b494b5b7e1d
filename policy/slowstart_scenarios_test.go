package policy

// faultScenario is a stretch of service in which caches start while something else goes wrong. Caches, clients and
// discovery are as simple as possible.
type faultScenario struct {
	name             string
	routers, caches  int
	load             float64 // of what all caches can do when warm
	starting         float64 // share of the caches that start at once
	overloadMultiple float64 // of its present capacity that tips a cache over while it warms up; 3 where 0
	joining          bool    // the starting caches were not listed before
	notifyWithin     Time    // the routers learn of the starts one after the other
	restartedRouters float64 // share of the routers that restart with them, with the endpoints from before
	restartInterval  Time    // at which each router restarts from then on, with the endpoints as they are; 0 for never
	startShare       float64 // of the capacity of a warm cache that one has at its start; as in slowStartSettings where 0
	listedEarlier    Time    // by how much the list dates the starts too early; internal/router allows for 500 ms
	hotShare         float64 // share of all requests that are for one key, whose primary is starting
	hotAfter         Time    // after the starts, before which nothing asks for that key
	hanging, failing float64 // shares of the caches that are warm, and answer nothing or fail from then on
	burst            float64 // times the load, a second after the starts; 1 where 0
	span             Time    // that is looked at after the starts
	seed             int64
	largeCaches      int // caches in the scenario of the largest fleet; 0 where it is not played there
}

// faultScenarios are the scenarios that each fleet is tested with.
var faultScenarios = []faultScenario{
	{name: "one starts", load: .8, starting: .1},
	{name: "release", load: .5, starting: .5, largeCaches: 200},
	{name: "release, burst", load: .6, starting: .5, burst: 1.5, overloadMultiple: 2},
	{name: "narrow", load: .7, starting: .3, overloadMultiple: 1.5},
	{name: "hot 1%", load: .6, starting: .2, hotShare: .01},
	{name: "hot 3%", load: .6, starting: .2, hotShare: .03},
	{name: "hot 8%", load: .6, starting: .2, hotShare: .08, largeCaches: 200},
	{name: "hot 3%, narrow", load: .6, starting: .2, hotShare: .03, overloadMultiple: 1.5},
	{name: "soon hot 1%", load: .6, starting: .2, hotShare: .01, hotAfter: 500 * ms},
	{name: "hang", load: .6, starting: .2, hanging: .3},
	{name: "hang, narrow", load: .6, starting: .2, hanging: .3, overloadMultiple: 1.5},
	{name: "fail", load: .6, starting: .2, failing: .3},
	{name: "burst", load: .8, starting: .3, burst: 1.5, overloadMultiple: 2, largeCaches: 120},
	{name: "burst, hot 3%", load: .8, starting: .3, burst: 1.5, hotShare: .03, joining: true},
	{name: "overload", load: 1.3, starting: .2, joining: true, notifyWithin: 200 * ms, largeCaches: 120},
	{name: "overload, again", load: 1.3, starting: .2, joining: true, notifyWithin: 200 * ms, seed: 1},
	{name: "overload, a third time", load: 1.3, starting: .2, joining: true, notifyWithin: 200 * ms, seed: 7},
	{name: "overload, multiple 2", load: 1.3, starting: .2, joining: true, notifyWithin: 200 * ms, overloadMultiple: 2},
	{name: "overload, multiple 2, again", load: 1.3, starting: .2, joining: true, notifyWithin: 200 * ms,
		overloadMultiple: 2, seed: 2},
	{name: "restart", load: .6, starting: .5, restartedRouters: .3, notifyWithin: 2000 * ms},
	{name: "routers restart", load: .8, starting: .3, restartInterval: 1000 * ms, overloadMultiple: 2},
	{name: "routers restart, hot 3%", load: .6, starting: .2, restartInterval: 1000 * ms, hotShare: .03},
	{name: "cold", load: .6, starting: .3, startShare: .05},
	{name: "cold, narrow", load: .6, starting: .3, startShare: .05, overloadMultiple: 1.5},
	{name: "cold, burst", load: .8, starting: .3, startShare: .08, burst: 1.5, overloadMultiple: 2},
	{name: "cold, routers restart", load: .6, starting: .3, startShare: .05, restartInterval: 2000 * ms},
	{name: "routers restart, old list", load: .6, starting: .5, restartedRouters: 1, notifyWithin: 1000 * ms,
		startShare: .1, overloadMultiple: 2, seed: 1005},
	{name: "dated too early", load: .8, starting: .3, listedEarlier: 500 * ms, largeCaches: 120},
	{name: "dated too early, burst", load: .8, starting: .3, listedEarlier: 500 * ms, burst: 1.5, overloadMultiple: 2},
	{name: "all", load: .6, starting: .5, restartedRouters: .3, notifyWithin: 500 * ms, hanging: .2, burst: 1.5,
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
