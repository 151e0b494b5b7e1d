package router

import (
	"errors"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// request is a client's command that has been reported to the policy engine, or will be, which decides on its attempts
// and its reply.
type request struct {
	id              int64
	command         resp.Command
	deadline        policy.Time
	client          *clientConn
	slot            *replySlot
	replyHold       *memoryHold // memory of the final reply, if a cache sent it; nil otherwise
	reported        bool        // the engine has been told of it
	done            bool        // the final reply has been given, or the client has disconnected
	pendingAttempts int         // attempts without an outcome
	attempts        []*attempt  // those that have started
}

// attempt returns the started attempt with the given number, or nil.
func (r *request) attempt(number int) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// acceptRequest creates a request for a client's command, which arrived at the given time, for the engine. A command that
// cannot be accepted is rejected without consulting the engine.
func (l *eventLoop) acceptRequest(c *clientConn, slot *replySlot, cmd resp.Command, arrivedAt policy.Time) {
	if c.disconnected {
		slot.fill(nil)
		return
	}
	if reason, rejected := l.checkAdmission(); rejected {
		l.noteRejected(c, cmd, reason)
		slot.fill([]byte(resp.BusyReply)) // the engine is not told, and the command is never forwarded
		return
	}
	cmd.Timeout = l.limitTimeout(cmd.Timeout, arrivedAt)
	l.lastID++
	r := &request{
		id:       l.lastID,
		command:  cmd,
		deadline: arrivedAt + cmd.Timeout,
		client:   c,
		slot:     slot,
	}
	l.requests[r.id] = r
	l.openRequests++
	c.requests[r.id] = r
	c.openRequests.Add(1)
	l.noteAccepted(r, arrivedAt)
	l.reportOrHold(r)
}

// checkAdmission reports whether a new request is to be rejected without consulting the engine, and why.
func (l *eventLoop) checkAdmission() (reason rejectReason, rejected bool) {
	switch {
	case l.cfg.Transport.MaxOpen > 0 && l.openRequests >= l.cfg.Transport.MaxOpen:
		return rejectTooManyOpen, true
	case l.drainDeadline > 0 && l.now >= l.drainDeadline:
		return rejectDraining, true
	default:
		return 0, false
	}
}

// limitTimeout limits the timeout that a client has requested. The longest timeout in the settings is the
// upper bound on how long the state of a request is kept. While the router drains, requests must also be answered by the drain deadline, before the process is killed.
func (l *eventLoop) limitTimeout(timeout, arrivedAt policy.Time) policy.Time {
	if l.maxTimeout > 0 {
		timeout = min(timeout, l.maxTimeout)
	}
	if l.drainDeadline > 0 {
		timeout = max(0, min(timeout, l.drainDeadline-arrivedAt))
	}
	return timeout
}

// beginDrain starts a drain: all open requests are answered by the given time, and the deadlines of new
// requests are no later than that.
func (l *eventLoop) beginDrain(lastRepliesDue policy.Time) {
	l.drainDeadline = lastRepliesDue
	l.schedule(lastRepliesDue, l.failOpenRequests)
}

// failOpenRequests fails the requests that are still open at the drain deadline: those accepted before the
// drain with a later deadline. An unanswered request would also block the replies queued behind it on its
// connection.
func (l *eventLoop) failOpenRequests() {
	l.endRequests(l.requests, requestFailed, []byte(resp.FailedReply))
}

// endRequests ends those of the given requests that are still open, without the engine's decision. It queues the ends
// of all of them for the engine before the first outcome of an attempt, as the engine may send another request after
// each outcome.
func (l *eventLoop) endRequests(requests map[int64]*request, result requestResult, reply []byte) {
	for id, r := range requests {
		if !r.done && r.reported {
			l.pendingEvents = append(l.pendingEvents, &policy.ClientGone{ID: id})
		}
	}
	for _, r := range requests {
		l.finish(r, result, reply)
	}
}

// handleClientCheckError handles an error of checkClient. If the client has disconnected it ends all of the
// client's requests, and if a disconnect can no longer be detected it ends the attempt. It returns false for
// any other error, after which the check is to be repeated.
func (l *eventLoop) handleClientCheckError(a *attempt, err error) bool {
	switch {
	case errors.Is(err, errClientDisconnected):
		l.clientDisconnected(a.request.client)
	case errors.Is(err, errDisconnectUndetectable):
		a.abandon(policy.NotSent)
	default:
		return false
	}
	return true
}

// clientDisconnected handles the disconnect of a client: it ends the client's requests.
func (l *eventLoop) clientDisconnected(c *clientConn) {
	c.disconnected = true
	l.endRequests(c.requests, requestAbandoned, nil)
}

// finishRequest is like finish for the request with the given ID, if there is one.
func (l *eventLoop) finishRequest(id int64, result requestResult, reply []byte) {
	if r := l.requests[id]; r != nil {
		l.finish(r, result, reply)
	}
}

// finish gives a request its final reply; nil stands for none. Only the first call has an effect. Attempts
// that are not completely written are abandoned first, because nothing may be sent to a cache for a request
// that has its reply.
func (l *eventLoop) finish(r *request, result requestResult, reply []byte) {
	if r.done {
		return
	}
	r.done = true
	l.openRequests--
	l.noteDone(r, result)
	delete(r.client.requests, r.id)
	r.client.openRequests.Add(-1)
	for _, a := range r.attempts {
		if a.state == attemptQueued || a.state == attemptWriting {
			a.abandon(policy.Cancelled)
		}
	}
	r.provideReply(reply)
	if r.pendingAttempts > 0 && r.command.Size > minReadBuffer {
		r.command.DropArguments() // no attempt of it starts any more
	}
	l.removeIfDone(r)
}

// provideReply passes the final reply to the client's writer.
func (r *request) provideReply(reply []byte) {
	if r.replyHold != nil {
		r.slot.fillFrom(reply, r.replyHold)
		return
	}
	r.slot.fill(reply)
}

// removeIfDone removes a request that is done and whose attempts all have an outcome.
func (l *eventLoop) removeIfDone(r *request) {
	if r.done && r.pendingAttempts == 0 {
		delete(l.requests, r.id)
	}
}
