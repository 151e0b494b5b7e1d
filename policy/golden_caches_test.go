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

// goldenCache is a simulated cache server.
type goldenCache struct {
	listed        policy.Endpoint // its entry in the endpoint list
	nominalWeight float64         // weight without load
	storedKeys    map[uint64]bool
	inFlight      int
	fault         goldenFault
	slowdown      float64 // factor of its service time
}

// goldenRequest is a request that was given to the engine.
type goldenRequest struct {
	id        int64
	key       uint64
	deadline  policy.Time
	streaming bool
	done      bool
	attempts  []*goldenAttempt
}

// goldenAttempt is an attempt that the engine has sent.
type goldenAttempt struct {
	cache   *goldenCache
	sentAt  policy.Time
	pending bool
}

// addCache adds a random cache server to the endpoint list.
func (t *goldenTimeline) addCache(id string) *goldenCache {
	cache := &goldenCache{nominalWeight: []float64{1, 1, 2, 0.5}[t.rng.IntN(4)], storedKeys: map[uint64]bool{}, slowdown: 1}
	cache.listed = policy.Endpoint{
		ID:     id,
		Zone:   string(rune('a' + t.rng.IntN(3))),
		Group:  t.rng.IntN(4),
		Weight: cache.nominalWeight,
	}
	if t.rng.IntN(4) == 0 {
		cache.listed.StartedAt = t.now - policy.Time(t.rng.IntN(10_000))*millisecond
	}
	t.caches = append(t.caches, cache)
	t.byID[id] = cache
	return cache
}

// startAttempt simulates an attempt at a cache server.
func (t *goldenTimeline) startAttempt(a policy.Send) {
	t.totals.sends++
	request, cache := t.requests[a.ID], t.byID[a.Cache]
	for _, earlier := range request.attempts {
		if earlier.pending {
			t.totals.hedges++
			break
		}
	}
	index := len(request.attempts)
	request.attempts = append(request.attempts, &goldenAttempt{cache: cache, sentAt: t.now, pending: true})
	cache.inFlight++
	result, took, miss := t.outcome(request, cache)
	if took < 0 || t.now+policy.Time(took) >= a.Deadline {
		t.at(a.Deadline, func() { t.finishAttempt(request, index, policy.TimedOut, false) })
		return
	}
	if request.streaming && result == policy.Served {
		t.after(took/2, func() {
			if request.attempts[index].pending && !request.done {
				t.handle(&policy.ResponseStarted{ID: request.id, Attempt: index})
			}
		})
	}
	t.after(took, func() { t.finishAttempt(request, index, result, miss) })
}

// outcome draws the result of an attempt and the time that it takes; a negative time means that no reply comes.
func (t *goldenTimeline) outcome(
	request *goldenRequest, cache *goldenCache,
) (result policy.Result, took float64, miss bool) {
	shortTime := float64(millisecond)
	if result, took, failed := t.faultOutcome(cache.fault); failed {
		return result, took, false
	}
	if cache.listed.State != policy.InService || cache.inFlight > 12 {
		return policy.Rejected, shortTime, false
	}
	switch t.rng.IntN(300) {
	case 0:
		return policy.NotStored, shortTime, false
	case 1:
		return policy.NotSent, shortTime, false
	case 2:
		return policy.ConnectionLost, shortTime, false
	}
	took = (0.2 + t.rng.ExpFloat64()) * t.meanHitTime * cache.slowdown * (1 + float64(cache.inFlight)/4)
	if miss = !cache.storedKeys[request.key]; miss {
		took += (0.5 + t.rng.ExpFloat64()) * t.meanOriginTime
		if t.originDown {
			took += 5 * t.meanOriginTime
			if t.rng.IntN(3) == 0 {
				return policy.ServerError, took, false
			}
		}
	}
	return policy.Served, took, miss
}

// faultOutcome draws the result of an attempt at a cache server with a fault and the time that it takes.
// failed is false if the fault does not affect the attempt.
func (t *goldenTimeline) faultOutcome(fault goldenFault) (result policy.Result, took float64, failed bool) {
	shortTime := float64(millisecond)
	switch fault {
	case faultHang:
		return policy.TimedOut, -1, true
	case faultUnreachable:
		return policy.ConnectFailed, shortTime * float64(1+t.rng.IntN(250)), true
	case faultReset:
		return policy.ConnectionLost, shortTime * float64(1+t.rng.IntN(50)), true
	case faultErrors:
		return policy.ServerError, shortTime * float64(1+t.rng.IntN(50)), true
	case faultReject:
		return policy.Rejected, shortTime, true
	}
	return policy.Served, 0, false
}

// finishAttempt ends an attempt, unless it has ended before.
func (t *goldenTimeline) finishAttempt(request *goldenRequest, index int, result policy.Result, miss bool) {
	attempt := request.attempts[index]
	if !attempt.pending {
		return
	}
	attempt.pending = false
	attempt.cache.inFlight--
	if result == policy.Served {
		request.done = true
		attempt.cache.storedKeys[request.key] = true
	}
	if miss {
		t.totals.misses++
	}
	t.handle(&policy.AttemptDone{ID: request.id, Attempt: index, Result: result, Elapsed: t.now - attempt.sentAt,
		Final: request.done, Miss: miss, Load: policy.LoadReport{Utilization: t.rng.Float64(), ErrorRate: t.rng.Float64()}})
}

// checkHealth simulates a health check.
func (t *goldenTimeline) checkHealth(cache *goldenCache) {
	sent := t.now
	result, took := policy.Served, t.rng.ExpFloat64()*t.meanHitTime*cache.slowdown
	switch cache.fault {
	case faultHang:
		return // the engine has its own timer for checks without a reply
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
