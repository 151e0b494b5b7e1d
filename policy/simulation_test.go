package policy

import (
	"container/heap"
	"math/rand"
	"testing"
)

const (
	simulationStartup = 4000 * ms // time from the start of the routers until caches restart
	simulatedRate     = 20.       // requests per second that a warm cache of weight 1 can serve
)

// simulation runs the engines of a fleet of routers against simulated caches and clients, with events in
// order of time. A type that embeds it sets perform, which simulates the effects of the engines' actions.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	settings  Settings
	now       Time
	restartAt Time // when caches restart; before it, routers only collect state
	end       Time // events at this time or later are dropped
	queue     eventQueue
	sequence  int
	engines   []*Engine
	perform   func(router int, action Action) // carries out an action other than SetTimer
}

func newSimulation(t *testing.T, seed int64, settings Settings, span Time) simulation {
	restartAt := testStart + simulationStartup
	return simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), settings: settings, now: testStart,
		restartAt: restartAt, end: restartAt + span, engines: make([]*Engine, settings.Routers),
	}
}

// at schedules an event.
func (s *simulation) at(when Time, run func()) {
	s.sequence++
	if when < s.end {
		heap.Push(&s.queue, simulatedEvent{when, s.sequence, run})
	}
}

// after schedules an event relative to now.
func (s *simulation) after(span Time, run func()) { s.at(s.now+span, run) }

// run handles all events before the end.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		event := heap.Pop(&s.queue).(simulatedEvent)
		s.now = event.at
		event.run()
	}
}

// startRouter starts or restarts a router with the given endpoints.
func (s *simulation) startRouter(router int, endpoints []Endpoint) {
	engine, err := New(s.settings, s.rng.Uint64())
	if err != nil {
		s.t.Fatal(err)
	}
	s.engines[router] = engine
	s.updateEndpoints(router, endpoints)
}

func (s *simulation) updateEndpoints(router int, endpoints []Endpoint) {
	s.handle(router, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
}

// handle gives a router's engine an event and carries out its actions.
func (s *simulation) handle(router int, event Event) {
	engine := s.engines[router]
	for _, action := range engine.Handle(s.now, event) {
		if timer, ok := action.(SetTimer); ok {
			s.at(timer.At, func() {
				if s.engines[router] == engine {
					s.handle(router, &TimerFired{timer.Token})
				}
			})
			continue
		}
		s.perform(router, action)
	}
}

// randomRouter draws the router of a request. The first tenth of the routers gets several times the mean.
func (s *simulation) randomRouter() int {
	router := s.rng.Intn(len(s.engines))
	if s.rng.Intn(3) == 0 {
		router /= 10
	}
	return router
}

// newAttemptDone returns the AttemptDone event of the attempt that an engine has just sent.
func (s *simulation) newAttemptDone(router int, send Send) *AttemptDone {
	attempt := len(s.engines[router].requests[send.ID].attempts) - 1
	return &AttemptDone{ID: send.ID, Attempt: attempt, Load: noLoadReport}
}

// finishAfter ends an attempt after a time, unless its router has restarted by then. It calls served first if
// the attempt was served and nothing else has answered the request.
func (s *simulation) finishAfter(span Time, router int, done *AttemptDone, served func()) {
	engine := s.engines[router]
	s.after(span, func() {
		if s.engines[router] != engine {
			return
		}
		if req := engine.requests[done.ID]; done.Result == Served && req != nil && !req.done {
			served()
		}
		s.handle(router, done)
	})
}

// wasNotifiedOfStart reports whether a router has been notified of the latest start of a cache.
func (s *simulation) wasNotifiedOfStart(router int, endpoint Endpoint) bool {
	return s.engines[router].caches[endpoint.ID].StartedAt == endpoint.StartedAt
}

// simulatedCapacity returns the requests per second that a cache can serve. It grows linearly during the
// warm-up.
func simulatedCapacity(endpoint Endpoint, settings *Settings, now Time) float64 {
	full := simulatedRate * endpoint.Weight
	if endpoint.StartedAt == 0 {
		return full
	}
	age := float64(now-endpoint.StartedAt) / float64(settings.WarmupTime)
	return full * min(1, settings.WarmupStartShare+(1-settings.WarmupStartShare)*age)
}

// simulatedEvent is an event of a simulation, at a given time.
type simulatedEvent struct {
	at       Time
	sequence int // events with equal times run in the order in which they were scheduled
	run      func()
}

// eventQueue is a heap of events by time and sequence.
type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
