package router

import (
	"strconv"

	"github.com/tidwall/redcon"

	"marlstage/policy"
)

func (l *eventLoop) sendAttempt(s policy.Send) {
	r, u := l.requests[s.ID], l.pools[s.Cache]
	if r == nil || u == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), pool: u, sentAt: l.now, deadline: s.Deadline, startBefore: s.StartBefore}
	if a.deadline == 0 || a.deadline > r.deadline {
		a.deadline = r.deadline
	}
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	u.submit(a)
}

func (l *eventLoop) sendHealthCheck(cache string) {
	if u := l.pools[cache]; u != nil {
		u.submit(&attempt{pool: u, sentAt: l.now, deadline: l.now + l.cfg.Settings.HealthCheckTimeout()})
	}
}

// attemptDone tells the module how an attempt went. The first answer that serves is
// the final one by itself.
func (l *eventLoop) attemptDone(a *attempt, result policy.Result, rep *reply) {
	r := a.request
	if r == nil {
		ev := &policy.HealthCheckDone{Cache: a.pool.name, Result: result, Elapsed: l.now - a.sentAt, Load: policy.LoadReport{Utilization: -1}}
		if rep != nil {
			ev.Load = rep.load
		}
		l.pendingEvents = append(l.pendingEvents, ev)
		return
	}
	r.pendingAttempts--
	ev := &policy.AttemptDone{ID: r.id, Attempt: a.number, Result: result, Elapsed: l.now - a.sentAt, Load: policy.LoadReport{Utilization: -1}}
	if rep != nil {
		ev.Load, ev.Miss = rep.load, rep.miss
		if result == policy.Served {
			l.finish(r, rep.value)
		}
	}
	ev.Final = r.done
	l.pendingEvents = append(l.pendingEvents, ev)
	l.removeIfDone(r)
}

type attemptState uint8

const (
	attemptQueued  attemptState = iota // for a connection; not a byte has been written
	attemptWriting                     // some of it has been written
	attemptWritten                     // all of it: it may run from now on
	attemptDone
)

// attempt is one sending of a request, or a probe if it has no request. It has exactly one outcome.
type attempt struct {
	request       *request
	number        int
	pool          *pool
	sentAt        policy.Time
	deadline      policy.Time
	startBefore   policy.Time // not to be begun from then on; 0 for no limit
	state         attemptState
	conn          *upstreamConn
	abandoned     bool          // given up while part of it is written
	abandonResult policy.Result // ... for this reason
}

// dialDeadline is when the attempt has to have a connection at the latest.
func (a *attempt) dialDeadline() policy.Time { return a.sentAt + a.pool.loop.cfg.Transport.DialTimeout }

// abandon ends the wait on an attempt: it was cancelled or its time is up.
func (a *attempt) abandon(why policy.Result) {
	switch a.state {
	case attemptQueued:
		a.finish(policy.NotSent, nil)
	case attemptWriting:
		// The writer may have written the last byte or not; it tells when it has stopped.
		a.abandoned, a.abandonResult = true, why
		a.conn.close()
	case attemptWritten:
		a.conn.close()
		a.finish(why, nil)
	}
}

// finish gives the attempt its outcome.
func (a *attempt) finish(result policy.Result, rep *reply) {
	if a.state == attemptDone {
		return
	}
	if a.state == attemptQueued {
		for i, w := range a.pool.queue {
			if w == a {
				a.pool.queue = append(a.pool.queue[:i], a.pool.queue[i+1:]...)
				break
			}
		}
	}
	a.state = attemptDone
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
	a.pool.loop.attemptDone(a, result, rep)
}

// encode is what goes over the wire: the client's words, but for the time that this attempt has.
func (a *attempt) encode(now policy.Time) []byte {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendArray(nil, 1), "PING")
	}
	cmd := &a.request.command
	meta := cmd.args[optionsArgument]
	timed := make([]byte, 0, len(meta)+8)
	timed = append(timed, meta[:cmd.timeoutStart]...)
	timed = strconv.AppendInt(timed, max(1, (a.deadline-now)/1000), 10)
	timed = append(timed, meta[cmd.timeoutEnd:]...)
	b := redcon.AppendArray(make([]byte, 0, cmd.size+32), len(cmd.args))
	for i, arg := range cmd.args {
		if i == optionsArgument {
			arg = timed
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}
