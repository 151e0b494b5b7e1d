package policy

import (
	"math/rand"
	"reflect"
	"testing"
)

// answerGrace is how long after the deadline a final answer is still in time.
const answerGrace = 20 * ms

// Random events never make an engine break the rules that invariantChecker checks.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range int64(150) {
		playRandomEvents(t, seed, 1500)
	}
}

// The engine is deterministic: equal events give equal actions.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range int64(10) {
		if !reflect.DeepEqual(playRandomEvents(t, seed, 1000), playRandomEvents(t, seed, 1000)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// playRandomEvents gives an engine a random stream of events drawn from seed, checks every action and returns all
// of them.
func playRandomEvents(t *testing.T, seed int64, steps int) []Action {
	player := newRandomPlayer(t, seed)
	player.updateEndpoints(UpdateStale, testEndpoints(player.rng.Intn(8)))
	for id := int64(1); id < int64(steps); id++ {
		player.harness.advance(Time(player.rng.Intn(20 * ms)))
		player.step(id)
	}
	for id, req := range player.checker.requests {
		if !req.done && player.harness.now > req.deadline+answerGrace {
			t.Fatalf("seed %d: request %d lost", seed, id)
		}
	}
	return player.actions
}

// randomPlayer draws random events and gives them to an engine.
type randomPlayer struct {
	rng     *rand.Rand
	harness *engineHarness
	checker *invariantChecker
	classes map[string]Class
	actions []Action // all so far
}

func newRandomPlayer(t *testing.T, seed int64) *randomPlayer {
	rng := rand.New(rand.NewSource(seed))
	settings := randomSettings(rng)
	h := newEngineHarness(t, settings)
	player := &randomPlayer{
		rng: rng, harness: h, checker: newInvariantChecker(h, settings), classes: map[string]Class{},
	}
	for _, class := range settings.Classes {
		player.classes[class.Name] = class
	}
	h.observe = func(actions []Action) {
		player.checker.check(actions)
		player.actions = append(player.actions, actions...)
	}
	return player
}

func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.MaxAttempts = 1 + rng.Intn(5)
	s.HedgingAllowed, s.CancelAllowed, s.WatchRequired = rng.Intn(2) == 0, rng.Intn(3) > 0, rng.Intn(2) == 0
	s.HealthChecksAllowed = rng.Intn(4) > 0
	if rng.Intn(4) == 0 {
		s.WarmupTime, s.WarmupStartShare, s.OverloadTime, s.PollInterval = 0, 0, 0, 0
	}
	return s
}

// step plays one random event; a request gets the given ID.
func (p *randomPlayer) step(id int64) {
	switch percent := p.rng.Intn(100); {
	case percent < 50:
		p.sendRequest(id)
	case percent < 53:
		p.cancelRequest(id)
	case percent < 58:
		p.changeEndpoint()
	case percent < 59:
		p.updateEndpoints(UpdateKind(1+p.rng.Intn(2)), testEndpoints(p.rng.Intn(10)))
	case percent < 60:
		p.harness.handle(&EndpointsUpdate{Kind: UpdateFailed})
	case percent < 66:
		p.harness.handle(&HealthCheckDone{Cache: testEndpoints(10)[p.rng.Intn(10)].ID, Result: Result(p.rng.Intn(6)),
			Load: LoadReport{Utilization: p.rng.Float64()}})
	default:
		p.finishAttempt(id)
	}
}

// sendRequest plays a new request of a random class; reads are the most frequent.
func (p *randomPlayer) sendRequest(id int64) {
	names := []string{"read", "read", "read", "all", "zone", "cell", "once", "unheard-of"}
	name := names[p.rng.Intn(len(names))]
	deadline := p.harness.now + Time(p.rng.Intn(900*ms)) - 20*ms
	p.checker.requests[id] = &checkedRequest{class: p.classes[name], deadline: deadline}
	p.harness.handle(&Request{ID: id, Class: name, Tenant: []string{"x", "y", ""}[p.rng.Intn(3)],
		Key: uint64(p.rng.Intn(40)), HasKey: p.rng.Intn(9) > 0, Deadline: deadline, Cost: Time(p.rng.Intn(60 * ms))})
}

// cancelRequest has the client of a recent request disconnect.
func (p *randomPlayer) cancelRequest(id int64) {
	gone := id - 1 - int64(p.rng.Intn(20))
	if req := p.checker.requests[gone]; req != nil {
		req.done = true
	}
	p.harness.handle(&ClientGone{ID: gone})
}

// changeEndpoint updates one endpoint: its state, or its start.
func (p *randomPlayer) changeEndpoint() {
	endpoint := testEndpoints(10)[p.rng.Intn(10)]
	endpoint.State = EndpointState(p.rng.Intn(3))
	if p.rng.Intn(2) == 0 {
		endpoint.State, endpoint.StartedAt = InService, p.harness.now-Time(p.rng.Intn(12000*ms))
	}
	p.updateEndpoints(UpdateDelta, []Endpoint{endpoint})
}

// updateEndpoints gives the engine an endpoint update and the checker what it says.
func (p *randomPlayer) updateEndpoints(kind UpdateKind, endpoints []Endpoint) {
	p.checker.noteEndpoints(kind, endpoints)
	p.harness.handle(&EndpointsUpdate{Kind: kind, Endpoints: endpoints})
}

// finishAttempt ends a pending attempt of a recent request.
func (p *randomPlayer) finishAttempt(id int64) {
	for back := int64(1); back < 60 && back < id; back++ {
		req := p.checker.requests[id-back]
		if req == nil {
			continue
		}
		for i := range req.attempts {
			if !req.attempts[i].pending || p.rng.Intn(3) == 0 {
				continue
			}
			result := Result(p.rng.Intn(int(NotStored) + 1))
			if p.rng.Intn(2) == 0 {
				result = Served
			}
			req.attempts[i].pending, req.attempts[i].result = false, result
			req.done = req.done || result == Served
			p.harness.handle(&AttemptDone{ID: id - back, Attempt: i, Result: result,
				Elapsed: p.harness.now - req.attempts[i].sentAt, Final: req.done,
				Load: LoadReport{Utilization: p.rng.Float64()*2 - 1}})
			return
		}
	}
}

// invariantChecker checks every action of one engine against the rules that it has to keep: one final answer in
// time, no effect twice, nothing to draining caches, and nothing that the settings forbid.
type invariantChecker struct {
	harness    *engineHarness
	settings   Settings
	requests   map[int64]*checkedRequest
	endpoints  map[string]Endpoint // all ever listed
	notifiedAt map[string]Time     // since when a cache is known to be draining or gone
}

// checkedRequest is what the checker knows of a request.
type checkedRequest struct {
	class    Class
	deadline Time
	done     bool
	attempts []checkedAttempt
}

type checkedAttempt struct {
	endpoint Endpoint
	sentAt   Time
	pending  bool
	result   Result
}

// mayHaveRun reports whether the attempt may have been carried out.
func (a checkedAttempt) mayHaveRun() bool { return a.pending || !a.result.NeverRan() }

func newInvariantChecker(h *engineHarness, settings Settings) *invariantChecker {
	return &invariantChecker{
		harness: h, settings: settings, requests: map[int64]*checkedRequest{},
		endpoints: map[string]Endpoint{}, notifiedAt: map[string]Time{},
	}
}

// noteEndpoints records an endpoint update that the engine is about to get.
func (c *invariantChecker) noteEndpoints(kind UpdateKind, endpoints []Endpoint) {
	if kind != UpdateDelta {
		for id := range c.endpoints {
			c.noteUnavailable(id)
		}
	}
	for _, endpoint := range endpoints {
		if endpoint.State == InService {
			delete(c.notifiedAt, endpoint.ID)
		} else {
			c.noteUnavailable(endpoint.ID)
		}
		c.endpoints[endpoint.ID] = endpoint
	}
}

// noteUnavailable records that the engine is notified of a draining or removed cache, if it was not before.
func (c *invariantChecker) noteUnavailable(id string) {
	if _, ok := c.notifiedAt[id]; !ok {
		c.notifiedAt[id] = c.harness.now
	}
}

// check fails the test if one of the actions breaks a rule.
func (c *invariantChecker) check(actions []Action) {
	c.harness.t.Helper()
	for _, action := range actions {
		switch a := action.(type) {
		case Send:
			c.checkSend(a)
		case Reject:
			c.checkReject(a)
		case Fail:
			c.checkFinalAnswer(a.ID)
		case Cancel:
			c.checkCancel(a)
		case HealthCheck:
			c.checkHealthCheck(a)
		}
	}
}

// checkSend checks an attempt and records it.
func (c *invariantChecker) checkSend(send Send) {
	t, now := c.harness.t, c.harness.now
	t.Helper()
	req := c.requests[send.ID]
	if req == nil || req.done {
		t.Fatalf("send for a request that is over: %v", send)
	}
	if now >= req.deadline || len(req.attempts) >= c.settings.MaxAttempts || send.Deadline <= now {
		t.Fatalf("send after deadline or attempts: %v", send)
	}
	endpoint, ok := c.endpoints[send.Cache]
	if !ok {
		t.Fatalf("send to a cache never listed: %v", send)
	}
	if since, ok := c.notifiedAt[send.Cache]; ok && now > since+c.settings.DrainGrace {
		t.Fatalf("send to a draining or gone cache: %v", send)
	}
	for _, earlier := range req.attempts {
		if earlier.pending && !c.settings.HedgingAllowed {
			t.Fatalf("two pending at once: %v", send)
		}
		if earlier.mayHaveRun() && !mayRepeat(req.class, earlier, endpoint, now) {
			t.Fatalf("%s could run twice: %v", req.class.Name, send)
		}
	}
	req.attempts = append(req.attempts, checkedAttempt{endpoint: endpoint, sentAt: now, pending: true})
}

// mayRepeat reports whether a request that may have run may be sent to another endpoint.
func mayRepeat(class Class, earlier checkedAttempt, endpoint Endpoint, now Time) bool {
	switch class.Effect {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	if now > earlier.sentAt+class.KeyTTL {
		return false
	}
	switch class.DedupScope {
	case ScopeZone:
		return earlier.endpoint.Zone == endpoint.Zone
	case ScopeGroup:
		return earlier.endpoint.Group == endpoint.Group
	}
	return true
}

// checkReject checks that a request may run again after the client has been advised to retry.
func (c *invariantChecker) checkReject(reject Reject) {
	c.harness.t.Helper()
	c.checkFinalAnswer(reject.ID)
	req := c.requests[reject.ID]
	class := req.class
	if class.Effect == Idempotent || class.Effect == IdempotentWithKey && class.DedupScope == ScopeAll {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.mayHaveRun() {
			c.harness.t.Fatalf("%s rejected though it may have run", class.Name)
		}
	}
}

// checkFinalAnswer checks that a final answer is the first one and in time.
func (c *invariantChecker) checkFinalAnswer(id int64) {
	t := c.harness.t
	t.Helper()
	req := c.requests[id]
	if req == nil || req.done {
		t.Fatalf("request %d: a second final answer", id)
	}
	if c.harness.now > req.deadline+answerGrace && len(req.attempts) > 0 {
		t.Fatalf("request %d answered late", id)
	}
	req.done = true
}

func (c *invariantChecker) checkCancel(cancel Cancel) {
	c.harness.t.Helper()
	req := c.requests[cancel.ID]
	if req == nil || cancel.Attempt >= len(req.attempts) || !c.settings.CancelAllowed {
		c.harness.t.Fatalf("cancel of an attempt never sent: %v", cancel)
	}
}

func (c *invariantChecker) checkHealthCheck(check HealthCheck) {
	c.harness.t.Helper()
	if _, ok := c.endpoints[check.Cache]; !ok || !c.settings.HealthChecksAllowed {
		c.harness.t.Fatalf("health check that is not allowed: %v", check)
	}
}
