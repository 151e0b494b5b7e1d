package scaletest

// This file implements the requests of a hollow router from arrival to answer.

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

// simulatedUtilization is the utilization in the load reports of simulated replies.
const simulatedUtilization = .4

// request is a request that is not answered yet or still has outstanding attempts.
type request struct {
	id          int64
	deadline    policy.Time
	key         uint64
	write       bool
	answered    bool
	attempts    []*attempt
	outstanding int // attempts without an outcome
}

// scheduleArrival schedules the next request at its due time, whether or not earlier ones are answered
// (open loop).
func (h *hollowRouter) scheduleArrival() {
	h.nextArrival = h.nextArrival.Add(h.workload.nextInterval(h.fleet.spec.RequestRate))
	h.scheduleAt(h.nextArrival.UnixMicro(), func() {
		if h.draining {
			return
		}
		h.fleet.recordLateness(h.now - h.nextArrival.UnixMicro())
		h.handleArrival()
		h.scheduleArrival()
	})
}

// handleArrival takes the next request from the workload and passes it to the engine.
func (h *hollowRouter) handleArrival() {
	next := h.workload.next()
	h.requestCount++
	r := &request{
		id:       h.requestCount,
		deadline: h.now + next.timeout.Microseconds(),
		key:      next.key,
		write:    next.write,
	}
	h.requests[r.id] = r
	class := readClass
	if r.write {
		class = writeClass
	}
	h.notify(&policy.Request{
		ID:       r.id,
		Class:    class,
		Tenant:   tenant,
		Key:      r.key,
		HasKey:   true,
		Deadline: r.deadline,
		Write:    r.write,
	})
	h.checkQuota()
}

// checkQuota marks the router as done once it has reached its quotas of requests and health checks.
func (h *hollowRouter) checkQuota() {
	spec := &h.fleet.spec
	if h.quotaMet || spec.RequestQuota <= 0 {
		return
	}
	if h.requestCount >= spec.RequestQuota && h.healthCheckCount >= spec.HealthCheckQuota {
		h.quotaMet = true
		h.fleet.routerDone()
	}
}

// sendAttempt starts an attempt. One that can't start is reported as not sent, as the engine reserves capacity until
// the attempt has its outcome.
func (h *hollowRouter) sendAttempt(action policy.Send) {
	r, p := h.requests[action.ID], h.poolsByName[action.Cache]
	if r == nil || r.answered || p == nil {
		h.notify(&policy.AttemptDone{
			ID:      action.ID,
			Attempt: action.Attempt,
			Result:  policy.NotSent,
			Final:   r == nil || r.answered,
			Load:    policy.LoadReport{Utilization: resp.UnknownUtilization},
		})
		return
	}
	a := &attempt{
		request:     r,
		number:      action.Attempt,
		pool:        p,
		startedAt:   h.now,
		deadline:    r.deadline,
		startBefore: action.StartBefore,
	}
	if action.Deadline != 0 {
		a.deadline = min(action.Deadline, r.deadline)
	}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	p.send(a)
}

// sendHealthCheck starts a health check. One that can't start is reported as not sent.
func (h *hollowRouter) sendHealthCheck(action policy.HealthCheck) {
	p := h.poolsByName[action.Cache]
	if p == nil || h.draining {
		h.notify(&policy.HealthCheckDone{
			Cache:  action.Cache,
			Result: policy.NotSent,
			Load:   policy.LoadReport{Utilization: resp.UnknownUtilization},
		})
		return
	}
	h.healthCheckCount++
	h.checkQuota()
	p.send(&attempt{
		pool:      p,
		startedAt: h.now,
		deadline:  h.now + h.fleet.settings.HealthCheckTimeout(),
	})
}

func (h *hollowRouter) cancelAttempt(action policy.Cancel) {
	r := h.requests[action.ID]
	if r == nil {
		return
	}
	for _, a := range r.attempts {
		if a.number == action.Attempt {
			a.abandon(policy.Cancelled)
		}
	}
}

// attemptDone notifies the engine of the outcome of an attempt or a health check.
func (h *hollowRouter) attemptDone(a *attempt, result policy.Result, miss bool) {
	h.outstandingAttempts--
	elapsed := h.now - a.startedAt
	report := policy.LoadReport{Utilization: resp.UnknownUtilization}
	if result == policy.Served {
		report.Utilization = simulatedUtilization
	}
	if a.isHealthCheck() {
		h.notify(&policy.HealthCheckDone{Cache: a.pool.name, Result: result, Elapsed: elapsed, Load: report})
		return
	}
	r := a.request
	r.outstanding--
	if result == policy.Served && !r.answered {
		h.servedCount++
		h.answer(r)
	}
	h.notify(&policy.AttemptDone{
		ID:      r.id,
		Attempt: a.number,
		Result:  result,
		Elapsed: elapsed,
		Final:   r.answered,
		Miss:    miss,
		Load:    report,
	})
	h.removeIfDone(r)
}

// answer marks a request as answered and ends its attempts that still wait for a connection.
func (h *hollowRouter) answer(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	for _, a := range r.attempts {
		if a.conn == nil {
			a.finish(policy.NotSent, false)
		}
	}
	h.removeIfDone(r)
}

func (h *hollowRouter) removeIfDone(r *request) {
	if r.answered && r.outstanding == 0 {
		delete(h.requests, r.id)
	}
}
