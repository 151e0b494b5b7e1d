// Retries and hedges: the rules on repeats, and the retry budget.

package policy

import "slices"

const (
	retryRatio         = .05 // retries and hedges a request, in the long run
	maxFleetRetryBurst = 20  // ... and in one burst, over all routers
)

// canSend is the one answer to "may this request be sent (again), to this cache?".
func (e *Engine) canSend(q *request, c *cache) bool {
	if q.done || q.streaming || e.now >= q.Deadline || len(q.attempts) >= e.settings.MaxAttempts {
		return false
	}
	if c.State != InService {
		return false // drains are kept from the moment they are known
	}
	for _, a := range q.attempts {
		if a.pending && !e.settings.HedgingAllowed {
			return false
		}
		if a.neverRan || q.class.Effect == Idempotent {
			continue
		}
		// It may have run: its effect must not happen twice.
		if q.class.Effect == NonIdempotent || !inDedupScope(q.class.DedupScope, a.cache, c) ||
			e.now >= a.sentAt+q.class.KeyTTL {
			return false
		}
	}
	return true
}

// repeatDeadline is when an attempt must have begun at the latest. The danger: a repeat that caches still drop
// when it is decided on waits for a connection until they do not.
func (q *request) repeatDeadline(n int) (by Time) {
	for _, a := range q.attempts[:n] {
		at := a.sentAt + q.class.KeyTTL
		if q.class.Effect == IdempotentWithKey && !a.neverRan && (by == 0 || at < by) {
			by = at
		}
	}
	return by
}

func inDedupScope(s DedupScope, a, b *cache) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeGroup && a.Group == b.Group
}

// canReject is the one answer to "may it be refused, or only failed?": a
// refusal tells the client that trying again is harmless.
func (e *Engine) canReject(q *request) bool {
	if q.class.Effect == Idempotent || q.class.Effect == IdempotentWithKey && q.class.DedupScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.neverRan })
}

// countsAsRetry reports whether a further attempt could feed an overload: one that follows a connection
// that failed or broke does not. The danger: where networks break every tenth attempt, these alone use
// up the budget; the clients come back anyway, and the overflow and the hedges have no tokens left.
func (e *Engine) countsAsRetry(q *request) bool {
	n := len(q.attempts)
	return n > 0 && !q.attempts[n-1].connectFailed && !q.attempts[n-1].connectionReset && !q.attempts[n-1].rejectedWhileIdle
}

// retryBurstLimit is this router's part of the retries that all routers together may send at once. The danger:
// a burst that does one router of two no harm is, from each of many, more than all first attempts.
func (e *Engine) retryBurstLimit() float64 { return maxFleetRetryBurst * e.routerShare() }

// hedge sends a second copy of a request whose attempt is overdue at a cache that has answered
// nothing since. The danger: a cache that hangs takes requests and answers none until two
// rounds of probes have failed. Late answers are no reason: in overload they all are.
func (e *Engine) hedge(q *request, n int) {
	if q.done || !e.settings.HedgingAllowed || q.attempts[n].cache.lastReplyAt > q.attempts[n].sentAt || e.retryBudget < 1 {
		return
	}
	if c, _ := e.pickCache(q); c != nil {
		e.sendAttempt(q, c)
	}
}
