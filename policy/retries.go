// Retries and hedges: the rules on repeats, and the retry budget.

package policy

import "slices"

const (
	retryShare = .05 // retries and hedges a request, in the long run
	retryBurst = 20  // ... and in one burst, over all routers
)

// maySend is the one answer to "may this request be sent (again), to this cache?".
func (r *Engine) maySend(q *request, c *cache) bool {
	if q.done || q.streams || r.now >= q.Deadline || len(q.attempts) >= r.set.MaxAttempts {
		return false
	}
	if c.State != InService {
		return false // drains are kept from the moment they are known
	}
	for _, a := range q.attempts {
		if a.pending && !r.set.HedgingAllowed {
			return false
		}
		if a.neverRan || q.class.Effect == Idempotent {
			continue
		}
		// It may have run: its effect must not happen twice.
		if q.class.Effect == NonIdempotent || !sameGroup(q.class.DedupScope, a.to, c) ||
			r.now >= a.sent+q.class.KeyTTL {
			return false
		}
	}
	return true
}

// repeatBy is when an attempt must have begun at the latest. The danger: a repeat that caches still drop
// when it is decided on waits for a connection until they do not.
func (q *request) repeatBy(n int) (by Time) {
	for _, a := range q.attempts[:n] {
		at := a.sent + q.class.KeyTTL
		if q.class.Effect == IdempotentWithKey && !a.neverRan && (by == 0 || at < by) {
			by = at
		}
	}
	return by
}

func sameGroup(s DedupScope, a, b *cache) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeGroup && a.Group == b.Group
}

// mayRefuse is the one answer to "may it be refused, or only failed?": a
// refusal tells the client that trying again is harmless.
func (r *Engine) mayRefuse(q *request) bool {
	if q.class.Effect == Idempotent || q.class.Effect == IdempotentWithKey && q.class.DedupScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.neverRan })
}

// isRetry reports whether a further attempt could feed an overload: one that follows a connection
// that failed or broke does not. The danger: where networks break every tenth attempt, these alone use
// up the budget; the clients come back anyway, and the overflow and the hedges have no tokens left.
func (r *Engine) isRetry(q *request) bool {
	n := len(q.attempts)
	return n > 0 && !q.attempts[n-1].unmet && !q.attempts[n-1].broke && !q.attempts[n-1].shunned
}

// retryBurstPart is this router's part of the retries that all routers together may send at once. The danger:
// a burst that does one router of two no harm is, from each of many, more than all first attempts.
func (r *Engine) retryBurstPart() float64 { return retryBurst * r.alone() }

// hedge sends a second copy of a request whose attempt is overdue at a cache that has answered
// nothing since. The danger: a cache that hangs takes requests and answers none until two
// rounds of probes have failed. Late answers are no reason: in overload they all are.
func (r *Engine) hedge(q *request, n int) {
	if q.done || !r.set.HedgingAllowed || q.attempts[n].to.answered > q.attempts[n].sent || r.retryBudget < 1 {
		return
	}
	if c, _ := r.pick(q); c != nil {
		r.send(q, c)
	}
}
