package router

import (
	"slices"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	attemptQueued  attemptState = iota // waits for a connection; nothing has been written
	attemptWriting                     // partly written
	attemptWritten                     // completely written; the cache may execute it
	attemptDone                        // has its outcome
)

// String returns the state's name in the log.
func (s attemptState) String() string {
	return [...]string{"queued", "writing", "written", "done"}[s]
}

// attempt is an attempt of a request, or a health check if request is nil. It gets exactly one outcome.
type attempt struct {
	request     *request
	number      int // as the engine numbers the request's attempts
	pool        *pool
	sentAt      policy.Time
	deadline    policy.Time
	startBefore policy.Time // the cache must not begin to execute it at or after this time; 0 for no limit
	state       attemptState
	// wasPostponed is set if the attempt had a connection and was not written, because its client could not be checked.
	wasPostponed bool
	conn         *upstreamConn // connection that carries it; nil while it is queued and once it is done

	replyHold     *memoryHold // memory of the reply that has been received; nil if there is none
	timers        []*timer    // end with the attempt
	stalledWrites int         // number of its writes that were begun anew after a stall
}

// schedule schedules f to be run at the given time, unless the attempt has its outcome by then.
func (a *attempt) schedule(at policy.Time, f func()) {
	a.timers = append(a.timers, a.pool.loop.schedule(at, f))
}

// dialDeadline returns the time by which the attempt must have a connection.
func (a *attempt) dialDeadline() policy.Time {
	return a.sentAt + a.pool.loop.cfg.Transport.DialTimeout
}

// dialDeadlineExceeded handles the dial deadline: it ends the attempt if it is still queued.
func (a *attempt) dialDeadlineExceeded() {
	switch {
	case a.state != attemptQueued:
	case a.wasPostponed:
		a.finish(policy.NotSent, nil) // the client is the reason, and not the cache
	default:
		a.finish(a.pool.missingConnResult(), nil)
	}
}

// startWindowClosed handles the time startBefore: it ends the attempt unless it has been completely written.
// A cache executes a command when it has received the last byte, and it recognizes a duplicate of the command
// only until startBefore.
func (a *attempt) startWindowClosed() {
	if a.state == attemptQueued || a.state == attemptWriting {
		a.abandon(policy.TimedOut)
	}
}

// abandon ends an attempt without waiting for its reply. The result is NotSent if the command was not
// completely written, and otherwise the given reason.
func (a *attempt) abandon(reason policy.Result) {
	switch a.state {
	case attemptQueued:
		a.finish(policy.NotSent, nil)
	case attemptWriting:
		// A cache does not execute a command without its last byte.
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
	for _, t := range a.timers {
		t.stop()
	}
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

// encode returns the command to send: a PING for a health check, and otherwise the client's command with the
// remaining time of the attempt as its timeout.
func (a *attempt) encode(now policy.Time) []byte {
	if a.request == nil {
		return resp.AppendPing(nil)
	}
	return a.request.command.Encode(a.deadline - now)
}

// expectsReply reports whether the reply is of a kind that the attempt's command can get. If it is not, the actual
// reply may still arrive.
func (a *attempt) expectsReply(reply *resp.Reply) bool {
	if a.request == nil {
		return reply.Pong || reply.Error
	}
	return reply.Result == policy.Served || reply.Error
}

// resultOf returns the result of the attempt for the given reply.
func (a *attempt) resultOf(reply *resp.Reply) policy.Result {
	switch {
	case !a.expectsReply(reply):
		return policy.ServerError
	case reply.Pong:
		return policy.Served
	default:
		return reply.Result
	}
}
