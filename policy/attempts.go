// Attempts: sending one to a cache, and what its end teaches about the cache and the origin.

package policy

type attempt struct {
	cache           *cache
	sentAt          Time
	likelyMiss      bool // the cache was not known to have the key
	pending         bool
	cancelled       bool
	neverRan        bool
	connectionReset bool // before the reply was complete
	harmless        bool // it ended by a network fault, or was rejected while this router's load was low
}

// outcome is how an attempt ended, and what this router makes of that.
type outcome struct {
	*AttemptDone
	request     *request
	attempt     *attempt
	latency     Time // as measured by this router
	inObjective bool // it was served within the latency objective
	timely      bool // it was served before it counted as overdue
	fetched     bool // a likely miss was served before it counted against the origin
	overloaded  bool // it was rejected for overload
}

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
	e.changeRecent(c, func() { c.recentAttempts.Add(e.now, e.settings.OverloadTime) })
	c.lastSentAt = e.now
	if c.connectFailures >= connectFailureThreshold {
		e.delayTrial(c)
	}
	c.zone.halfOpenAt = e.zoneTrialAt()
	e.emit(Send{ID: req.ID, Cache: c.ID, Deadline: req.Deadline, StartBefore: req.repeatDeadline(n)})
	e.watchAttempt(req, n)
}

func (e *Engine) watchAttempt(req *request, n int) {
	if e.sparseTraffic() {
		e.schedule(min(e.now+req.class.LatencyObjective, req.Deadline-1), func() {
			a := &req.attempts[n]
			excused := a.likelyMiss && e.lastTimelyHitAt > a.sentAt && e.fleetWarmingUp()
			if a.pending && !excused {
				e.updateAdmission(false)
			}
		})
	}
	e.schedule(e.now+e.latencyThresholdAt(req.attempts[n].cache, req.class), func() {
		if a := &req.attempts[n]; a.pending {
			a.cache.suspect = a.cache.suspect || a.cache.lastReplyAt <= a.sentAt
			e.attemptOverdue(req, n)
			e.hedge(req, n)
		}
	})
}

func (e *Engine) attemptDone(ev *AttemptDone) {
	req := e.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].pending {
		return
	}
	o := e.judge(req, ev)
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
		e.rejectOrFail(req) // an attempt that timed out at the deadline is no final answer
	default:
		e.dispatch(req)
	}
	e.dispatchQueued()
}

func (e *Engine) judge(req *request, ev *AttemptDone) outcome {
	a := &req.attempts[ev.Attempt]
	o := outcome{AttemptDone: ev, request: req, attempt: a, latency: e.now - a.sentAt}
	missLimit := e.missLatencyLimit(req, a.cache)
	limit := e.latencyThresholdAt(a.cache, req.class)
	if e.sparseTraffic() && ev.Miss {
		limit = missLimit // where nearly half are misses, limits could else hardly rise
	}
	o.inObjective = ev.Result == Served && o.latency < req.class.LatencyObjective
	o.timely = ev.Result == Served && o.latency < limit
	o.fetched = ev.Result == Served && a.likelyMiss && o.latency < missLimit
	// With fewer in flight it is no sign of overload: a cache that pauses would lose its traffic for good.
	o.overloaded = ev.Result == Rejected && float64(a.cache.inFlight) > e.initialLimit(a.cache)
	return o
}

// recordResult notes how the attempt ended and whether the cache is at fault, and releases what it took.
func (e *Engine) recordResult(o *outcome) {
	a, c := o.attempt, o.attempt.cache
	a.pending, a.neverRan = false, o.Result.NeverRan()
	a.connectionReset = o.Result == ConnectionLost
	networkFault := a.connectionReset || o.Result == ConnectFailed
	a.harmless = networkFault || o.Result == Rejected && !o.overloaded
	c.suspect = c.suspect || networkFault || o.Result == ServerError
	c.inFlight--
	if a.likelyMiss {
		e.missesInFlight--
	}
	e.updateGoodput(a, o.request, o.Result)
	spent := o.latency
	if o.Result == Rejected {
		e.changeRecent(c, func() { c.recentRejections.Add(e.now, e.settings.OverloadTime) })
		spent = max(spent, e.latencyThreshold) // a rejection comes at once, and so would the next attempt
	}
	c.timeTokens, c.timeTokensAt = e.availableTime(c)-float64(spent), e.now
	switch o.Result {
	case Served, ServerError, Rejected:
		c.lastReplyAt = e.now
		e.noteConnect(c, true)
	case ConnectFailed:
		e.noteConnect(c, false)
	}
	if c.ejected && o.Result == Served {
		c.ejected = false
		c.concurrencyLimit = max(c.concurrencyLimit, e.initialLimit(c)/2) // half, as all routers return
	}
}

// updateLimits moves the limits of the origin and the caches: down on overload, up where they are in use.
func (e *Engine) updateLimits(o *outcome) {
	c := o.attempt.cache
	failed := o.Result == ServerError
	if failed || o.fetched && float64(e.missesInFlight+1) > e.originLimit/2 {
		e.adjustOriginLimit(o.fetched)
	}
	if o.overloaded || o.Result == ConnectFailed || o.timely && float64(c.inFlight+1) > c.concurrencyLimit/2 {
		e.adjustAllLimits(o.timely)
		e.adjustCacheLimit(c, o.timely)
	} else if o.inObjective && c.concurrencyLimit < e.routerShare() {
		e.adjustCacheLimit(c, true)
	}
	if o.attempt.likelyMiss && (o.Result == Served || failed) {
		e.missRatio -= e.missRatio / missRatioWindow
		if o.Miss || failed {
			e.missRatio += 1.0 / missRatioWindow
		}
	}
}

func (e *Engine) recordServed(o *outcome) {
	c := o.attempt.cache
	c.recentKeys.Add(o.request.Key)
	if e.sparseTraffic() && o.inObjective {
		e.updateAdmission(true)
	}
	if !o.Miss {
		c.hitLatency.Add(float64(o.latency), hitLatencyQuantile)
	}
	if o.timely && !o.Miss {
		e.lastTimelyHitAt = e.now
	}
	c.lastHitOnTime = c.lastHitOnTime || o.timely && !o.attempt.likelyMiss
	if o.fetched && o.Miss {
		e.lastOriginReplyAt = e.now
	}
}
