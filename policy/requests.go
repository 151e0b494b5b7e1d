// Requests, from their arrival to the final answer.

package policy

import "slices"

const (
	maxQueueShare    = .4 // of the aim that a request may wait for room
	maxDispatchTries = 32 // held requests without room that are looked at for one answer
)

var unknownClass = Class{Effect: NonIdempotent}

func (e *Engine) handleRequest(ev *Request) {
	q := &request{Request: ev, class: e.classes[ev.Class], arrivedAt: e.now}
	if q.class == nil {
		q.class = &unknownClass
	}
	if !q.HasKey {
		q.Request = &Request{}
		*q.Request = *ev
		q.Key = mix(uint64(ev.ID) ^ e.randomState)
	}
	e.requests[q.ID] = q
	if e.now < q.Deadline {
		// No request is lost: whatever else happens, this timer gives the final answer.
		e.schedule(q.Deadline, func() { e.rejectOrFail(q) })
	}
	e.retryBudget = min(e.retryBudget+retryRatio, max(1, e.retryBurstLimit()))
	e.keyCounts[0][q.Key]++
	e.requestCounts[0]++
	if e.sparseTraffic() && unitInterval(mix(q.Key^e.salt)) >= e.currentAdmission() {
		e.shedCounts[0]++
		e.rejectOrFail(q)
		return
	}
	e.healthCheckBudget += healthCheckCostShare / max(e.settings.HealthCheckCost, 1e-9)
	e.dispatch(q)
}

// dispatch sends a request on, holds it for room, or answers it when neither can be.
func (e *Engine) dispatch(q *request) {
	if e.countsAsRetry(q) && e.retryBudget < 1 {
		e.answerUnlessPending(q) // the danger: retries feed the overload that caused them
		return
	}
	c, crowded := e.pickCache(q)
	switch {
	case c != nil:
		e.sendAttempt(q, c)
	case crowded && e.now < q.queueDeadline():
		e.enqueue(q)
	default:
		e.answerUnlessPending(q)
	}
}

// answerUnlessPending answers a request unless an attempt is still out that may do so.
func (e *Engine) answerUnlessPending(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.pending }) {
		e.rejectOrFail(q)
	}
}

// queueDeadline is when a held request can no longer be served within its aim.
func (q *request) queueDeadline() Time {
	return q.arrivedAt + Time(maxQueueShare*float64(min(q.class.LatencyObjective, q.Deadline-q.arrivedAt)))
}

// enqueue keeps a request until a cache has room. The danger it answers: a crowded
// cache serves everything late, and late failures cost most.
func (e *Engine) enqueue(q *request) {
	if !q.queued {
		q.queued = true
		e.queue = append(e.queue, q)
		e.schedule(q.queueDeadline(), func() {
			if q.queued && !q.done {
				e.shedCounts[boolToInt(q.originLimited)]++
				e.dequeue(q)
				e.answerUnlessPending(q)
			}
		})
	}
}

func (e *Engine) dequeue(q *request) {
	q.queued = false
	if i := slices.Index(e.queue, q); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
}

// dispatchQueued sends held requests on when there is room again, the latest first: the danger of
// the fair order is that in overload each one waits until it is too late.
func (e *Engine) dispatchQueued() {
	failed := 0
	for i := len(e.queue) - 1; i >= 0 && failed < maxDispatchTries; i-- {
		q := e.queue[i]
		if c, _ := e.pickCache(q); c == nil {
			failed++ // the danger: with thousands held, trying all at each answer takes seconds
		} else {
			e.dequeue(q)
			e.sendAttempt(q, c)
		}
	}
}

func (e *Engine) sendAttempt(q *request, c *cache) {
	if e.countsAsRetry(q) || len(q.attempts) == 0 && q.spilledOver && !e.originHasCapacity() && !c.likelyCached(q.Key) {
		e.retryBudget--
	}
	q.attempts = append(q.attempts, attempt{cache: c, sentAt: e.now, pending: true, likelyMiss: e.isLikelyMiss(q, c)})
	n := len(q.attempts) - 1
	c.inFlight++
	c.attemptsSent++
	e.attemptsSent++
	c.recentAttempts = e.recentAttemptCount(c) + 1
	c.lastSentAt = e.now
	if q.attempts[n].likelyMiss {
		e.missesInFlight++
	}
	if c.connectFailures >= connectFailureThreshold {
		e.delayHalfOpen(c)
	}
	if c.zone.connectFailures >= zoneFailureThreshold {
		c.zone.halfOpenAt = e.now + e.settings.WarmupTime/4 // the trial is one request
	}
	e.emit(Send{ID: q.ID, Cache: c.ID, Deadline: q.Deadline, StartBefore: q.repeatDeadline(n)})
	if e.sparseTraffic() {
		e.schedule(min(e.now+q.class.LatencyObjective, q.Deadline-1), func() {
			a := &q.attempts[n]
			if a.pending && !(a.likelyMiss && e.lastTimelyHitAt > a.sentAt && e.fleetWarmingUp()) {
				e.updateAdmission(false)
			}
		})
	}
	e.schedule(e.now+e.latencyThresholdAt(c, q.class), func() {
		if a := &q.attempts[n]; a.pending {
			a.cache.suspect = a.cache.suspect || a.cache.lastReplyAt <= a.sentAt
			e.attemptOverdue(q, n)
			e.hedge(q, n)
		}
	})
}

// latencyThreshold is how long an attempt may take before it counts as overdue.
func (c *Class) latencyThreshold() Time { return max(c.LatencyObjective/2, 1) }

// latencyThresholdAt is the same at one cache: a slow one may take twice what its quicker hits take. The danger: its
// hits take half of the aim with nothing else to do, and its limit falls until it does next to nothing.
func (e *Engine) latencyThresholdAt(c *cache, class *Class) Time {
	if e.sparseTraffic() {
		return class.latencyThreshold() // it hears too little of one cache to know
	}
	return max(class.latencyThreshold(), min(Time(slowHitFactor*c.hitLatency), Time(maxThresholdShare*float64(class.LatencyObjective))))
}

// rejectOrFail gives the final answer, once.
func (e *Engine) rejectOrFail(q *request) {
	if q.done || q.streaming {
		return
	}
	if e.canReject(q) {
		e.emit(Reject{ID: q.ID, RetryAfter: min(e.settings.MaxRetryAfter, q.class.LatencyObjective)})
	} else {
		e.emit(Fail{ID: q.ID})
	}
	e.finish(q)
}

// finish stops what is still out for a request that is over.
func (e *Engine) finish(q *request) {
	q.done = true
	if q.queued {
		e.dequeue(q)
	}
	out := false
	for i := range q.attempts {
		if a := &q.attempts[i]; a.pending {
			out = true
			if e.settings.CancelAllowed && !q.streaming && !a.cancelled {
				a.cancelled = true
				e.emit(Cancel{q.ID, i})
			}
		}
	}
	if !out {
		delete(e.requests, q.ID)
	}
}

func (e *Engine) attemptDone(ev *AttemptDone) {
	q := e.requests[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].pending {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.pending, a.neverRan = false, ev.Result.NeverRan()
	a.cache.inFlight--
	e.updateGoodput(a, q, ev.Result)
	if took := e.now - a.sentAt; ev.Result == Rejected {
		e.spendTime(a.cache, max(took, e.latencyThreshold)) // a refusal comes at once, and so would the next attempt
	} else {
		e.spendTime(a.cache, took)
	}
	if a.likelyMiss {
		e.missesInFlight--
	}
	if ev.Result == Served || ev.Result == ServerError || ev.Result == Rejected {
		a.cache.lastReplyAt = e.now
		if a.cache.ejected && ev.Result == Served {
			a.cache.ejected = false
			a.cache.concurrencyLimit = max(a.cache.concurrencyLimit, e.initialLimit(a.cache)/2) // half, lest all come back at once
		}
		e.noteConnect(a.cache, true)
	} else if ev.Result == ConnectFailed {
		a.connectFailed = true
		e.noteConnect(a.cache, false)
	}
	if e.sparseTraffic() && ev.Result == Served && e.now < a.sentAt+q.class.LatencyObjective {
		e.updateAdmission(true)
	}
	a.connectionReset = ev.Result == ConnectionLost
	a.cache.suspect = a.cache.suspect || a.connectionReset || ev.Result == ServerError || ev.Result == ConnectFailed
	// A refusal speaks of crowding only where more is out than any cache is trusted with at first. The
	// danger: one that stands still now and then loses its whole part of the work for good.
	crowd := ev.Result == Rejected && float64(a.cache.inFlight+1) > e.initialLimit(a.cache)
	a.rejectedWhileIdle = ev.Result == Rejected && !crowd
	if a.cache.inFlight == 0 && e.shouldCloseIdle(a.cache) {
		e.emit(CloseIdleConnections{a.cache.ID})
	}
	good := ev.Result == Served && e.now-a.sentAt < e.latencyThresholdAt(a.cache, q.class)
	if e.sparseTraffic() && ev.Result == Served && ev.Miss {
		// The danger: where nearly half are misses, a limit can hardly rise, as the origin takes their time.
		good = e.now-a.sentAt < e.missLatencyLimit(q, a.cache)
	}
	if good && !ev.Miss {
		e.lastTimelyHitAt = e.now
	}
	if good && !a.likelyMiss {
		a.cache.lastHitOnTime = true
	}
	fetched := ev.Result == Served && a.likelyMiss && e.now-a.sentAt < e.missLatencyLimit(q, a.cache)
	if fetched && ev.Miss {
		e.lastOriginReplyAt = e.now
	}
	if ev.Result == ServerError || fetched && float64(e.missesInFlight+1) > e.originLimit/2 {
		e.adjustLimit(&e.originLimit, fetched, toleratedOriginLateShare)
		e.originLimit = max(1, e.originLimit)
	}
	if crowd || ev.Result == ConnectFailed || good && float64(a.cache.inFlight+1) > a.cache.concurrencyLimit/2 {
		e.adjustAllLimits(good)
		e.adjustLimit(&a.cache.concurrencyLimit, good, toleratedLateShare)
	} else if ev.Result == Served && a.cache.concurrencyLimit < e.routerShare() && e.now-a.sentAt < q.class.LatencyObjective {
		e.adjustLimit(&a.cache.concurrencyLimit, true, toleratedLateShare)
	}
	if a.likelyMiss && (ev.Result == Served || ev.Result == ServerError) {
		e.missRatio -= e.missRatio / missRatioWindow
		if ev.Miss || ev.Result == ServerError {
			e.missRatio += 1.0 / missRatioWindow
		}
	}
	if ev.Result == Served && !ev.Miss {
		a.cache.updateHitLatency(float64(e.now - a.sentAt))
	}
	if ev.Result == Served {
		a.cache.recentKeys[0][q.Key] = true
	}
	defer e.dispatchQueued()
	if ev.Final || q.done {
		e.finish(q)
		return
	}
	if e.now >= q.Deadline {
		e.rejectOrFail(q) // the danger: the time-out at the deadline still owes the answer
		return
	}
	e.dispatch(q)
}
