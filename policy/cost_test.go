package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fewCaches  = 200
	manyCaches = 3200

	costRequestRate          = 25       // requests of a router in a second
	costServiceTime          = 20 * ms  // of an attempt
	costTimeout              = 500 * ms // of a request
	costPlayTime             = 6000 * ms
	costGrowth               = 1.4                  // by which the time of a decision may grow with the caches, ...
	costAllowance            = 4 * time.Millisecond // ... and what is allowed beside it, for each second
	costRepeats              = 3
	costOverloadTime    Time = 1500 * ms
	costWarmupTime      Time = 9000 * ms
	costRequestInterval Time = 1000 * ms / costRequestRate
)

// costState is a state of a fleet in which the cost of decisions is measured.
type costState struct {
	name        string
	justStarted bool
	result      func(cache int) Result // of each attempt
}

func always(result Result) func(int) Result { return func(int) Result { return result } }

func costStates() []costState {
	half := func(cache int) Result {
		if cache%2 == 0 {
			return ConnectFailed
		}
		return Served
	}
	return []costState{
		{"quiet", false, always(Served)},
		{"all just started", true, always(Served)},
		{"all just started and rejecting", true, always(Rejected)},
		{"all just started and refusing", true, always(ConnectFailed)},
		{"half refusing", false, half},
		{"all refusing", false, always(ConnectFailed)},
		{"all rejecting", false, always(Rejected)},
		{"all hanging", false, always(TimedOut)},
	}
}

// TestDecisionsCostNoMoreBeforeManyCaches compares the processor time of the same requests before 200 and
// before 3,200 caches. Routers fell behind, and lost requests, as it grew with the square of the caches.
func TestDecisionsCostNoMoreBeforeManyCaches(t *testing.T) {
	for _, state := range costStates() {
		t.Run(state.name, func(t *testing.T) {
			few, many := measureCost(t, fewCaches, state), measureCost(t, manyCaches, state)
			allowed := time.Duration(costGrowth*float64(few)) + raceSlowdown*costAllowance
			t.Logf("%v a second before %d caches, %v before %d, %v allowed", few, fewCaches, many, manyCaches, allowed)
			if many > allowed {
				t.Errorf("decisions before %d caches take %v a second, %v allowed", manyCaches, many, allowed)
			}
		})
	}
}

// measureCost returns the time that the engine takes for a second of requests, the least of a few plays.
func measureCost(t *testing.T, caches int, state costState) time.Duration {
	t.Helper()
	least := time.Duration(0)
	for range costRepeats {
		p := newCostPlay(t, caches, state)
		p.run()
		if perSecond := p.spent / time.Duration(costPlayTime/(1000*ms)); least == 0 || perSecond < least {
			least = perSecond
		}
	}
	return least
}

// costPlay plays requests through an engine and measures the time that it takes for them.
type costPlay struct {
	engine *Engine
	state  costState
	number map[string]int // of each cache
	rng    *rand.Rand
	now    Time
	due    costQueue
	spent  time.Duration
	lastID int64
}

func costSettings(caches int) Settings {
	settings := testSettings()
	settings.Routers = caches * 3 / 2 // each has the same part of the caches at any size
	settings.WarmupTime, settings.OverloadTime = costWarmupTime, costOverloadTime
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective = costTimeout / 2
	}
	return settings
}

func newCostPlay(t testing.TB, caches int, state costState) *costPlay {
	t.Helper()
	engine, err := New(costSettings(caches), testHarnessSeed)
	if err != nil {
		t.Fatal(err)
	}
	p := &costPlay{
		engine: engine, state: state, number: map[string]int{}, rng: rand.New(rand.NewPCG(1, 2)), now: testStart,
	}
	var endpoints []Endpoint
	for i := range caches {
		endpoint := Endpoint{ID: fmt.Sprintf("c%04d", i), Zone: string(rune('a' + i%3)), Group: i % 4, Weight: 1}
		if state.justStarted {
			endpoint.StartedAt = p.now
		}
		p.number[endpoint.ID] = i
		endpoints = append(endpoints, endpoint)
	}
	p.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: endpoints})
	p.spent = 0
	return p
}

func (p *costPlay) run() {
	for end := p.now + costPlayTime; p.now < end; {
		p.advance(costRequestInterval)
		p.request()
	}
}

// request hands the engine a request for a key of its own.
func (p *costPlay) request() {
	p.lastID++
	p.handle(&Request{ID: p.lastID, Class: "read", Key: p.rng.Uint64(), HasKey: true, Deadline: p.now + costTimeout})
}

// advance moves the clock and hands the engine what becomes due.
func (p *costPlay) advance(span Time) {
	end := p.now + span
	for len(p.due) > 0 && p.due[0].at <= end {
		next := heap.Pop(&p.due).(costEvent)
		p.now = max(p.now, next.at)
		p.handle(next.event)
	}
	p.now = end
}

// handle hands the engine an event, and notes what follows from its actions.
func (p *costPlay) handle(event Event) {
	begun := time.Now()
	actions := p.engine.Handle(p.now, event)
	p.spent += time.Since(begun)
	for _, action := range actions {
		switch action := action.(type) {
		case SetTimer:
			heap.Push(&p.due, costEvent{action.At, &TimerFired{action.Token}})
		case Send:
			p.attempt(action)
		case HealthCheck:
			heap.Push(&p.due, costEvent{p.now + ms, &HealthCheckDone{Cache: action.Cache, Result: Served, Load: noLoadReport}})
		}
	}
}

// attempt ends an attempt as the state of the fleet has it.
func (p *costPlay) attempt(send Send) {
	result := p.state.result(p.number[send.Cache])
	at := p.now + costServiceTime
	switch result {
	case Rejected, ConnectFailed:
		at = p.now + ms
	case TimedOut:
		at = send.Deadline
	}
	attempt := len(p.engine.requests[send.ID].attempts) - 1
	heap.Push(&p.due, costEvent{at, &AttemptDone{
		ID: send.ID, Attempt: attempt, Result: result, Elapsed: at - p.now, Final: result == Served, Load: noLoadReport,
	}})
}

type costEvent struct {
	at    Time
	event Event
}

// costQueue implements heap.Interface; its first event is the next one due.
type costQueue []costEvent

func (q costQueue) Len() int           { return len(q) }
func (q costQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q costQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *costQueue) Push(x any)        { *q = append(*q, x.(costEvent)) }
func (q *costQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
