// Attempts: sending them to caches, and updating the state of the cache and the origin from their results.

package policy

// attempt is one attempt of a request.
type attempt struct {
	cache           *cache
	sentAt          Time
	likelyMiss      bool // it is a read, and the cache was not known to have the key
	pending         bool // it has not ended yet
	cancelled       bool // a Cancel was sent for it
	neverRan        bool // its result proves that the cache did not carry it out
	connectionReset bool // the connection was lost before the reply was complete
	freeRetry       bool // a retry uses no budget: the network failed, or the cache rejected at low load
}

// outcome is the result of an attempt, with its evaluation by this router.
type outcome struct {
	*AttemptDone
	request         *request
	attempt         *attempt
	latency         Time // as measured by this router
	withinObjective bool // it was served within the latency objective
	timely          bool // it was served before it counted as overdue
	missInTime      bool // a likely miss was served before it counted against the origin
	overloaded      bool // it was rejected for overload
}

// sendAttempt sends the next attempt of a request to the cache.
func (e *Engine) sendAttempt(req *request, c *cache) {
	n := len(req.attempts)
	spilled := n == 0 && req.spilledOver && !c.likelyCached(req.Key)
	if e.countsAsRetry(req) || spilled && !e.originHasCapacity() {
		e.retryBudget--
	}
	likelyMiss := req.likelyMissAt(c)
	req.attempts = append(req.attempts, attempt{cache: c, sentAt: e.now, pending: true, likelyMiss: likelyMiss})
	if likelyMiss {
		e.missesInFlight++
	}
	c.inFlight++
	c.attemptsSent++
	e.attemptsSent++
	e.updateRecentAttempts(c, func() { c.recentAttempts.Add(e.now, e.settings.OverloadTime) })
	c.lastSentAt = e.now
	if c.connectFailures >= connectFailureThreshold {
		e.postponeTrial(c)
	}
	c.zone.halfOpenAt = e.zoneTrialTime()
	e.emit(Send{ID: req.ID, Attempt: n, Cache: c.ID, Deadline: req.Deadline, StartBefore: req.startDeadline(n)})
	e.scheduleAttemptTimers(req, n)
}

// scheduleAttemptTimers sets the timers by which attempt n counts as late or overdue.
func (e *Engine) scheduleAttemptTimers(req *request, n int) {
	if e.sparseTraffic {
		e.scheduleFor(req, min(e.now+req.class.LatencyObjective, req.Deadline-1), func() {
			a := &req.attempts[n]
			exempt := a.likelyMiss && e.lastTimelyHitAt > a.sentAt && e.fleetWarmingUp()
			if a.pending && !exempt {
				e.updateAdmission(false)
			}
		})
	}
	e.scheduleFor(req, e.now+e.latencyThresholdAt(req.attempts[n].cache, req.class), func() {
		if a := &req.attempts[n]; a.pending {
			a.cache.suspect = a.cache.suspect || a.cache.lastReplyAt <= a.sentAt
			e.handleOverdueAttempt(req, n)
			e.hedge(req, n)
		}
	})
}

// handleAttemptDone handles the end of an attempt.
func (e *Engine) handleAttemptDone(ev *AttemptDone) {
	req := e.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].pending {
		return
	}
	o := e.evaluate(req, ev)
	e.recordResult(&o)
	if c := o.attempt.cache; c.inFlight == 0 && e.shouldCloseIdle(c) {
		e.emit(CloseIdleConnections{c.ID})
	}
	e.updateLimits(&o)
	if ev.Result == Served {
		e.recordServed(&o)
	}
	switch {
	case ev.Final || req.done:
		e.finish(req)
	case e.now >= req.Deadline:
		e.rejectOrFail(req) // an attempt that timed out at the deadline gave no final answer
	default:
		e.dispatch(req)
	}
	e.dispatchQueued()
}

// evaluate determines the outcome of an attempt from its result and its latency.
func (e *Engine) evaluate(req *request, ev *AttemptDone) outcome {
	a := &req.attempts[ev.Attempt]
	o := outcome{AttemptDone: ev, request: req, attempt: a, latency: e.now - a.sentAt}
	missLimit := e.missLatencyLimit(req, a.cache)
	limit := e.latencyThresholdAt(a.cache, req.class)
	if e.sparseTraffic && ev.Miss {
		limit = missLimit // otherwise limits could hardly rise where nearly half of the attempts are misses
	}
	o.withinObjective = ev.Result == Served && o.latency < req.class.LatencyObjective
	o.timely = ev.Result == Served && o.latency < limit
	o.missInTime = ev.Result == Served && a.likelyMiss && o.latency < missLimit
	// With fewer attempts in flight, a rejection is no sign of overload. If it counted as one, a cache that
	// pauses would never regain its traffic.
	o.overloaded = ev.Result == Rejected && float64(a.cache.inFlight) > e.initialLimit(a.cache)
	return o
}

// recordResult records the end of an attempt and signs of a fault of the cache, and releases its capacity.
func (e *Engine) recordResult(o *outcome) {
	a, c := o.attempt, o.attempt.cache
	a.pending, a.neverRan = false, o.Result.NeverRan()
	a.connectionReset = o.Result == ConnectionLost
	networkFault := a.connectionReset || o.Result == ConnectFailed
	a.freeRetry = networkFault || o.Result == Rejected && !o.overloaded
	c.suspect = c.suspect || networkFault || o.Result == ServerError
	c.inFlight--
	if a.likelyMiss {
		e.missesInFlight--
	}
	e.updateGoodput(a, o.request, o.Result)
	spent := o.latency
	if o.Result == Rejected {
		e.updateRecentAttempts(c, func() { c.recentRejections.Add(e.now, e.settings.OverloadTime) })
		spent = max(spent, e.latencyThreshold) // otherwise the next attempt would follow a quick rejection at once
	}
	c.timeTokens, c.timeTokensAt = e.availableTimeTokens(c)-float64(spent), e.now
	switch o.Result {
	case Served, ServerError, Rejected:
		c.lastReplyAt = e.now
		e.recordConnect(c, true)
	case ConnectFailed:
		e.recordConnect(c, false)
	}
	if c.ejected && o.Result == Served {
		c.ejected = false
		// Only half of the initial limit, as all routers return at the same time.
		c.concurrencyLimit = max(c.concurrencyLimit, e.initialLimit(c)/2)
	}
}

// updateLimits lowers the limits of the origin and the caches in overload, and raises limits that are in use.
func (e *Engine) updateLimits(o *outcome) {
	c := o.attempt.cache
	failed := o.Result == ServerError
	if failed || o.missInTime && float64(e.missesInFlight+1) > e.originLimit/2 {
		e.adjustOriginLimit(o.missInTime)
	}
	if o.overloaded || o.Result == ConnectFailed || o.timely && float64(c.inFlight+1) > c.concurrencyLimit/2 {
		e.adjustAllLimits(o.timely)
		e.adjustCacheLimit(c, o.timely)
	} else if o.withinObjective && c.concurrencyLimit < e.routerShare {
		e.adjustCacheLimit(c, true)
	}
	if o.attempt.likelyMiss && (o.Result == Served || failed) {
		e.missRatio -= e.missRatio / missRatioWindow
		if o.Miss || failed {
			e.missRatio += 1.0 / missRatioWindow
		}
	}
}

// recordServed updates the state of the cache and the engine after an attempt that was served.
func (e *Engine) recordServed(o *outcome) {
	c := o.attempt.cache
	c.recentKeys.AddUpTo(e.maxKeysPerCache(), o.request.Key)
	if e.sparseTraffic && o.withinObjective {
		e.updateAdmission(true)
	}
	if !o.Miss {
		c.hitLatency.Add(float64(o.latency), hitLatencyQuantile)
	}
	if o.timely && !o.Miss {
		e.lastTimelyHitAt = e.now
	}
	c.lastLikelyHitInTime = c.lastLikelyHitInTime || o.timely && !o.attempt.likelyMiss
	if o.missInTime && o.Miss {
		e.lastOriginReplyAt = e.now
	}
}
