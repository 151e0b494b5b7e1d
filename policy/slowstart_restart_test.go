package policy

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

const (
	restartDuration       = 3500 * ms // simulated time after the restart
	maxSimulatedQueueTime = 300 * ms  // longest queue of a simulated cache, as the time to serve it
)

// restartScenario describes a simulation in which a share of the caches restarts at the same time. Caches and
// clients are as simple as possible.
type restartScenario struct {
	routers, caches  int
	restartedCaches  float64 // share of the caches that restart
	restartedRouters float64 // share of the routers that restart with the caches
	load             float64 // request rate as a share of the capacity of all caches when warm
	notifyWithin     Time    // time within which all other routers are notified of the restart
	zipfExponent     float64 // exponent of the Zipf distribution of the keys
}

// restartSimulation runs a restartScenario.
type restartSimulation struct {
	simulation
	scenario      restartScenario
	caches        map[string]*queueingCache
	endpoints     []Endpoint
	keys          *rand.Zipf
	meanInterval  float64 // mean time between two requests, in microseconds
	lastRequestID int64

	restarted []*queueingCache
	requests  int // requests since the restart
	served    int // those of them that were served
}

// queueingCache serves one request at a time and queues others, up to maxSimulatedQueueTime.
type queueingCache struct {
	Endpoint
	idleAt Time // when it will have finished its queue
	sends  []notifiedSend
	served int
}

// notifiedSend is an attempt at a cache.
type notifiedSend struct {
	at       Time
	notified bool // the router had been notified of the cache's start
}

// Each of many routers sends few requests to a cache that is warming up. The sum of them must not overload
// the cache.
func TestFleetDoesNotOverloadWarmingUpCaches(t *testing.T) {
	for _, scenario := range []restartScenario{
		{routers: 300, caches: 200, restartedCaches: .6, load: .4, zipfExponent: 1.1},
		{routers: 300, caches: 200, restartedCaches: .1, load: .8, zipfExponent: 1.1},
		{routers: 300, caches: 200, restartedCaches: .6, load: .4, zipfExponent: 1.1, notifyWithin: 1000 * ms},
		{routers: 350, caches: 200, restartedCaches: .6, load: .5, zipfExponent: 1.2, restartedRouters: .7},
		{routers: 350, caches: 600, restartedCaches: .6, load: .5, zipfExponent: 1.1},
		{routers: 350, caches: 12, restartedCaches: .3, load: 1.2, zipfExponent: 1.1},
		{routers: 60, caches: 60, restartedCaches: .6, load: .5, zipfExponent: 1.1},
		{routers: 60, caches: 60, restartedCaches: 1, load: .5, zipfExponent: 1.1, restartedRouters: 1},
		{routers: 2, caches: 12, restartedCaches: .6, load: 1, zipfExponent: 1.1},
	} {
		t.Run(fmt.Sprintf("%+v", scenario), func(t *testing.T) {
			t.Parallel()
			sim := newRestartSimulation(t, scenario)
			sim.run()
			served, capacity := 0., 0.
			for _, cache := range sim.restarted {
				if worst, budget := cache.worstWindow(&sim.settings); worst > budget {
					t.Errorf("%s of weight %v was sent %.0f requests within %v us, more than %.0f",
						cache.ID, cache.Weight, worst, sim.settings.OverloadTime, budget)
				}
				served += float64(cache.served)
				capacity += cache.capacity(&sim.settings, cache.StartedAt+restartDuration/2) * restartDuration / 1e6
			}
			t.Logf("restarted caches served %.2f of their capacity; %d of %d requests were served",
				served/capacity, sim.served, sim.requests)
			if served < capacity*scenario.load/8 {
				t.Errorf("restarted caches served %.2f of their capacity at a load of %v", served/capacity, scenario.load)
			}
		})
	}
}

func newRestartSimulation(t *testing.T, scenario restartScenario) *restartSimulation {
	t.Helper()
	s := &restartSimulation{
		simulation: newSimulation(t, 1, slowStartSettings(scenario.routers), restartDuration),
		scenario:   scenario,
		caches:     map[string]*queueingCache{},
	}
	s.perform = s.performAction
	totalWeight := 0.
	for i := range scenario.caches {
		endpoint := Endpoint{ID: fmt.Sprintf("c%03d", i), Weight: []float64{1, .5, 1.5}[i%3]}
		totalWeight += endpoint.Weight
		s.caches[endpoint.ID] = &queueingCache{Endpoint: endpoint}
		s.endpoints = append(s.endpoints, endpoint)
	}
	s.meanInterval = 1e6 / (scenario.load * simulatedRate * totalWeight)
	for router := range s.engines {
		s.startRouter(router, s.endpoints)
	}
	s.keys = rand.NewZipf(s.rng, scenario.zipfExponent, 2, 1<<20)
	s.after(0, s.sendRequest)
	s.at(s.restartAt, s.restart)
	return s
}

// sendRequest sends a request and schedules the next one.
func (s *restartSimulation) sendRequest() {
	s.lastRequestID++
	if s.now > s.restartAt {
		s.requests++
	}
	router := s.randomRouter()
	s.handle(router, &Request{ID: s.lastRequestID, Class: "read", Key: mix(s.keys.Uint64()), HasKey: true,
		Deadline: s.now + testTimeout})
	s.after(Time(s.rng.ExpFloat64()*s.meanInterval), s.sendRequest)
}

// restart restarts caches and routers and schedules the notification of the other routers.
func (s *restartSimulation) restart() {
	for i := range s.endpoints {
		if float64(i%10) >= 10*s.scenario.restartedCaches {
			continue
		}
		endpoint := &s.endpoints[i]
		endpoint.StartedAt = s.now
		cache := s.caches[endpoint.ID]
		*cache = queueingCache{Endpoint: *endpoint, idleAt: s.now}
		s.restarted = append(s.restarted, cache)
	}
	for router := range s.engines {
		if float64(router%10) < 10*s.scenario.restartedRouters {
			s.startRouter(router, s.endpoints)
			continue
		}
		delay := Time(s.rng.Float64() * float64(s.scenario.notifyWithin))
		s.after(delay, func() { s.updateEndpoints(router, s.endpoints) })
	}
}

// performAction simulates an attempt; other actions have no effect here.
func (s *restartSimulation) performAction(router int, action Action) {
	send, ok := action.(Send)
	if !ok {
		return
	}
	cache := s.caches[send.Cache]
	cache.sends = append(cache.sends, notifiedSend{s.now, s.wasNotifiedOfStart(router, cache.Endpoint)})
	cache.idleAt = max(cache.idleAt, s.now)
	done := s.newAttemptDone(router, send)
	done.Result = Rejected
	delay := Time(1 * ms)
	if cache.idleAt < s.now+maxSimulatedQueueTime {
		cache.idleAt += Time(1e6 / cache.capacity(&s.settings, s.now))
		done.Result, done.Final = Served, true
		delay = max(cache.idleAt-s.now, 20*ms)
	}
	s.finishAfter(delay, router, done, func() {
		cache.served++
		if s.now > s.restartAt {
			s.served++
		}
	})
}

func (c *queueingCache) capacity(settings *Settings, now Time) float64 {
	return simulatedCapacity(c.Endpoint, settings, now)
}

// worstWindow returns the number of sends and the budget of the window of OverloadTime in which the sends to
// the cache were the largest share of its budget. The budget is OverloadMultiple times the capacity, and a
// margin for random variation. Windows in which more than a third of the sends came from routers that were
// not notified do not count.
func (c *queueingCache) worstWindow(settings *Settings) (worst, budget float64) {
	first, notified := 0, 0
	for i, send := range c.sends {
		windowStart := send.at - settings.OverloadTime
		notified += boolToInt(send.notified)
		for ; c.sends[first].at <= windowStart; first++ {
			notified -= boolToInt(c.sends[first].notified)
		}
		count := i - first + 1
		if 3*notified < 2*count {
			continue
		}
		middle := max(send.at-settings.OverloadTime/2, c.StartedAt)
		limit := settings.OverloadMultiple * c.capacity(settings, middle) * float64(settings.OverloadTime) / 1e6
		limit += math.Sqrt(limit)
		if budget == 0 || float64(count)/limit > worst/budget {
			worst, budget = float64(count), limit
		}
	}
	return worst, budget
}
