package router

import (
	"log/slog"
	"strings"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// externalID returns the ID of the request in the client's command.
func (r *request) externalID() string { return string(r.command.Args[resp.IDArgument]) }

// noteRejected counts and logs a request that is rejected without consulting the engine.
func (l *eventLoop) noteRejected(c *clientConn, cmd resp.Command, reason rejectReason) {
	l.countRejected(reason)
	if !l.logger.debugEnabled() {
		return
	}
	l.logger.Debug("request rejected", "id", string(cmd.Args[resp.IDArgument]), "client", c, "reason", reason)
}

// noteRejectedUnparsed counts and logs a request that is rejected before its command is parsed.
func (l *eventLoop) noteRejectedUnparsed(c *clientConn, reason rejectReason) {
	l.countRejected(reason)
	if l.logger.debugEnabled() {
		l.logger.Debug("request rejected", "client", c, "reason", reason)
	}
}

func (l *eventLoop) countRejected(reason rejectReason) {
	l.statistics.requests.Add(1)
	l.statistics.results[requestRejected].Add(1)
	l.statistics.rejects[reason].Add(1)
}

// noteAccepted counts and logs a request that is reported to the engine.
func (l *eventLoop) noteAccepted(r *request, arrivedAt policy.Time) {
	l.statistics.requests.Add(1)
	if !l.logger.debugEnabled() {
		return
	}
	l.logger.Debug("request accepted", "id", r.externalID(), "client", r.client, "class", r.command.Class,
		"waited", microseconds(l.now-arrivedAt), "time_left", microseconds(r.deadline-l.now))
}

// noteDone counts and logs the end of a request. A late reply is logged as a fault: the timer of the deadline,
// or the reader of the client connection, did not run in time.
func (l *eventLoop) noteDone(r *request, result requestResult) {
	l.statistics.results[result].Add(1)
	late := l.now - r.deadline
	if result != requestAbandoned && late > lateReplyMargin {
		l.statistics.lateReplies.Add(1)
		l.logger.logFault("late reply", "id", r.externalID(), "client", r.client, "result", result, "late", microseconds(late))
	}
	if result == requestAbandoned && late > -maxStall.Microseconds() {
		// The client may have stopped waiting for a reply that should already have arrived.
		l.statistics.abandonedWhenDue.Add(1)
		l.logger.logFault("client left when its reply was due", "id", r.externalID(), "client", r.client,
			"time_left", microseconds(-late), "attempts", r.describeAttempts())
	}
	if !l.logger.debugEnabled() {
		return
	}
	l.logger.Debug("request done", "id", r.externalID(), "client", r.client, "result", result,
		"time_left", microseconds(-late), "attempts", r.describeAttempts())
}

// describeAttempts lists the request's attempts, each as the name of the cache and the attempt's state.
func (r *request) describeAttempts() string {
	var list []string
	for _, a := range r.attempts {
		list = append(list, a.pool.name+":"+a.state.String())
	}
	return strings.Join(list, " ")
}

// noteAttempt logs the start of an attempt and counts it if it is a retry.
func (l *eventLoop) noteAttempt(a *attempt) {
	if a.number > 0 {
		l.statistics.retries.Add(1)
	}
	if !l.logger.debugEnabled() {
		return
	}
	l.logger.Debug("attempt", "id", a.request.externalID(), "attempt", a.number, "cache", a.pool.name,
		"time_left", microseconds(a.deadline-l.now))
}

// noteNotStarted counts and logs an attempt that can't start. requestDone says whether its request has ended.
func (l *eventLoop) noteNotStarted(s policy.Send, requestDone bool) {
	l.statistics.notStarted.Add(1)
	if l.logger.debugEnabled() {
		l.logger.Debug("attempt can't start", "attempt", s.Attempt, "cache", s.Cache, "request_done", requestDone)
	}
}

// noteOutcome logs the outcome of an attempt.
func (l *eventLoop) noteOutcome(a *attempt, result policy.Result) {
	if !l.logger.debugEnabled() {
		return
	}
	l.logger.Debug("attempt done", "id", a.request.externalID(), "attempt", a.number, "cache", a.pool.name,
		"result", result, "elapsed", microseconds(l.now-a.sentAt))
}

// LogValue implements slog.LogValuer. It returns the client's address.
func (c *clientConn) LogValue() slog.Value {
	if c.nc == nil {
		return slog.StringValue("none")
	}
	return slog.StringValue(c.nc.RemoteAddr().String())
}

// noteClosed counts and logs the reason why nothing more is read from the connection. unhandled is the number
// of bytes that were read but not handled as commands.
func (c *clientConn) noteClosed(reason closeReason, unhandled int) {
	loop := c.srv.loop
	loop.statistics.clientEnds[reason].Add(1)
	attributes := []any{
		"client", c, "reason", reason, "pending_replies", c.pendingReplies.Load(), "unhandled_bytes", unhandled,
	}
	if reason == closedMalformed || reason == closedIncomplete {
		loop.logger.logFault("client connection ends", attributes...)
		return
	}
	loop.logger.Debug("client connection ends", attributes...)
}

// microseconds converts a time span of the policy engine to a time.Duration.
func microseconds(t policy.Time) time.Duration { return time.Duration(t) * time.Microsecond }
