package policy

import (
	"math"
	"strings"
	"testing"
)

// A request gets exactly one final answer also when there is no endpoint to send it to.
func TestRequestWithoutEndpointsIsAnswered(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&Request{ID: 1, Class: "once", Deadline: h.now + 100*ms})
	if countFinalAnswers(h.actions)+countFinalAnswers(h.advance(pastDeadlines)) != 1 {
		t.Fatal("before any endpoint update: want one final answer")
	}
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot})
	h.handle(&Request{ID: 2, Class: "read", Deadline: h.now + 100*ms})
	if countFinalAnswers(h.actions)+countFinalAnswers(h.advance(pastDeadlines)) != 1 {
		t.Fatal("empty fleet: want one final answer")
	}
}

// pastDeadlines is a time after which every request of the tests in this file is past its deadline.
const pastDeadlines = 1000 * ms

// A request that arrives after its deadline is answered and never sent.
func TestRequestPastDeadlineIsNotSent(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	h.handle(&Request{ID: 1, Class: "read", Key: 1, HasKey: true, Deadline: h.now - 1})
	if countFinalAnswers(h.actions) != 1 || len(sendActions(h.actions)) != 0 {
		t.Fatalf("want one final answer and nothing sent, got %v", h.actions)
	}
}

// An attempt that times out at the deadline is not a final answer. The engine must then give exactly one.
func TestTimeoutAtDeadlineIsFollowedByFail(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	h.request(1, "once", 1)
	h.now += 800 * ms
	h.handle(&AttemptDone{ID: 1, Result: TimedOut})
	if len(h.actions) != 1 || h.actions[0] != (Fail{1}) {
		t.Fatalf("got %v", h.actions)
	}
	if actions := h.advance(pastDeadlines); countFinalAnswers(actions) != 0 {
		t.Fatalf("answered twice: %v", actions)
	}
}

// Events for requests, timers and caches that the engine does not know cause no actions.
func TestUnknownEventsAreIgnored(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(3)})
	unknown := []Event{
		&AttemptDone{ID: 9},
		&AttemptDone{ID: 9, Attempt: -1},
		&ClientGone{ID: 9},
		&TimerFired{Token: 99999},
		&HealthCheckDone{Cache: "nobody"},
		&ResponseStarted{ID: 9},
		&PeerMessage{From: 3, Data: "x"},
	}
	for _, event := range unknown {
		if actions := h.handle(event); len(actions) != 0 {
			t.Errorf("%T: %v", event, actions)
		}
	}
}

// New rejects settings that are out of range and names the field.
func TestInvalidSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"WarmupTime":       func(s *Settings) { s.WarmupTime = -1 },
		"DrainGrace":       func(s *Settings) { s.DrainGrace = -1 },
		"Classes":          func(s *Settings) { s.Classes = nil },
		"Classes[1]":       func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"MaxAttempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"Routers":          func(s *Settings) { s.Routers = -1 },
		"WarmupStartShare": func(s *Settings) { s.WarmupStartShare = 1.5 },
		"HealthCheckCost":  func(s *Settings) { s.HealthCheckCost = math.NaN() },
		"ConnectionCost":   func(s *Settings) { s.ConnectionCost = math.Inf(1) },
		"HandshakeCost":    func(s *Settings) { s.HandshakeCost = -0.1 },
		"LateWeight":       func(s *Settings) { s.Classes[2].LateWeight = 2 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
