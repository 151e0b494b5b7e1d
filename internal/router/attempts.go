package router

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

// sendAttempt starts an attempt that the engine has decided on. The engine reserves capacity until the attempt has
// its outcome, so each Send gets exactly one: an attempt that can't start is reported as not sent.
func (l *eventLoop) sendAttempt(s policy.Send) {
	r, p := l.requests[s.ID], l.pools[s.Cache]
	l.attemptsInFlight++
	l.statistics.attempts.Add(1)
	if r == nil || r.done || p == nil {
		l.reportNotStarted(s, r == nil || r.done)
		return
	}
	a := &attempt{
		request:     r,
		number:      s.Attempt,
		pool:        p,
		sentAt:      l.now,
		deadline:    s.Deadline,
		startBefore: s.StartBefore,
	}
	if a.deadline == 0 || a.deadline > r.deadline {
		a.deadline = r.deadline
	}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	l.noteAttempt(a)
	p.submit(a)
}

// reportNotStarted reports the outcome of an attempt that can't start: its request has ended, which is final, or its
// cache is gone. The engine may not know of either yet, as the event that says so is queued behind the one that made
// it send.
func (l *eventLoop) reportNotStarted(s policy.Send, final bool) {
	l.noteNotStarted(s, final)
	l.reportOutcome(&policy.AttemptDone{
		ID:      s.ID,
		Attempt: s.Attempt,
		Result:  policy.NotSent,
		Load:    loadReport(nil),
		Final:   final,
	})
}

// sendHealthCheck starts a health check of a cache. A check of a cache that is gone is reported as not sent: one
// without a result would count as failed.
func (l *eventLoop) sendHealthCheck(cache string) {
	p := l.pools[cache]
	if p == nil {
		l.pendingEvents = append(l.pendingEvents, &policy.HealthCheckDone{
			Cache:  cache,
			Result: policy.NotSent,
			Load:   loadReport(nil),
		})
		return
	}
	p.submit(&attempt{
		pool:     p,
		sentAt:   l.now,
		deadline: l.now + l.cfg.Settings.HealthCheckTimeout(),
	})
}

// attemptDone reports the outcome of an attempt to the engine. The reply is nil if none has arrived.
func (l *eventLoop) attemptDone(a *attempt, result policy.Result, reply *resp.Reply) {
	if a.request == nil {
		l.healthCheckDone(a, result, reply)
		return
	}
	r := a.request
	r.pendingAttempts--
	l.noteOutcome(a, result)
	if result == policy.Served && reply != nil {
		// The reply to the first attempt that is served becomes the final reply, without consulting the
		// engine.
		if reply.Lost {
			l.statistics.lostReplies.Add(1)
		}
		r.replyHold = a.replyHold
		l.finish(r, requestServed, reply.Value)
	}
	l.reportOutcome(&policy.AttemptDone{
		ID:      r.id,
		Attempt: a.number,
		Result:  result,
		Elapsed: l.now - a.sentAt,
		Load:    loadReport(reply),
		Miss:    reply != nil && reply.Miss,
		Final:   r.done,
	})
	l.removeIfDone(r)
}

// reportOutcome queues the outcome of an attempt for the engine. It is called once for each Send.
func (l *eventLoop) reportOutcome(outcome *policy.AttemptDone) {
	l.attemptsInFlight--
	l.statistics.outcomes[outcome.Result].Add(1)
	l.pendingEvents = append(l.pendingEvents, outcome)
}

func (l *eventLoop) healthCheckDone(a *attempt, result policy.Result, reply *resp.Reply) {
	l.pendingEvents = append(l.pendingEvents, &policy.HealthCheckDone{
		Cache:   a.pool.name,
		Result:  result,
		Elapsed: l.now - a.sentAt,
		Load:    loadReport(reply),
	})
}

func loadReport(reply *resp.Reply) policy.LoadReport {
	if reply == nil {
		return policy.LoadReport{Utilization: resp.UnknownUtilization}
	}
	return reply.Load
}
