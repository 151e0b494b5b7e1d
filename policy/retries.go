// Retries and hedges: when a request may be repeated, and the retry budget.

package policy

import "slices"

const (
	retryRatio         = .05 // retries and hedges per request, in the long run
	maxFleetRetryBurst = 20  // ... and in one burst, over all routers

	// dedupMargin is how long before caches forget a request's key its repeats end: the process may be stalled
	// between its last look at the clock and the write.
	dedupMargin Time = 150_000
)

// canSend is the one check of whether a request may be sent to the cache, be it again or for the first time.
func (e *Engine) canSend(req *request, c *cache) bool {
	if c.State != InService {
		return false // a drain is kept from the moment it is known
	}
	return e.canAttempt(req) && req.inScopeOfAttempts(c)
}

// canAttempt is the part of canSend that does not depend on the cache.
func (e *Engine) canAttempt(req *request) bool {
	if req.done || req.streaming || e.now >= req.Deadline || len(req.attempts) >= e.settings.MaxAttempts {
		return false
	}
	for _, a := range req.attempts {
		if a.pending && !e.settings.HedgingAllowed {
			return false
		}
		if req.mayHaveRun(a) && (req.class.Effect == NonIdempotent || e.now >= req.repeatsEnd(a)) {
			return false // its effect must not happen twice
		}
	}
	return true
}

// inScopeOfAttempts reports whether the cache drops repeats of the attempts that may have run.
func (r *request) inScopeOfAttempts(c *cache) bool {
	for _, a := range r.attempts {
		if r.mayHaveRun(a) && !inDedupScope(r.class.DedupScope, a.cache, c) {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether an attempt may have had an effect that must not happen twice.
func (r *request) mayHaveRun(a attempt) bool { return !a.neverRan && r.class.Effect != Idempotent }

// repeatDeadline is the latest start of attempt n, as caches then forget the request's key; 0 is no limit.
func (r *request) repeatDeadline(n int) (deadline Time) {
	for _, a := range r.attempts[:n] {
		expires := r.repeatsEnd(a)
		if r.class.Effect == IdempotentWithKey && !a.neverRan && (deadline == 0 || expires < deadline) {
			deadline = expires
		}
	}
	return deadline
}

// repeatsEnd is when repeats of an attempt that may have run have to have started.
func (r *request) repeatsEnd(a attempt) Time { return a.sentAt + r.class.KeyTTL - dedupMargin }

func inDedupScope(s DedupScope, a, b *cache) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeGroup && a.Group == b.Group
}

// canReject is the one check of whether a request may be rejected, which promises that a retry is harmless.
func (e *Engine) canReject(req *request) bool {
	class := req.class
	if class.Effect == Idempotent || class.Effect == IdempotentWithKey && class.DedupScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(req.attempts, func(a attempt) bool { return !a.neverRan })
}

// countsAsRetry reports whether a further attempt could feed an overload. One after a network fault could
// not, and would use up the retry budget where networks are bad.
func (e *Engine) countsAsRetry(req *request) bool {
	n := len(req.attempts)
	return n > 0 && !req.attempts[n-1].harmless
}

func (e *Engine) retryBurstLimit() float64 { return maxFleetRetryBurst * e.routerShare() }

// hedge sends a second copy of a request whose attempt is overdue at a cache that has been silent since: it
// may hang, and health checks take two rounds to tell. In overload caches are late, but not silent.
func (e *Engine) hedge(req *request, n int) {
	silent := req.attempts[n].cache.lastReplyAt <= req.attempts[n].sentAt
	if req.done || !silent || !e.settings.HedgingAllowed || e.retryBudget < 1 {
		return
	}
	if c, _ := e.pickCache(req); c != nil {
		e.sendAttempt(req, c)
	}
}
