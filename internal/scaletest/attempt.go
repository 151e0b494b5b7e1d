package scaletest

// This file implements attempts and health checks of hollow routers.

import (
	"slices"

	"marlstage/policy"
)

// attempt is one attempt of a request, or a health check if request is nil.
type attempt struct {
	request     *request // nil for a health check
	number      int      // as the engine numbers the attempts of the request
	pool        *pool
	startedAt   policy.Time
	deadline    policy.Time
	startBefore policy.Time    // latest time at which it may be sent; 0 for no limit
	conn        *simulatedConn // nil until it is sent
	done        bool
}

func (a *attempt) isHealthCheck() bool { return a.request == nil }

// expired reports whether it is too late to send the attempt.
func (a *attempt) expired(now policy.Time) bool {
	return now >= a.deadline || a.startBefore != 0 && now >= a.startBefore
}

// command returns the command that the attempt sends to the cache server.
func (a *attempt) command(now policy.Time) []byte {
	r := a.request
	return requestCommand(r.write, r.key, uint64(r.id), (a.deadline-now)/microsecondsPerMillisecond)
}

// abandon ends the attempt before its reply. If the attempt was sent, its connection is closed:
// otherwise a late reply would be taken for the reply to the next request.
func (a *attempt) abandon(result policy.Result) {
	switch {
	case a.done:
	case a.conn == nil:
		a.finish(policy.NotSent, false)
	default:
		a.conn.close()
		a.finish(result, false)
		a.pool.dispatch()
	}
}

// finish records the outcome of the attempt. Later calls have no effect.
func (a *attempt) finish(result policy.Result, miss bool) {
	if a.done {
		return
	}
	a.done = true
	if a.conn != nil {
		a.conn.attempt = nil
	} else if i := slices.Index(a.pool.waiting, a); i >= 0 {
		a.pool.waiting = slices.Delete(a.pool.waiting, i, i+1)
	}
	a.pool.router.attemptDone(a, result, miss)
}
