package router

import (
	"slices"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// attemptState is how far an attempt has come.
type attemptState uint8

const (
	attemptQueued  attemptState = iota // for a connection; not a byte has been written
	attemptWriting                     // partly written
	attemptWritten                     // completely written: the server may execute it from now on
	attemptDone
)

// String returns the state's name, as it is logged.
func (s attemptState) String() string {
	return [...]string{"queued", "writing", "written", "done"}[s]
}

// attempt is one attempt of a request, or a health check if it has no request. It has exactly one
// outcome.
type attempt struct {
	request     *request
	number      int // of the request's attempts, from 0
	pool        *pool
	sentAt      policy.Time
	deadline    policy.Time
	startBefore policy.Time // the server must not begin it at or after this time; 0 for no limit
	state       attemptState
	conn        *upstreamConn // that carries it; nil while it is queued and once it is done
}

// dialDeadline is the time by which the attempt must have a connection.
func (a *attempt) dialDeadline() policy.Time {
	return a.sentAt + a.pool.loop.cfg.Transport.DialTimeout
}

// dialDeadlineExceeded ends the attempt if it is still queued.
func (a *attempt) dialDeadlineExceeded() {
	if a.state != attemptQueued {
		return
	}
	a.finish(a.pool.missingConnResult(), nil)
}

// startWindowClosed ends the attempt unless it has been completely written. A server begins a
// command at its last byte, and after the window it no longer drops a repeated one.
func (a *attempt) startWindowClosed() {
	if a.state == attemptQueued || a.state == attemptWriting {
		a.abandon(policy.TimedOut)
	}
}

// abandon stops waiting for an attempt that was cancelled or has timed out.
func (a *attempt) abandon(reason policy.Result) {
	switch a.state {
	case attemptQueued:
		a.finish(policy.NotSent, nil)
	case attemptWriting:
		// The server does not begin a command without its last byte.
		a.conn.close()
		a.finish(policy.NotSent, nil)
	case attemptWritten:
		a.conn.close()
		a.finish(reason, nil)
	}
}

// finish gives the attempt its outcome. Only the first call has an effect.
func (a *attempt) finish(result policy.Result, reply *resp.Reply) {
	if a.state == attemptDone {
		return
	}
	if a.state == attemptQueued {
		a.dequeue()
	}
	a.state = attemptDone
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
	a.pool.loop.attemptDone(a, result, reply)
}

func (a *attempt) dequeue() {
	p := a.pool
	for _, queue := range []*[]*attempt{&p.queue, &p.postponed} {
		if i := slices.Index(*queue, a); i >= 0 {
			*queue = slices.Delete(*queue, i, i+1)
		}
	}
}

// encode returns the attempt's command: the client's, with the time that the attempt has left.
func (a *attempt) encode(now policy.Time) []byte {
	if a.request == nil {
		return resp.AppendPing(nil)
	}
	return a.request.command.Encode(a.deadline - now)
}

// isReply reports whether a reply has a kind that replies to the attempt's command have. If not, the
// proper one may still come.
func (a *attempt) isReply(reply *resp.Reply) bool {
	if a.request == nil {
		return reply.Pong || reply.Error
	}
	return reply.Result == policy.Served || reply.Error
}

// resultOf returns the result that a reply gives the attempt.
func (a *attempt) resultOf(reply *resp.Reply) policy.Result {
	switch {
	case !a.isReply(reply):
		return policy.ServerError
	case reply.Pong:
		return policy.Served
	default:
		return reply.Result
	}
}
