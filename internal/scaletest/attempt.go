package scaletest

// This file implements attempts and health checks of hollow routers.

import (
	"slices"

	"marlstage/policy"
)

// attempt is one attempt of a request, or a health check where it has none.
type attempt struct {
	request     *request
	number      int // among the attempts of the request
	pool        *pool
	startedAt   policy.Time
	deadline    policy.Time
	startBefore policy.Time    // latest time to be sent, or 0
	conn        *simulatedConn // once it is sent
	done        bool
}

func (a *attempt) isHealthCheck() bool { return a.request == nil }

// expired reports whether it is too late to send the attempt.
func (a *attempt) expired(now policy.Time) bool {
	return now >= a.deadline || a.startBefore != 0 && now >= a.startBefore
}

// command is what the attempt sends to the cache server.
func (a *attempt) command(now policy.Time) []byte {
	r := a.request
	return requestCommand(r.write, r.key, uint64(r.id), (a.deadline-now)/microsecondsPerMillisecond)
}

// giveUp ends the wait for the outcome. Where the attempt was sent, it takes its connection with
// it: a late reply there would be taken for that of the next request.
func (a *attempt) giveUp(result policy.Result) {
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

// finish records the outcome, the first time that it is called.
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
