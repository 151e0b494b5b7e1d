package router

import (
	"log/slog"
	"strings"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// externalID is the request's id on the wire.
func (r *request) externalID() string { return string(r.command.Args[resp.IDArgument]) }

// noteRejected counts and logs a request that the policy does not see.
func (l *eventLoop) noteRejected(c *clientConn, cmd resp.Command, reason rejectReason) {
	l.countRejected(reason)
	if !l.logger.debugs() {
		return
	}
	l.logger.Debug("request rejected", "id", string(cmd.Args[resp.IDArgument]), "client", c, "reason", reason)
}

// noteRejectedUnparsed counts and logs a request that is rejected before its command is parsed.
func (l *eventLoop) noteRejectedUnparsed(c *clientConn, reason rejectReason) {
	l.countRejected(reason)
	if l.logger.debugs() {
		l.logger.Debug("request rejected", "client", c, "reason", reason)
	}
}

func (l *eventLoop) countRejected(reason rejectReason) {
	l.statistics.requests.Add(1)
	l.statistics.results[requestRejected].Add(1)
	l.statistics.rejects[reason].Add(1)
}

// noteAccepted counts and logs a request that the policy decides about.
func (l *eventLoop) noteAccepted(r *request, arrivedAt policy.Time) {
	l.statistics.requests.Add(1)
	if !l.logger.debugs() {
		return
	}
	l.logger.Debug("request accepted", "id", r.externalID(), "client", r.client, "class", r.command.Class,
		"waited", microseconds(l.now-arrivedAt), "time_left", microseconds(r.deadline-l.now))
}

// noteDone counts and logs the end of a request. A reply that comes late is a fault: the deadline's
// timer, or the client's reader, did not run in time.
func (l *eventLoop) noteDone(r *request, result requestResult) {
	l.statistics.results[result].Add(1)
	late := l.now - r.deadline
	if result != requestAbandoned && late > lateReplyMargin {
		l.statistics.late.Add(1)
		l.logger.fault("late reply", "id", r.externalID(), "client", r.client, "result", result, "late", microseconds(late))
	}
	if result == requestAbandoned && late > -maxStall.Microseconds() {
		// A client that leaves just then has perhaps waited for a reply that should have come.
		l.statistics.abandonedWhenDue.Add(1)
		l.logger.fault("client left when its reply was due", "id", r.externalID(), "client", r.client,
			"time_left", microseconds(-late), "attempts", r.describeAttempts())
	}
	if !l.logger.debugs() {
		return
	}
	l.logger.Debug("request done", "id", r.externalID(), "client", r.client, "result", result,
		"time_left", microseconds(-late), "attempts", r.describeAttempts())
}

// describeAttempts lists the caches that the request's attempts went to, with their states.
func (r *request) describeAttempts() string {
	var list []string
	for _, a := range r.attempts {
		list = append(list, a.pool.name+":"+a.state.String())
	}
	return strings.Join(list, " ")
}

// noteAttempt counts and logs an attempt that the policy has decided on.
func (l *eventLoop) noteAttempt(a *attempt) {
	l.statistics.attempts.Add(1)
	if a.number > 0 {
		l.statistics.retries.Add(1)
	}
	if !l.logger.debugs() {
		return
	}
	l.logger.Debug("attempt", "id", a.request.externalID(), "attempt", a.number, "cache", a.pool.name,
		"time_left", microseconds(a.deadline-l.now))
}

// noteOutcome counts and logs the outcome of an attempt.
func (l *eventLoop) noteOutcome(a *attempt, result policy.Result) {
	l.statistics.outcomes[result].Add(1)
	if !l.logger.debugs() {
		return
	}
	l.logger.Debug("attempt done", "id", a.request.externalID(), "attempt", a.number, "cache", a.pool.name,
		"result", result, "elapsed", microseconds(l.now-a.sentAt))
}

// LogValue implements slog.LogValuer: a connection is named by the client's address.
func (c *clientConn) LogValue() slog.Value {
	if c.nc == nil {
		return slog.StringValue("none")
	}
	return slog.StringValue(c.nc.RemoteAddr().String())
}

// noteClosed counts and logs why nothing more is read from the connection. unhandled is how many bytes
// were read that no command has been taken from.
func (c *clientConn) noteClosed(reason closeReason, unhandled int) {
	loop := c.srv.loop
	loop.statistics.clientEnd[reason].Add(1)
	attributes := []any{
		"client", c, "reason", reason, "pending_replies", c.pendingReplies.Load(), "unhandled_bytes", unhandled,
	}
	if reason == closedMalformed || reason == closedIncomplete {
		loop.logger.fault("client connection ends", attributes...)
		return
	}
	loop.logger.Debug("client connection ends", attributes...)
}

func microseconds(t policy.Time) time.Duration { return time.Duration(t) * time.Microsecond }
