// Requests, from their arrival over the queue to the final answer.

package policy

import "slices"

const (
	maxQueueShare    = .4 // of the latency objective that a request may wait for capacity
	maxDispatchTries = 32 // queued requests without capacity that are looked at for one reply
)

var unknownClass = Class{Effect: NonIdempotent} // of requests whose class is not in the settings

// request is a request that lacks its final answer, or has attempts in flight.
type request struct {
	*Request
	class         *Class
	arrivedAt     Time
	attempts      []attempt
	done          bool // the final answer is given, or nobody waits for it
	queued        bool // it waits for capacity
	originLimited bool // ... of the origin
	streaming     bool // the answer has started
	spilledOver   bool // its primary lacked capacity when a cache was picked

	ranked        []*cache // of the first ranks for its key, as of rankedVersion
	rankedVersion int
}

func (e *Engine) handleRequest(ev *Request) {
	req := &request{Request: ev, class: e.classes[ev.Class], arrivedAt: e.now}
	if req.class == nil {
		req.class = &unknownClass
	}
	if !ev.HasKey {
		keyed := *ev // the event is the caller's
		keyed.Key = mix(uint64(ev.ID) ^ uint64(e.rng))
		req.Request = &keyed
	}
	e.requests[req.ID] = req
	if e.now < req.Deadline { // whatever else happens, this timer gives the final answer
		e.schedule(req.Deadline, func() { e.rejectOrFail(req) })
	}
	e.retryBudget = min(e.retryBudget+retryRatio, max(1, e.retryBurstLimit()))
	e.keyCounts.Add(req.Key)
	e.requestCounts.Add()
	e.requestsInInterval++
	if !e.canAnswerInTime(req) {
		e.rejectOrFail(req)
		return
	}
	if e.sparseTraffic() && hashToUnit(req.Key^e.salt) >= e.currentAdmission() {
		e.shedByCaches++
		e.rejectOrFail(req)
		return
	}
	e.healthCheckBudget += healthCheckCostShare / max(e.settings.HealthCheckCost, minHealthCheckCost)
	e.dispatch(req)
}

// dispatch sends a request to a cache, queues it for capacity, or answers it where neither is possible.
func (e *Engine) dispatch(req *request) {
	if e.countsAsRetry(req) && e.retryBudget < 1 {
		e.answerUnlessPending(req) // retries would feed the overload that caused them
		return
	}
	c, overloaded := e.pickCache(req)
	switch {
	case c != nil:
		e.sendAttempt(req, c)
	case overloaded && e.now < req.queueDeadline():
		e.enqueue(req)
	default:
		e.answerUnlessPending(req)
	}
}

func (e *Engine) answerUnlessPending(req *request) {
	if !slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.pending }) {
		e.rejectOrFail(req)
	}
}

// queueDeadline is when a queued request can no longer be served within its latency objective.
func (r *request) queueDeadline() Time {
	span := min(r.class.LatencyObjective, r.Deadline-r.arrivedAt)
	return r.arrivedAt + Time(maxQueueShare*float64(span))
}

// enqueue keeps a request until there is capacity, as an overloaded cache serves everything late.
func (e *Engine) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		e.queue = append(e.queue, req)
		e.schedule(req.queueDeadline(), func() { e.shedQueued(req) })
	}
}

// shedQueued gives up on a request that is still queued.
func (e *Engine) shedQueued(req *request) {
	if !req.queued || req.done {
		return
	}
	if req.originLimited {
		e.shedByOrigin++
	} else {
		e.shedByCaches++
	}
	e.dequeue(req)
	e.answerUnlessPending(req)
}

func (e *Engine) dequeue(req *request) {
	req.queued = false
	if i := slices.Index(e.queue, req); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
}

// dispatchQueued sends queued requests when there may be capacity again: the latest first, as in the order of
// arrival all would be late, and until a few find no capacity, as the queue may hold thousands.
func (e *Engine) dispatchQueued() {
	failed := 0
	for i := len(e.queue) - 1; i >= 0 && failed < maxDispatchTries; i-- {
		req := e.queue[i]
		if c, _ := e.pickCache(req); c != nil {
			e.dequeue(req)
			e.sendAttempt(req, c)
		} else {
			failed++
		}
	}
}

func (e *Engine) rejectOrFail(req *request) {
	if req.done || req.streaming {
		return
	}
	if e.canReject(req) {
		e.emit(Reject{ID: req.ID, RetryAfter: min(e.settings.MaxRetryAfter, req.class.LatencyObjective)})
	} else {
		e.emit(Fail{ID: req.ID})
	}
	e.finish(req)
}

// finish ends a request: it cancels its attempts in flight, and forgets it once there are none.
func (e *Engine) finish(req *request) {
	req.done = true
	if req.queued {
		e.dequeue(req)
	}
	inFlight := false
	for i := range req.attempts {
		a := &req.attempts[i]
		inFlight = inFlight || a.pending
		if a.pending && e.settings.CancelAllowed && !req.streaming && !a.cancelled {
			a.cancelled = true
			e.emit(Cancel{req.ID, i})
		}
	}
	if !inFlight {
		delete(e.requests, req.ID)
	}
}
