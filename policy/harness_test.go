package policy

import (
	"fmt"
	"strings"
	"testing"
)

const (
	ms = 1000 // a millisecond in units of Time

	testStart       Time = 1e9      // start of a harness's clock
	testTimeout     Time = 800 * ms // timeout of the classes of testSettings
	testHarnessSeed      = 7
)

// noLoadReport is the load report of a cache that does not report its load.
var noLoadReport = LoadReport{Utilization: -1}

// testSettings returns valid settings with a class for each effect and scope.
func testSettings() Settings {
	keyed := func(name string, scope DedupScope) Class {
		return Class{Name: name, Effect: IdempotentWithKey, DedupScope: scope, KeyTTL: 500 * ms,
			LatencyObjective: 200 * ms, Timeout: testTimeout, PriorityWeight: 3}
	}
	return Settings{
		Routers: 2, MaxAttempts: 3, HedgingAllowed: true, CancelAllowed: true, HealthChecksAllowed: true,
		DrainGrace: 1000 * ms, WarmupTime: 10000 * ms, WarmupStartShare: 0.2,
		OverloadTime: 2000 * ms, OverloadMultiple: 3, PollInterval: 10000 * ms, HealthCheckCost: 0.01,
		MaxRetryAfter: 1000 * ms,
		Classes: []Class{
			{Name: "read", Effect: Idempotent, LatencyObjective: 200 * ms, Timeout: testTimeout, PriorityWeight: 2},
			keyed("all", ScopeAll),
			keyed("zone", ScopeZone),
			keyed("cell", ScopeGroup),
			{Name: "once", Effect: NonIdempotent, LatencyObjective: 200 * ms, Timeout: testTimeout, PriorityWeight: 3},
		},
	}
}

// testEndpoints returns endpoints of weight 1 in two zones and four groups.
func testEndpoints(count int) []Endpoint {
	var endpoints []Endpoint
	for i := range count {
		zone := string(rune('a' + i%2))
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprintf("c%02d", i), Zone: zone, Group: i % 4, Weight: 1})
	}
	return endpoints
}

// engineHarness drives one engine: it holds the clock and the pending timers.
type engineHarness struct {
	t       *testing.T
	engine  *Engine
	now     Time
	timers  []SetTimer
	actions []Action       // actions for the last event
	observe func([]Action) // called with the actions for each event, if set
}

// newEngineHarness returns a harness for a new engine, which knows no endpoints yet.
func newEngineHarness(t *testing.T, settings Settings) *engineHarness {
	t.Helper()
	return newSeededHarness(t, settings, testHarnessSeed)
}

// newSeededHarness is newEngineHarness with a seed for the engine.
func newSeededHarness(t *testing.T, settings Settings, seed uint64) *engineHarness {
	t.Helper()
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &engineHarness{t: t, engine: engine, now: testStart}
}

// routerSeed returns the seed of one router of a fleet.
func routerSeed(router uint64) uint64 { return router*7919 + 1 }

// newTrafficHarness returns a harness with endpoints and without health checks, so that the engine learns of
// its caches by requests only.
func newTrafficHarness(t *testing.T, caches int, change func(*Settings)) *engineHarness {
	t.Helper()
	settings := testSettings()
	settings.HealthChecksAllowed = false
	if change != nil {
		change(&settings)
	}
	h := newEngineHarness(t, settings)
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(caches)})
	return h
}

// handle gives the engine an event, records the timers that it sets and returns its actions.
func (h *engineHarness) handle(event Event) []Action {
	h.actions = h.engine.Handle(h.now, event)
	for _, action := range h.actions {
		if timer, ok := action.(SetTimer); ok {
			h.timers = append(h.timers, timer)
		}
	}
	if h.observe != nil {
		h.observe(h.actions)
	}
	return h.actions
}

// advance moves the clock, fires the timers that become due and returns the resulting actions.
func (h *engineHarness) advance(span Time) []Action {
	var all []Action
	end := h.now + span
	for {
		timer, ok := h.popTimer(end)
		if !ok {
			break
		}
		h.now = max(h.now, timer.At)
		all = append(all, h.handle(&TimerFired{timer.Token})...)
	}
	h.now = end
	return all
}

// popTimer removes and returns the earliest timer that is due by end; ok is false if there is none.
func (h *engineHarness) popTimer(end Time) (timer SetTimer, ok bool) {
	first := -1
	for i, candidate := range h.timers {
		if candidate.At <= end && (first < 0 || candidate.At < h.timers[first].At) {
			first = i
		}
	}
	if first < 0 {
		return SetTimer{}, false
	}
	timer = h.timers[first]
	h.timers = append(h.timers[:first], h.timers[first+1:]...)
	return timer, true
}

// advanceToHealthChecks moves the clock until the engine has sent health checks.
func (h *engineHarness) advanceToHealthChecks() {
	for len(healthChecks(h.advance(1*ms))) == 0 {
	}
}

// request gives the engine a request and returns the first resulting send, or nil.
func (h *engineHarness) request(id int64, class string, key uint64) *Send {
	req := &Request{ID: id, Class: class, Key: key, HasKey: true, Deadline: h.now + testTimeout}
	sends := sendActions(h.handle(req))
	if len(sends) == 0 {
		return nil
	}
	return &sends[0]
}

// serve ends an attempt with a fast final reply.
func (h *engineHarness) serve(id int64, attempt int) {
	h.handle(&AttemptDone{ID: id, Attempt: attempt, Result: Served, Elapsed: 1, Final: true, Load: noLoadReport})
}

// serveFirstAttempt ends the first attempt of a request with a final reply, which is a cache miss or a hit.
func (h *engineHarness) serveFirstAttempt(id int64, miss bool) {
	h.handle(&AttemptDone{ID: id, Result: Served, Final: true, Miss: miss, Load: noLoadReport})
}

// finish ends an attempt with a result; final reports whether it completes the request. It returns the actions.
func (h *engineHarness) finish(id int64, attempt int, result Result, final bool) []Action {
	return h.handle(&AttemptDone{ID: id, Attempt: attempt, Result: result, Final: final, Load: noLoadReport})
}

// runHealthCheckRounds runs rounds of health checks. Those of the faulty cache end with result, or get no
// reply if result is nil. Those of all other caches are served.
func (h *engineHarness) runHealthCheckRounds(count int, faulty string, result *Result) {
	for completed := 0; completed < count; {
		checked := healthChecks(h.advance(1 * ms))
		if len(checked) == 0 {
			continue
		}
		for _, id := range checked {
			switch {
			case id != faulty:
				h.handle(&HealthCheckDone{Cache: id, Result: Served, Load: noLoadReport})
			case result != nil:
				h.handle(&HealthCheckDone{Cache: id, Result: *result, Load: noLoadReport})
			}
		}
		completed++
		h.advance(h.engine.settings.HealthCheckTimeout() + ms)
	}
}

// resultPointer returns a pointer to a result.
func resultPointer(result Result) *Result { return &result }

// sendActions returns the Send actions among actions.
func sendActions(actions []Action) []Send {
	var sends []Send
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// healthChecks returns the caches of the HealthCheck actions among actions.
func healthChecks(actions []Action) []string {
	var caches []string
	for _, action := range actions {
		if check, ok := action.(HealthCheck); ok {
			caches = append(caches, check.Cache)
		}
	}
	return caches
}

// countFinalAnswers counts the Reject and Fail actions among actions.
func countFinalAnswers(actions []Action) int {
	count := 0
	for _, action := range actions {
		switch action.(type) {
		case Reject, Fail:
			count++
		}
	}
	return count
}

// logText returns the lines of the Log actions among actions.
func logText(actions []Action) string {
	var lines []string
	for _, action := range actions {
		if line, ok := action.(Log); ok {
			lines = append(lines, line.Text)
		}
	}
	return strings.Join(lines, "\n")
}
