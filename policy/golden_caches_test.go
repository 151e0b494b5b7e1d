package policy_test

import "marlstage/policy"

// goldenFault is a temporary fault of a cache server.
type goldenFault int

const (
	faultNone goldenFault = iota
	faultHang
	faultSlow
	faultUnreachable
	faultReset
	faultErrors
	faultReject
	goldenFaultCount
)

// goldenCache is a cache server of a timeline.
type goldenCache struct {
	listed   policy.Endpoint // as it is in the endpoint list
	nominal  float64         // weight without load
	stored   map[uint64]bool
	inFlight int
	fault    goldenFault
	slowdown float64 // factor of its service time
}

// goldenRequest is a request that the engine has got.
type goldenRequest struct {
	id        int64
	key       uint64
	deadline  policy.Time
	streaming bool
	over      bool
	attempts  []*goldenAttempt
}

// goldenAttempt is an attempt that the engine has sent.
type goldenAttempt struct {
	cache   *goldenCache
	sent    policy.Time
	pending bool
}

// addCache adds a random cache server to the endpoint list.
func (t *goldenTimeline) addCache(id string) *goldenCache {
	cache := &goldenCache{nominal: []float64{1, 1, 2, 0.5}[t.rng.IntN(4)], stored: map[uint64]bool{}, slowdown: 1}
	cache.listed = policy.Endpoint{
		ID:     id,
		Zone:   string(rune('a' + t.rng.IntN(3))),
		Group:  t.rng.IntN(4),
		Weight: cache.nominal,
	}
	if t.rng.IntN(4) == 0 {
		cache.listed.StartedAt = t.now - policy.Time(t.rng.IntN(10_000))*millisecond
	}
	t.caches = append(t.caches, cache)
	t.byID[id] = cache
	return cache
}

// send plays an attempt at a cache server.
func (t *goldenTimeline) send(a policy.Send) {
	t.totals.sends++
	request, cache := t.requests[a.ID], t.byID[a.Cache]
	for _, earlier := range request.attempts {
		if earlier.pending {
			t.totals.hedges++
			break
		}
	}
	number := len(request.attempts)
	request.attempts = append(request.attempts, &goldenAttempt{cache: cache, sent: t.now, pending: true})
	cache.inFlight++
	result, took, miss := t.outcome(request, cache)
	if took < 0 || t.now+policy.Time(took) >= a.Deadline {
		t.at(a.Deadline, func() { t.end(request, number, policy.TimedOut, false) })
		return
	}
	if request.streaming && result == policy.Served {
		t.after(took/2, func() {
			if request.attempts[number].pending && !request.over {
				t.handle(&policy.ResponseStarted{ID: request.id, Attempt: number})
			}
		})
	}
	t.after(took, func() { t.end(request, number, result, miss) })
}

// outcome draws how an attempt ends and when; a negative time stands for no answer.
func (t *goldenTimeline) outcome(
	request *goldenRequest, cache *goldenCache,
) (result policy.Result, took float64, miss bool) {
	fast := float64(millisecond)
	if result, took, failed := t.faultOutcome(cache.fault); failed {
		return result, took, false
	}
	if cache.listed.State != policy.InService || cache.inFlight > 12 {
		return policy.Rejected, fast, false
	}
	switch t.rng.IntN(300) {
	case 0:
		return policy.NotStored, fast, false
	case 1:
		return policy.NotSent, fast, false
	case 2:
		return policy.ConnectionLost, fast, false
	}
	took = (0.2 + t.rng.ExpFloat64()) * t.service * cache.slowdown * (1 + float64(cache.inFlight)/4)
	if miss = !cache.stored[request.key]; miss {
		took += (0.5 + t.rng.ExpFloat64()) * t.missTime
		if t.originDown {
			took += 5 * t.missTime
			if t.rng.IntN(3) == 0 {
				return policy.ServerError, took, false
			}
		}
	}
	return policy.Served, took, miss
}

// faultOutcome draws how an attempt at a cache server with a fault ends; failed is false where it is not affected.
func (t *goldenTimeline) faultOutcome(fault goldenFault) (result policy.Result, took float64, failed bool) {
	fast := float64(millisecond)
	switch fault {
	case faultHang:
		return policy.TimedOut, -1, true
	case faultUnreachable:
		return policy.ConnectFailed, fast * float64(1+t.rng.IntN(250)), true
	case faultReset:
		return policy.ConnectionLost, fast * float64(1+t.rng.IntN(50)), true
	case faultErrors:
		return policy.ServerError, fast * float64(1+t.rng.IntN(50)), true
	case faultReject:
		return policy.Rejected, fast, true
	}
	return policy.Served, 0, false
}

// end ends an attempt, unless it has ended.
func (t *goldenTimeline) end(request *goldenRequest, number int, result policy.Result, miss bool) {
	attempt := request.attempts[number]
	if !attempt.pending {
		return
	}
	attempt.pending = false
	attempt.cache.inFlight--
	if result == policy.Served {
		request.over = true
		attempt.cache.stored[request.key] = true
	}
	if miss {
		t.totals.misses++
	}
	t.handle(&policy.AttemptDone{ID: request.id, Attempt: number, Result: result, Elapsed: t.now - attempt.sent,
		Final: request.over, Miss: miss, Load: policy.LoadReport{Utilization: t.rng.Float64(), ErrorRate: t.rng.Float64()}})
}

// check plays a health check.
func (t *goldenTimeline) check(cache *goldenCache) {
	sent := t.now
	result, took := policy.Served, t.rng.ExpFloat64()*t.service*cache.slowdown
	switch cache.fault {
	case faultHang:
		return // the engine counts it by a timer of its own
	case faultUnreachable:
		result = policy.ConnectFailed
	case faultReset:
		result = policy.ConnectionLost
	case faultErrors:
		result = policy.ServerError
	}
	if t.rng.IntN(50) == 0 {
		result = policy.NotSent
	}
	t.after(took, func() {
		t.handle(&policy.HealthCheckDone{
			Cache:   cache.listed.ID,
			Result:  result,
			Elapsed: t.now - sent,
			Load:    policy.LoadReport{Utilization: 0.5},
		})
	})
}
