// Requests, from their arrival to the final answer, and the queue of those that wait for capacity.

package policy

import "slices"

const (
	maxQueueShare    = .4 // share of the latency objective that a request may wait for capacity
	maxDispatchTries = 32 // queued requests that may find no capacity before a dispatch of the queue ends
)

// unknownClass is the class of requests whose class is not in the settings.
var unknownClass = Class{Effect: NonIdempotent}

// request is the state of a request that has no final answer yet, or still has attempts in flight.
type request struct {
	*Request
	class         *Class
	arrivedAt     Time
	attempts      []attempt
	done          bool // it has a final answer, or its client has gone
	queued        bool // it waits for capacity
	originLimited bool // the capacity that it lacked was that of the origin
	streaming     bool // the response has begun to reach the client
	spilledOver   bool // a cache considered before the selected one lacked capacity, its own or the origin's

	ranked        []*cache // the caches of the first ranks for its key, as of rankedVersion
	rankedVersion int
	timers        []int64 // tokens of the timers that have an effect only while the request exists
}

// handleRequest handles the arrival of a request.
func (e *Engine) handleRequest(ev *Request) {
	req := &request{Request: ev, class: e.classes[ev.Class], arrivedAt: e.now}
	if req.class == nil {
		req.class = &unknownClass
	}
	if !ev.HasKey {
		keyed := *ev // a copy, as the event belongs to the caller
		keyed.Key = mix(uint64(ev.ID) ^ uint64(e.rng))
		req.Request = &keyed
	}
	e.requests[req.ID] = req
	if e.now < req.Deadline { // ensures a final answer in any case
		e.scheduleFor(req, req.Deadline, func() { e.rejectOrFail(req) })
	}
	e.retryBudget = min(e.retryBudget+retryRatio, max(1, e.retryBurstLimit()))
	e.keyCounts.AddUpTo(e.settings.MaxTrackedKeys, req.Key)
	e.requestCounts.Add()
	e.requestsInInterval++
	if !e.canAnswerInTime(req) {
		e.rejectOrFail(req)
		return
	}
	if e.sparseTraffic && hashToUnit(req.Key^e.salt) >= e.currentAdmission() {
		e.shedCacheFull++
		e.rejectOrFail(req)
		return
	}
	e.healthCheckBudget += healthCheckCostShare / max(e.settings.HealthCheckCost, minHealthCheckCost)
	e.dispatch(req)
}

// dispatch sends a request to a cache, or queues it if only capacity is lacking. If neither is possible and
// no attempt is pending, it gives the final answer.
func (e *Engine) dispatch(req *request) {
	if e.countsAsRetry(req) && e.retryBudget < 1 {
		e.answerUnlessPending(req) // retries would add to the overload that caused them
		return
	}
	c, lacksCapacity := e.selectCache(req)
	switch {
	case c != nil:
		e.sendAttempt(req, c)
	case lacksCapacity && e.now < req.queueDeadline():
		e.enqueue(req)
	default:
		e.answerUnlessPending(req)
	}
}

// answerUnlessPending gives the final answer unless an attempt is still pending.
func (e *Engine) answerUnlessPending(req *request) {
	if !slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.pending }) {
		e.rejectOrFail(req)
	}
}

// queueDeadline returns the time until which a request may wait for capacity. After a longer wait, its reply
// would likely be late.
func (r *request) queueDeadline() Time {
	span := min(r.class.LatencyObjective, r.Deadline-r.arrivedAt)
	return r.arrivedAt + Time(maxQueueShare*float64(span))
}

// enqueue queues a request until there is capacity. It is not sent at once because an overloaded cache serves
// everything late.
func (e *Engine) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		e.queue = append(e.queue, req)
		e.scheduleFor(req, req.queueDeadline(), func() { e.shedQueued(req) })
	}
}

// shedQueued removes a request that is still queued, and gives its final answer unless an attempt is pending.
func (e *Engine) shedQueued(req *request) {
	if !req.queued || req.done {
		return
	}
	if req.originLimited {
		e.shedOriginFull++
	} else {
		e.shedCacheFull++
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

// dispatchQueued sends queued requests when there may be capacity again. It starts with the latest, because
// in the order of arrival all would be late. It stops after maxDispatchTries requests found no capacity,
// because the queue may hold thousands.
func (e *Engine) dispatchQueued() {
	failed := 0
	for i := len(e.queue) - 1; i >= 0 && failed < maxDispatchTries; i-- {
		req := e.queue[i]
		if c, _ := e.selectCache(req); c != nil {
			e.dequeue(req)
			e.sendAttempt(req, c)
		} else {
			failed++
		}
	}
}

// rejectOrFail gives a request its final answer: a rejection where that is allowed, or a failure.
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

// finish marks a request as done and cancels its attempts in flight. Without such attempts it drops the
// request.
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
		e.drop(req)
	}
}
