package policy

import "testing"

// The effect of a class decides, for each result of an attempt, where the request may be retried and whether
// it may be rejected.
func TestEffectRules(t *testing.T) {
	for _, class := range []string{"read", "all", "zone", "cell", "once", "unknown"} {
		for result := ServerError; result <= NotStored; result++ {
			checkEffectRules(t, class, result)
		}
	}
}

// checkEffectRules checks these rules for a request whose only attempt ended with result.
func checkEffectRules(t *testing.T, class string, result Result) {
	t.Helper()
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(8)})
	first := h.request(1, class, 5)
	if first == nil {
		t.Fatal("not sent")
	}
	req := h.engine.requests[1]
	req.attempts[0].pending, req.attempts[0].neverRan = false, result.NeverRan()
	from := h.engine.caches[first.Cache]
	repeatableAnywhere := result.NeverRan() || class == "read" || class == "all"
	for _, c := range h.engine.inService {
		want := repeatableAnywhere || class == "zone" && c.Zone == from.Zone || class == "cell" && c.Group == from.Group
		if got := h.engine.canSend(req, c); got != want {
			t.Errorf("%s after result %d: canSend = %v, want %v", class, result, got, want)
		}
	}
	if got := h.engine.canReject(req); got != repeatableAnywhere {
		t.Errorf("%s after result %d: canReject = %v, want %v", class, result, got, repeatableAnywhere)
	}
	h.now += 501 * ms
	h.engine.now = h.now
	if class == "all" && !result.NeverRan() && h.engine.canSend(req, from) {
		t.Errorf("request sent again after its idempotency key has expired")
	}
}

// Retries must not add to the overload that caused them, so they are limited to a share of the requests.
func TestRetryBudget(t *testing.T) {
	h := newTrafficHarness(t, 8, nil)
	retries := 0
	for id := range int64(200) {
		if h.request(id+1, "read", uint64(id)) != nil {
			if len(sendActions(h.finish(id+1, 0, ServerError, false))) > 0 {
				retries++
			}
		}
	}
	if burst := int(h.engine.retryBurstLimit()); retries < burst || retries > burst+200*retryRatio {
		t.Fatalf("%d retries of 200 failures", retries)
	}
}

// canSend enforces the rules on retries and hedges for any cache.
func TestCanSend(t *testing.T) {
	h := newTrafficHarness(t, 3, func(s *Settings) { s.HedgingAllowed = false })
	h.request(1, "read", 9)
	req, c := h.engine.requests[1], h.engine.inService[0]
	if h.engine.canSend(req, c) {
		t.Error("a hedge is possible though hedging is not allowed")
	}
	req.attempts[0].pending = false
	if !h.engine.canSend(req, c) {
		t.Error("a retry is not possible")
	}
	for _, state := range []EndpointState{Draining, Removed} {
		if c.State = state; h.engine.canSend(req, c) {
			t.Errorf("sent to a cache in state %d", state)
		}
	}
	c.State = InService
	req.streaming = true
	if h.engine.canSend(req, c) {
		t.Error("sent although the response has started")
	}
	// A non-idempotent request is never repeated, even if its class has a deduplication scope and a key TTL.
	class := &Class{Effect: NonIdempotent, DedupScope: ScopeAll, KeyTTL: 1e9}
	req = &request{Request: &Request{Deadline: h.now + 1e6}, class: class, attempts: []attempt{{cache: c, sentAt: h.now}}}
	if h.engine.canSend(req, c) || h.engine.canReject(req) {
		t.Error("a non-idempotent request that may have run was sent again or rejected")
	}
}

// It takes several failed health checks until a hung cache is unhealthy. Until then its late attempts are
// hedged. Late attempts at caches that answer others are not.
func TestOnlySilentCacheIsHedged(t *testing.T) {
	for _, silent := range []bool{true, false} {
		h := newTrafficHarness(t, 4, nil)
		s := h.request(1, "read", 9)
		h.advance(10 * ms)
		if !silent {
			h.engine.caches[s.Cache].lastReplyAt = h.engine.now
		}
		got := sendActions(h.advance(100 * ms))
		if silent != (len(got) == 1) {
			t.Errorf("silent %v: hedged with %v", silent, got)
		}
	}
	disableHedging := []func(*Settings){
		func(s *Settings) { s.HedgingAllowed = false },
		func(s *Settings) { s.MaxAttempts = 1 },
	}
	for _, change := range disableHedging {
		h := newTrafficHarness(t, 4, change)
		h.request(1, "read", 9)
		if got := sendActions(h.advance(150 * ms)); len(got) != 0 {
			t.Errorf("hedged where hedging is not possible: %v", got)
		}
	}
	h := newTrafficHarness(t, 4, nil)
	h.request(1, "once", 9)
	if got := sendActions(h.advance(150 * ms)); len(got) != 0 {
		t.Errorf("a non-idempotent request was hedged: %v", got)
	}
}

// Connection resets by the network must not use up the retry budget, which is meant for overload.
func TestConnectionResetsUseNoRetryBudget(t *testing.T) {
	h := newTrafficHarness(t, 8, nil)
	for id := range int64(100) {
		h.request(id+1, "read", uint64(id))
		if len(sendActions(h.finish(id+1, 0, ConnectionLost, false))) != 1 {
			t.Fatalf("connection reset %d was not followed by another attempt", id+1)
		}
		h.serve(id+1, 1)
	}
	h.engine.retryBudget = 0
	h.request(1000, "once", 7)
	if len(sendActions(h.finish(1000, 0, ConnectionLost, false))) != 0 {
		t.Fatal("a non-idempotent request that may have run was sent again")
	}
	if countFinalAnswers(h.actions) != 1 {
		t.Fatal("a non-idempotent request that may have run was not failed at once")
	}
}

// A retry at another cache would miss and load the origin. So the retry after one connection reset goes to
// the same cache.
func TestOneConnectionResetDoesNotMoveKey(t *testing.T) {
	h := newTrafficHarness(t, 8, nil)
	primary := h.request(1, "read", 42).Cache
	again := sendActions(h.finish(1, 0, ConnectionLost, false))
	if len(again) != 1 || again[0].Cache != primary {
		t.Fatalf("after one connection reset the request went to %v, not back to %s", again, primary)
	}
	other := sendActions(h.finish(1, 1, ConnectionLost, false))
	if len(other) != 1 || other[0].Cache == primary {
		t.Fatalf("after two connection resets at %s the request went to %v", primary, other)
	}
}

// A retry with an idempotency key must start before the key expires, counted from the first attempt that may
// have run. Other attempts have no StartBefore.
func TestRetryStartsBeforeDedupExpires(t *testing.T) {
	for class, keyed := range map[string]bool{"read": false, "all": true} {
		for result, ran := range map[Result]bool{ConnectionLost: true, ConnectFailed: false} {
			h := newEngineHarness(t, testSettings())
			h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(8)})
			sent := h.now
			if s := h.request(1, class, 5); s == nil || s.StartBefore != 0 {
				t.Fatalf("%s: first attempt %+v", class, s)
			}
			h.now += 10 * ms
			retries := sendActions(h.handle(&AttemptDone{ID: 1, Result: result}))
			if len(retries) == 0 {
				t.Errorf("%s after result %d: no retry", class, result)
				continue
			}
			retry := retries[len(retries)-1]
			want := Time(0)
			if keyed && ran {
				want = sent + 500*ms - dedupMargin
			}
			if retry.StartBefore != want {
				t.Errorf("%s after result %d: next attempt %+v, want it by %d", class, result, retry, want)
			}
		}
	}
}
