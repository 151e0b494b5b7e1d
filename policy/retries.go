// Retries and hedges: when a request may be repeated, and the retry budget.

package policy

import "slices"

const (
	retryRatio         = .05 // long-term number of retries and hedges per request
	maxFleetRetryBurst = 20  // retries and hedges in one burst, over all routers

	// dedupMargin shortens the time in which a request may be repeated before caches forget its idempotency
	// key. The process may stall between its last reading of the clock and the write.
	dedupMargin Time = 150_000
)

// canSend reports whether a request may be sent to the cache, for the first time or again. It is the only
// such check, so that every attempt passes it.
func (e *Engine) canSend(req *request, c *cache) bool {
	if c.State != InService {
		return false // a draining cache gets no further requests
	}
	return e.canAttempt(req) && req.inDedupScopeOfAttempts(c)
}

// canAttempt is the part of the check in canSend that does not depend on the cache.
func (e *Engine) canAttempt(req *request) bool {
	if req.done || req.streaming || e.now >= req.Deadline || len(req.attempts) >= e.settings.MaxAttempts {
		return false
	}
	for _, a := range req.attempts {
		if a.pending && !e.settings.HedgingAllowed {
			return false
		}
		if req.mayHaveRun(a) && (req.class.Effect == NonIdempotent || e.now >= req.repeatDeadline(a)) {
			return false // its effect must not occur twice
		}
	}
	return true
}

// inDedupScopeOfAttempts reports whether the cache is in the deduplication scope of all attempts that may
// have run.
func (r *request) inDedupScopeOfAttempts(c *cache) bool {
	for _, a := range r.attempts {
		if r.mayHaveRun(a) && !inDedupScope(r.class.DedupScope, a.cache, c) {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether an attempt may have had an effect that must not occur twice.
func (r *request) mayHaveRun(a attempt) bool { return !a.neverRan && r.class.Effect != Idempotent }

// startDeadline returns the time before which attempt n must start, as caches later forget the idempotency
// keys of earlier attempts. 0 means no limit.
func (r *request) startDeadline(n int) (deadline Time) {
	for _, a := range r.attempts[:n] {
		expires := r.repeatDeadline(a)
		if r.class.Effect == IdempotentWithKey && !a.neverRan && (deadline == 0 || expires < deadline) {
			deadline = expires
		}
	}
	return deadline
}

// repeatDeadline returns the time before which repeats of an attempt that may have run must start.
func (r *request) repeatDeadline(a attempt) Time { return a.sentAt + r.class.KeyTTL - dedupMargin }

func inDedupScope(s DedupScope, a, b *cache) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeGroup && a.Group == b.Group
}

// canReject reports whether a request may be rejected. A rejection promises that a retry is harmless.
// canReject is the only such check, so that every rejection passes it.
func (e *Engine) canReject(req *request) bool {
	class := req.class
	if class.Effect == Idempotent || class.Effect == IdempotentWithKey && class.DedupScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a attempt) bool { return !a.neverRan })
}

// countsAsRetry reports whether a further attempt uses the retry budget, because it can add to an overload. A
// retry after a network fault cannot, and would exhaust the retry budget in bad networks.
func (e *Engine) countsAsRetry(req *request) bool {
	n := len(req.attempts)
	return n > 0 && !req.attempts[n-1].freeRetry
}

// retryBurstLimit returns this router's part of maxFleetRetryBurst.
func (e *Engine) retryBurstLimit() float64 { return maxFleetRetryBurst * e.routerShare }

// hedge sends a hedged request for an overdue attempt if its cache has sent no reply since the attempt began.
// Such a cache may hang, and health checks need two rounds to detect that. An overloaded cache is late, but
// not silent.
func (e *Engine) hedge(req *request, n int) {
	silent := req.attempts[n].cache.lastReplyAt <= req.attempts[n].sentAt
	if req.done || !silent || !e.settings.HedgingAllowed || e.retryBudget < 1 {
		return
	}
	if c, _ := e.selectCache(req); c != nil {
		e.sendAttempt(req, c)
	}
}
