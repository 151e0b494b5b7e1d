package policy

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

const (
	simulatedCores       = 2        // cores of each cache
	maxSimulatedQueue    = 8        // longest queue of a cache, in requests
	simulatedTries       = 4        // tries of a client for one request
	simulatedRetryDelay  = 100 * ms // time between two tries of a client
	simulatedRequestTime = 800 * ms // timeout of one try
)

// Each of many routers sends few requests to a cache that is warming up. The sum of them must not overload
// the cache, whatever other faults occur.
func TestFleetKeepsWarmingUpCachesWithinBudget(t *testing.T) {
	for _, fleet := range []struct {
		routers, caches int // 0 caches: largeCaches of the scenario
		duration        Time
	}{
		{1, 12, 5000 * ms}, {2, 12, 10500 * ms}, {3, 12, 5000 * ms}, {5, 12, 5000 * ms}, {8, 12, 10500 * ms}, {20, 14, 10500 * ms}, {30, 20, 10500 * ms}, {80, 54, 5000 * ms},
		{300, 0, 2500 * ms},
	} {
		for _, scenario := range faultScenarios {
			scenario.routers, scenario.caches, scenario.duration = fleet.routers, fleet.caches, fleet.duration
			if fleet.caches == 0 {
				scenario.caches = scenario.largeCaches
			}
			if scenario.caches == 0 {
				continue
			}
			t.Run(fmt.Sprintf("%d routers/%s", scenario.routers, scenario.name), func(t *testing.T) {
				t.Parallel()
				sim := newFaultSimulation(t, scenario)
				sim.run()
				checkStartedCaches(t, sim)
			})
		}
	}
}

// checkStartedCaches fails the test if a cache was overloaded while it was warming up.
func checkStartedCaches(t *testing.T, sim *faultSimulation) {
	t.Helper()
	received, fairShare, worst, worstBudget := 0., 0., 0., 0.
	for _, cache := range sim.started {
		received += float64(len(cache.arrivals))
		fairShare += cache.fairShare
		work, budget := cache.worstWindow(&sim.settings)
		if work > budget {
			t.Errorf("%s of weight %v got %.1f requests of mean work within %v us, more than %.1f",
				cache.ID, cache.Weight, work, sim.settings.OverloadTime, budget)
		}
		if budget > 0 && (worstBudget == 0 || work*worstBudget > worst*budget) {
			worst, worstBudget = work, budget
		}
	}
	t.Logf("%d, %s: worst window %.1f of a budget of %.1f (%.2f), starting caches got %.2f of their share, served %.2f of the requests",
		sim.scenario.routers, sim.scenario.name, worst, worstBudget, worst/worstBudget, received/fairShare,
		float64(sim.served)/float64(sim.requests))
}

// faultSimulation runs a faultScenario.
type faultSimulation struct {
	simulation
	scenario       faultScenario
	caches         []*multiCoreCache
	byID           map[string]*multiCoreCache
	keys           *rand.Zipf
	hotKey         uint64
	totalWeight    float64
	weightBefore   float64 // total weight of the caches listed before the starts
	tries          map[int64]clientTry
	lastRequestID  int64
	failedAttempts int

	started  []*multiCoreCache
	requests int // requests of clients since the starts, without retries
	served   int // requests served since the starts
}

// clientTry is one try of a client, which repeats it if the router rejects or fails it.
type clientTry struct {
	key    uint64
	number int // 0 for the first try
}

func newFaultSimulation(t *testing.T, scenario faultScenario) *faultSimulation {
	t.Helper()
	s := &faultSimulation{
		simulation: newSimulation(t, 1+scenario.seed, scenario.settings(), scenario.duration),
		scenario:   scenario,
		byID:       map[string]*multiCoreCache{},
		tries:      map[int64]clientTry{},
	}
	s.perform = s.performAction
	for i := range scenario.caches {
		s.addCache(i)
	}
	for router := range s.engines {
		s.startRouter(router, s.endpointsBeforeStart())
	}
	s.keys = rand.NewZipf(s.rng, 1.1, 2, 1<<20)
	if scenario.hotShare > 0 {
		s.hotKey = s.findHotKey()
	}
	s.after(0, s.sendRequest)
	s.at(s.restartAt, s.startCaches)
	return s
}

func (s *faultSimulation) addCache(index int) {
	weight := []float64{1, .5, 1.5}[index%3]
	cache := &multiCoreCache{Endpoint: Endpoint{ID: fmt.Sprintf("c%03d", index), Weight: weight}, index: index}
	s.caches = append(s.caches, cache)
	s.byID[cache.ID] = cache
	s.totalWeight += weight
	if !s.scenario.newlyListed || !s.isStarting(cache) {
		s.weightBefore += weight
	}
}

// isStarting reports whether a cache is one of those that start at restartAt.
func (s *faultSimulation) isStarting(cache *multiCoreCache) bool {
	return float64(cache.index%10) < 10*s.scenario.startingShare
}

// hasFault reports whether a fault that affects the given share of the caches has begun at this cache. Shares
// are counted backwards by the last digit of the index, beginning at from, as the caches with the highest
// digits stay warm.
func (s *faultSimulation) hasFault(cache *multiCoreCache, from, share float64) bool {
	position := (float64(9-cache.index%10) + .5) / 10
	return s.now >= s.restartAt && !s.isStarting(cache) && position >= from && position < from+share
}

// endpointsBeforeStart returns the endpoints as they were listed before the starts.
func (s *faultSimulation) endpointsBeforeStart() []Endpoint {
	var endpoints []Endpoint
	for _, cache := range s.caches {
		if s.scenario.newlyListed && s.isStarting(cache) {
			continue
		}
		endpoint := cache.Endpoint
		endpoint.StartedAt = 0
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// currentEndpoints returns the endpoints as they are listed now.
func (s *faultSimulation) currentEndpoints() []Endpoint {
	var endpoints []Endpoint
	for _, cache := range s.caches {
		endpoints = append(endpoints, s.listedEndpoint(cache))
	}
	return endpoints
}

// listedEndpoint returns the entry of a cache in the endpoint list.
func (s *faultSimulation) listedEndpoint(cache *multiCoreCache) Endpoint {
	endpoint := cache.Endpoint
	if endpoint.StartedAt > 0 {
		endpoint.StartedAt -= s.scenario.listedStartError
	}
	return endpoint
}

// findHotKey returns a key whose primary is the largest starting cache, and which slow start admits there
// from the start of the cache on.
func (s *faultSimulation) findHotKey() uint64 {
	var largest *multiCoreCache
	for _, cache := range s.caches {
		if s.isStarting(cache) && (largest == nil || cache.Weight > largest.Weight) {
			largest = cache
		}
	}
	key := uint64(1)
	for s.primaryOf(key) != largest || unitInterval(mix(mix(key)+1)) >= s.settings.WarmupStartShare {
		key++
	}
	return key
}

// primaryOf returns the primary cache of a key.
func (s *faultSimulation) primaryOf(key uint64) (primary *multiCoreCache) {
	best := math.Inf(1)
	for _, cache := range s.caches {
		score := -math.Log(unitInterval(mix(key^hash(cache.ID)))+1e-18) / cache.Weight
		if score < best {
			best, primary = score, cache
		}
	}
	return primary
}

// startCaches starts caches, restarts routers and schedules the notification of the routers.
func (s *faultSimulation) startCaches() {
	for _, cache := range s.caches {
		cache.arrivals = nil
		if s.isStarting(cache) {
			cache.StartedAt, cache.coreIdleAt = s.now, [simulatedCores]Time{}
			s.started = append(s.started, cache)
		}
	}
	for router := range s.engines {
		if float64(router%10) < 10*s.scenario.restartedRouters {
			s.startRouter(router, s.endpointsBeforeStart())
		}
		delay := Time(s.rng.Float64() * float64(s.scenario.notifyWithin))
		s.after(delay, func() { s.updateEndpoints(router, s.currentEndpoints()) })
		if s.scenario.restartInterval > 0 {
			s.after(Time(s.rng.Float64()*float64(s.scenario.restartInterval)), func() { s.restartRouter(router) })
		}
	}
}

// restartRouter restarts a router, which loses its state, and schedules its next restart.
func (s *faultSimulation) restartRouter(router int) {
	s.startRouter(router, s.currentEndpoints())
	s.after(s.scenario.restartInterval, func() { s.restartRouter(router) })
}

// sendRequest sends a client's request and schedules the next one.
func (s *faultSimulation) sendRequest() {
	if s.now >= s.restartAt {
		s.requests++
		s.addFairShares()
	}
	rate := s.requestRate()
	key := mix(s.keys.Uint64())
	if s.rng.Float64() < s.scenario.hotShare && (s.scenario.hotAfter == 0 || s.now > s.restartAt+s.scenario.hotAfter) {
		key = s.hotKey
	}
	s.sendTry(clientTry{key: key})
	s.after(Time(s.rng.ExpFloat64()*1e6/rate), s.sendRequest)
}

// requestRate returns the current requests per second of the clients.
func (s *faultSimulation) requestRate() float64 {
	if s.now < s.restartAt {
		return s.scenario.load * simulatedRate * s.weightBefore
	}
	rate := s.scenario.load * simulatedRate * s.totalWeight
	if s.now > s.restartAt+1000*ms && s.scenario.burstFactor > 0 {
		rate *= s.scenario.burstFactor
	}
	return rate
}

// addFairShares adds to the fair share of each started cache its share of one request, by its current capacity.
func (s *faultSimulation) addFairShares() {
	total := 0.
	for _, cache := range s.caches {
		total += cache.capacity(&s.settings, s.now)
	}
	for _, cache := range s.started {
		cache.fairShare += cache.capacity(&s.settings, s.now) / total
	}
}

func (s *faultSimulation) sendTry(try clientTry) {
	router := s.randomRouter()
	s.lastRequestID++
	s.tries[s.lastRequestID] = try
	s.handle(router, &Request{ID: s.lastRequestID, Class: "read", Key: try.key, HasKey: true,
		Deadline: s.now + simulatedRequestTime})
}

// retry schedules the next try of a client whose request was not served, unless it has no tries left.
func (s *faultSimulation) retry(id int64) {
	try := s.tries[id]
	try.number++
	if try.number < simulatedTries {
		s.after(simulatedRetryDelay, func() { s.sendTry(try) })
	}
}

func (s *faultSimulation) performAction(router int, action Action) {
	switch a := action.(type) {
	case Reject:
		s.retry(a.ID)
	case Fail:
		s.retry(a.ID)
	case Cancel:
		s.finishAttempt(1*ms, router, &AttemptDone{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Final: true})
	case Send:
		s.performSend(router, a)
	}
}

// performSend simulates an attempt at a cache.
func (s *faultSimulation) performSend(router int, send Send) {
	cache := s.byID[send.Cache]
	work := .5 + s.rng.Float64()
	cache.arrivals = append(cache.arrivals, arrival{s.now, work, s.wasNotifiedOfStart(router, s.listedEndpoint(cache))})
	done := s.newAttemptDone(router, send)
	core := cache.firstIdleCore(s.now)
	serviceTime := Time(work * simulatedCores * 1e6 / cache.capacity(&s.settings, s.now))
	switch {
	case s.hasFault(cache, 0, s.scenario.hangingShare):
		done.Result = TimedOut
		s.finishAttempt(send.Deadline-s.now, router, done)
	case s.hasFault(cache, s.scenario.hangingShare, s.scenario.failingShare):
		s.failedAttempts++
		done.Result = []Result{ServerError, Rejected, ConnectionLost}[s.failedAttempts%3]
		s.finishAttempt(2*ms, router, done)
	case cache.coreIdleAt[core] > s.now+maxSimulatedQueue/simulatedCores*serviceTime:
		done.Result = Rejected
		s.finishAttempt(1*ms, router, done)
	default:
		cache.coreIdleAt[core] += serviceTime
		done.Result, done.Final = Served, true
		s.finishAttempt(cache.coreIdleAt[core]-s.now, router, done)
	}
}

// finishAttempt ends an attempt after a time and counts the requests served since the starts.
func (s *faultSimulation) finishAttempt(span Time, router int, done *AttemptDone) {
	s.finishAfter(span, router, done, func() {
		if s.now > s.restartAt {
			s.served++
		}
	})
}

// multiCoreCache serves one request at a time on each of its cores and queues a few others.
type multiCoreCache struct {
	Endpoint
	index      int
	coreIdleAt [simulatedCores]Time // when each core will have finished its queue
	arrivals   []arrival            // attempts that arrived since the starts
	fairShare  float64              // requests that would be its share by its capacity at the time of each
}

// arrival is the work of an attempt that reached a cache, whether the cache served or rejected it.
type arrival struct {
	at       Time
	work     float64 // in requests of mean work
	notified bool    // the router had been notified of the cache's start
}

// notifiedWork returns the work if a notified router sent it, and 0 if not.
func (a arrival) notifiedWork() float64 { return float64(boolToInt(a.notified)) * a.work }

// capacity returns the requests of mean work per second that the cache can serve.
func (c *multiCoreCache) capacity(settings *Settings, now Time) float64 {
	return simulatedCapacity(c.Endpoint, settings, now)
}

// firstIdleCore returns the index of the core that will be idle first.
func (c *multiCoreCache) firstIdleCore(now Time) int {
	first := 0
	for core := range c.coreIdleAt {
		c.coreIdleAt[core] = max(c.coreIdleAt[core], now)
		if c.coreIdleAt[core] < c.coreIdleAt[first] {
			first = core
		}
	}
	return first
}

// chanceMargin returns by how much random variation may exceed a limit of this many requests.
func chanceMargin(requests float64) float64 { return 2*math.Sqrt(requests) + 2 }

// budget returns the work that a cache may get in the window of OverloadTime that ends at end.
func (c *multiCoreCache) budget(settings *Settings, end Time) float64 {
	middle := max(end-settings.OverloadTime/2, c.StartedAt)
	limit := settings.OverloadMultiple * c.capacity(settings, middle) * float64(settings.OverloadTime) / 1e6
	return limit + chanceMargin(limit)
}

// worstWindow returns the work and the budget of the window of OverloadTime in which the cache came closest
// to an overload collapse. A window counts only if more than two thirds of its work came from notified
// routers, as the others cannot know of the start. Windows after a collapse in a window that does not count
// are left out too.
func (c *multiCoreCache) worstWindow(settings *Settings) (worst, worstBudget float64) {
	first, work, notified := 0, 0., 0.
	for _, last := range c.arrivals {
		work += last.work
		notified += last.notifiedWork()
		for ; c.arrivals[first].at <= last.at-settings.OverloadTime; first++ {
			work -= c.arrivals[first].work
			notified -= c.arrivals[first].notifiedWork()
		}
		if last.at >= c.StartedAt+settings.WarmupTime {
			break // the cache is warm
		}
		budget := c.budget(settings, last.at)
		counts := 3*notified > 2*work
		if counts && (worstBudget == 0 || work*worstBudget > worst*budget) {
			worst, worstBudget = work, budget
		}
		if !counts && work > budget {
			break // the cache collapsed because of routers that were not notified
		}
	}
	return worst, worstBudget
}

// worstWindow must detect windows that exceed the budget, and leave out those that do not count. Otherwise
// TestFleetKeepsWarmingUpCachesWithinBudget would pass or fail wrongly.
func TestWorstWindowOfWarmingUpCache(t *testing.T) {
	settings := slowStartSettings(1)
	limit := settings.OverloadMultiple * simulatedRate * settings.WarmupStartShare * 1.5 // right after the start
	budget := int(limit + chanceMargin(limit))
	for _, test := range []struct {
		name                string
		count, unnotified   int // requests right after the start, and those of them from unnotified routers
		later               int // requests from notified routers a second later
		counted, overBudget bool
	}{
		{"within the budget", budget, 0, 0, true, false},
		{"one request beyond the budget", budget + 1, 0, 0, true, true},
		{"no router was notified", budget + 1, budget + 1, 0, false, false},
		{"over a third not notified", 41, 14, 0, false, false},
		{"nearly a third not notified", 41, 13, 0, true, true},
		{"after a collapse", 60, 60, 300, false, false},
		{"two bursts within one window", budget, 0, budget, true, true},
	} {
		cache := multiCoreCache{Endpoint: Endpoint{Weight: 1, StartedAt: testStart}}
		for i := range test.count {
			cache.arrivals = append(cache.arrivals, arrival{testStart + 1, 1, i >= test.unnotified})
		}
		for range test.later {
			cache.arrivals = append(cache.arrivals, arrival{testStart + 1000*ms, 1, true})
		}
		worst, worstBudget := cache.worstWindow(&settings)
		if worstBudget > 0 != test.counted || worst > worstBudget != test.overBudget {
			t.Errorf("%s: worst window %v of %v", test.name, worst, worstBudget)
		}
	}
}
