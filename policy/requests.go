// Requests, from their arrival to the final answer.

package policy

import "slices"

const (
	holdShare  = .4 // of the aim that a request may wait for room
	admitTries = 32 // held requests without room that are looked at for one answer
)

var unknownClass = Class{Effect: NonIdempotent}

func (r *Engine) request(ev *Request) {
	q := &request{Request: ev, class: r.classes[ev.Class], arrived: r.now}
	if q.class == nil {
		q.class = &unknownClass
	}
	if !q.HasKey {
		q.Request = &Request{}
		*q.Request = *ev
		q.Key = mix(uint64(ev.ID) ^ r.rng)
	}
	r.reqs[q.ID] = q
	if r.now < q.Deadline {
		// No request is lost: whatever else happens, this timer gives the final answer.
		r.at(q.Deadline, func() { r.answer(q) })
	}
	r.retryBudget = min(r.retryBudget+retryShare, max(1, r.retryBurstPart()))
	r.keys[0][q.Key]++
	r.asked[0]++
	if r.thin() && unit(mix(q.Key^r.own)) >= r.admission() {
		r.shed[0]++
		r.answer(q)
		return
	}
	r.spare += probeShare / max(r.set.HealthCheckCost, 1e-9)
	r.forward(q)
}

// forward sends a request on, holds it for room, or answers it when neither can be.
func (r *Engine) forward(q *request) {
	if r.isRetry(q) && r.retryBudget < 1 {
		r.giveUp(q) // the danger: retries feed the overload that caused them
		return
	}
	c, crowded := r.pick(q)
	switch {
	case c != nil:
		r.send(q, c)
	case crowded && r.now < q.holdUntil():
		r.hold(q)
	default:
		r.giveUp(q)
	}
}

// giveUp answers a request unless an attempt is still out that may do so.
func (r *Engine) giveUp(q *request) {
	if !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.pending }) {
		r.answer(q)
	}
}

// holdUntil is when a held request can no longer be served within its aim.
func (q *request) holdUntil() Time {
	return q.arrived + Time(holdShare*float64(min(q.class.LatencyObjective, q.Deadline-q.arrived)))
}

// hold keeps a request until a cache has room. The danger it answers: a crowded
// cache serves everything late, and late failures cost most.
func (r *Engine) hold(q *request) {
	if !q.held {
		q.held = true
		r.waiting = append(r.waiting, q)
		r.at(q.holdUntil(), func() {
			if q.held && !q.done {
				r.shed[b2i(q.spares)]++
				r.unhold(q)
				r.giveUp(q)
			}
		})
	}
}

func (r *Engine) unhold(q *request) {
	q.held = false
	if i := slices.Index(r.waiting, q); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// admit sends held requests on when there is room again, the latest first: the danger of
// the fair order is that in overload each one waits until it is too late.
func (r *Engine) admit() {
	failed := 0
	for i := len(r.waiting) - 1; i >= 0 && failed < admitTries; i-- {
		q := r.waiting[i]
		if c, _ := r.pick(q); c == nil {
			failed++ // the danger: with thousands held, trying all at each answer takes seconds
		} else {
			r.unhold(q)
			r.send(q, c)
		}
	}
}

func (r *Engine) send(q *request, c *cache) {
	if r.isRetry(q) || len(q.attempts) == 0 && q.astray && !r.originIdles() && !c.knows(q.Key) {
		r.retryBudget--
	}
	q.attempts = append(q.attempts, attempt{to: c, sent: r.now, pending: true, fetch: r.fetch(q, c)})
	n := len(q.attempts) - 1
	c.pending++
	c.uses++
	r.uses++
	c.sends = r.recent(c) + 1
	c.lastSend = r.now
	if q.attempts[n].fetch {
		r.fetching++
	}
	if c.unmet >= awayThreshold {
		r.delayHalfOpen(c)
	}
	if c.zone.fails >= zoneThreshold {
		c.zone.halfOpenAt = r.now + r.set.WarmupTime/4 // the trial is one request
	}
	r.do(Send{ID: q.ID, Cache: c.ID, Deadline: q.Deadline, StartBefore: q.repeatBy(n)})
	if r.thin() {
		r.at(min(r.now+q.class.LatencyObjective, q.Deadline-1), func() {
			a := &q.attempts[n]
			if a.pending && !(a.fetch && r.prompt > a.sent && r.refilling()) {
				r.judge(false)
			}
		})
	}
	r.at(r.now+r.patienceAt(c, q.class), func() {
		if a := &q.attempts[n]; a.pending {
			a.to.suspect = a.to.suspect || a.to.answered <= a.sent
			r.overdue(q, n)
			r.hedge(q, n)
		}
	})
}

// patience is how long an attempt may take before it counts as overdue.
func (c *Class) patience() Time { return max(c.LatencyObjective/2, 1) }

// patienceAt is the same at one cache: a slow one may take twice what its quicker hits take. The danger: its
// hits take half of the aim with nothing else to do, and its limit falls until it does next to nothing.
func (r *Engine) patienceAt(c *cache, class *Class) Time {
	if r.thin() {
		return class.patience() // it hears too little of one cache to know
	}
	return max(class.patience(), min(Time(slowBy*c.usual), Time(slowest*float64(class.LatencyObjective))))
}

// answer gives the final answer, once.
func (r *Engine) answer(q *request) {
	if q.done || q.streams {
		return
	}
	if r.mayRefuse(q) {
		r.do(Reject{ID: q.ID, RetryAfter: min(r.set.MaxRetryAfter, q.class.LatencyObjective)})
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.finish(q)
}

// finish stops what is still out for a request that is over.
func (r *Engine) finish(q *request) {
	q.done = true
	if q.held {
		r.unhold(q)
	}
	out := false
	for i := range q.attempts {
		if a := &q.attempts[i]; a.pending {
			out = true
			if r.set.CancelAllowed && !q.streams && !a.stopped {
				a.stopped = true
				r.do(Cancel{q.ID, i})
			}
		}
	}
	if !out {
		delete(r.reqs, q.ID)
	}
}

func (r *Engine) outcome(ev *AttemptDone) {
	q := r.reqs[ev.ID]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.attempts) || !q.attempts[ev.Attempt].pending {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.pending, a.neverRan = false, ev.Result.NeverRan()
	a.to.pending--
	r.took(a, q, ev.Result)
	if took := r.now - a.sent; ev.Result == Rejected {
		r.spend(a.to, max(took, r.patience)) // a refusal comes at once, and so would the next attempt
	} else {
		r.spend(a.to, took)
	}
	if a.fetch {
		r.fetching--
	}
	if ev.Result == Served || ev.Result == ServerError || ev.Result == Rejected {
		a.to.answered = r.now
		if a.to.ejected && ev.Result == Served {
			a.to.ejected = false
			a.to.limit = max(a.to.limit, r.firstPart(a.to)/2) // half, lest all come back at once
		}
		r.reached(a.to, true)
	} else if ev.Result == ConnectFailed {
		a.unmet = true
		r.reached(a.to, false)
	}
	if r.thin() && ev.Result == Served && r.now < a.sent+q.class.LatencyObjective {
		r.judge(true)
	}
	a.broke = ev.Result == ConnectionLost
	a.to.suspect = a.to.suspect || a.broke || ev.Result == ServerError || ev.Result == ConnectFailed
	// A refusal speaks of crowding only where more is out than any cache is trusted with at first. The
	// danger: one that stands still now and then loses its whole part of the work for good.
	crowd := ev.Result == Rejected && float64(a.to.pending+1) > r.firstPart(a.to)
	a.shunned = ev.Result == Rejected && !crowd
	if a.to.pending == 0 && r.closesIdle(a.to) {
		r.do(CloseIdleConnections{a.to.ID})
	}
	good := ev.Result == Served && r.now-a.sent < r.patienceAt(a.to, q.class)
	if r.thin() && ev.Result == Served && ev.Miss {
		// The danger: where nearly half are misses, a limit can hardly rise, as the origin takes their time.
		good = r.now-a.sent < r.fetchTime(q, a.to)
	}
	if good && !ev.Miss {
		r.prompt = r.now
	}
	if good && !a.fetch {
		a.to.prompt = true
	}
	fetched := ev.Result == Served && a.fetch && r.now-a.sent < r.fetchTime(q, a.to)
	if fetched && ev.Miss {
		r.fetched = r.now
	}
	if ev.Result == ServerError || fetched && float64(r.fetching+1) > r.fetches/2 {
		r.adjust(&r.fetches, fetched, originTolerated)
		r.fetches = max(1, r.fetches)
	}
	if crowd || ev.Result == ConnectFailed || good && float64(a.to.pending+1) > a.to.limit/2 {
		r.pool(good)
		r.adjust(&a.to.limit, good, tolerated)
	} else if ev.Result == Served && a.to.limit < r.alone() && r.now-a.sent < q.class.LatencyObjective {
		r.adjust(&a.to.limit, true, tolerated)
	}
	if a.fetch && (ev.Result == Served || ev.Result == ServerError) {
		r.missing -= r.missing / missWindow
		if ev.Miss || ev.Result == ServerError {
			r.missing += 1.0 / missWindow
		}
	}
	if ev.Result == Served && !ev.Miss {
		a.to.note(float64(r.now - a.sent))
	}
	if ev.Result == Served {
		a.to.keeps[0][q.Key] = true
	}
	defer r.admit()
	if ev.Final || q.done {
		r.finish(q)
		return
	}
	if r.now >= q.Deadline {
		r.answer(q) // the danger: the time-out at the deadline still owes the answer
		return
	}
	r.forward(q)
}
