package router

import (
	"errors"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// request is a client's command for which the policy engine decides on attempts and a reply.
type request struct {
	id              int64
	command         resp.Command
	deadline        policy.Time
	client          *clientConn
	slot            *replySlot
	done            bool // the final reply has been given, or the client is gone
	pendingAttempts int  // attempts without an outcome
	attempts        []*attempt
}

// acceptRequest takes a command of a client, which arrived at the given time, and reports it to the
// engine as a request.
func (l *eventLoop) acceptRequest(c *clientConn, slot *replySlot, cmd resp.Command, arrivedAt policy.Time) {
	if c.gone {
		slot.fill(nil)
		return
	}
	if reason, rejected := l.rejectsUnseen(); rejected {
		l.noteRejected(c, cmd, reason)
		slot.fill([]byte(resp.BusyReply)) // the engine does not see it, and it is never forwarded
		return
	}
	cmd.Timeout = l.boundTimeout(cmd.Timeout, arrivedAt)
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
	l.pendingEvents = append(l.pendingEvents, &policy.Request{
		ID:       r.id,
		Class:    cmd.Class,
		Tenant:   cmd.Tenant,
		Key:      cmd.KeyHash,
		HasKey:   true,
		Deadline: r.deadline,
		Cost:     cmd.Cost,
		Write:    cmd.Write,
	})
}

// rejectsUnseen reports whether a request can't be accepted, and why.
func (l *eventLoop) rejectsUnseen() (reason rejectReason, rejected bool) {
	switch {
	case l.cfg.Transport.MaxOpen > 0 && l.openRequests >= l.cfg.Transport.MaxOpen:
		return rejectTooMany, true
	case l.drainDeadline > 0 && l.now >= l.drainDeadline:
		return rejectDraining, true
	default:
		return 0, false
	}
}

// boundTimeout limits the timeout that a client asked for. The longest timeout of the settings
// bounds how long timers keep a request in memory. While the router drains, requests have to be
// answered before the process is killed.
func (l *eventLoop) boundTimeout(timeout, arrivedAt policy.Time) policy.Time {
	if l.maxTimeout > 0 {
		timeout = min(timeout, l.maxTimeout)
	}
	if l.drainDeadline > 0 {
		timeout = max(0, min(timeout, l.drainDeadline-arrivedAt))
	}
	return timeout
}

// beginDrain has all requests answered by the given time, as the router was told to terminate. The
// deadlines of further requests are bounded by it.
func (l *eventLoop) beginDrain(lastRepliesDue policy.Time) {
	l.drainDeadline = lastRepliesDue
	l.schedule(lastRepliesDue, l.failOpenRequests)
}

// failOpenRequests ends the requests that were accepted before the router was told to terminate,
// with timeouts that outlast it. An unanswered one would also hold up the replies behind it.
func (l *eventLoop) failOpenRequests() {
	for _, r := range l.requests {
		if !r.done {
			l.finish(r, requestFailed, []byte(resp.FailedReply))
			l.pendingEvents = append(l.pendingEvents, &policy.ClientGone{ID: r.id})
		}
	}
}

// resolveClientCheck ends the client's requests if a look at the client of an attempt has found it gone, and
// the attempt if the client's end can't be seen any more. It reports false if the look is to be repeated.
func (l *eventLoop) resolveClientCheck(a *attempt, err error) bool {
	switch {
	case errors.Is(err, errClientGone):
		l.clientGone(a.request.client)
	case errors.Is(err, errEndUnknown):
		a.abandon(policy.NotSent)
	default:
		return false
	}
	return true
}

// clientGone ends the requests of a client that has disconnected.
func (l *eventLoop) clientGone(c *clientConn) {
	c.gone = true
	for _, r := range c.requests {
		l.finish(r, requestAbandoned, nil)
		l.pendingEvents = append(l.pendingEvents, &policy.ClientGone{ID: r.id})
	}
}

// finishRequest gives a request its final reply, unless the request is unknown or done.
func (l *eventLoop) finishRequest(id int64, result requestResult, reply []byte) {
	if r := l.requests[id]; r != nil {
		l.finish(r, result, reply)
	}
}

// finish gives a request its final reply, once; nil stands for none. Attempts that are not
// completely written are abandoned first, since nothing may be sent for a request after its reply.
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
	r.slot.fill(reply)
	l.removeIfDone(r)
}

// removeIfDone forgets a request that has its final reply once all of its attempts have an outcome.
func (l *eventLoop) removeIfDone(r *request) {
	if r.done && r.pendingAttempts == 0 {
		delete(l.requests, r.id)
	}
}
