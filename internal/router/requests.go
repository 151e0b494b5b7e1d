package router

import (
	"marlstage/internal/resp"
	"marlstage/policy"
)

// request is one command of a client that the module decides about.
type request struct {
	id              int64
	command         resp.Command
	deadline        policy.Time
	client          *clientConn
	slot            *replySlot
	done            bool // the final answer is given, or nobody waits for it
	pendingAttempts int  // attempts without an outcome
	attempts        []*attempt
}

// acceptRequest takes a request from a client and asks the module about it.
func (l *eventLoop) acceptRequest(c *clientConn, s *replySlot, cmd resp.Command, read policy.Time) {
	if l.cfg.Transport.MaxOpen > 0 && l.openRequests >= l.cfg.Transport.MaxOpen {
		s.fill([]byte(busyReply)) // beyond what the settings let a router hold; never sent on
		return
	}
	if l.maxTimeout > 0 {
		// The danger: timers last as long as the client claims to wait, and hold the request.
		cmd.Timeout = min(cmd.Timeout, l.maxTimeout)
	}
	if l.drainDeadline > 0 {
		cmd.Timeout = max(0, min(cmd.Timeout, l.drainDeadline-read)) // what SIGKILL would find unanswered is lost
	}
	l.lastID++
	r := &request{id: l.lastID, command: cmd, deadline: read + cmd.Timeout, client: c, slot: s}
	l.requests[r.id] = r
	l.openRequests++
	c.requests[r.id] = r
	l.pendingEvents = append(l.pendingEvents, &policy.Request{ID: r.id, Class: cmd.Class, Tenant: cmd.Tenant, Key: cmd.KeyHash,
		HasKey: true, Deadline: r.deadline, Cost: cmd.Cost, Write: cmd.Write})
}

// beginDrain notes that the router is to end, as it was told at the given time.
func (l *eventLoop) beginDrain(told policy.Time) {
	longest := min(l.maxTimeout, maxDrainTimeout.Microseconds())
	l.drainDeadline = told + longest + (drainSlack - drainAnswerMargin).Microseconds()
}

// clientGone notes that a client has closed its connection.
func (l *eventLoop) clientGone(c *clientConn) {
	for _, r := range c.requests {
		l.finish(r, nil)
		l.pendingEvents = append(l.pendingEvents, &policy.ClientGone{ID: r.id})
	}
}

// finish gives the final answer, once. Attempts that are not written whole end here, before
// the answer leaves: nothing may go out for a request after it.
func (l *eventLoop) finish(r *request, answer []byte) {
	if r.done {
		return
	}
	r.done = true
	l.openRequests--
	delete(r.client.requests, r.id)
	for _, a := range r.attempts {
		if a.state == attemptQueued || a.state == attemptWriting {
			a.abandon(policy.Cancelled)
		}
	}
	r.slot.fill(answer)
	l.removeIfDone(r)
}

// removeIfDone drops a request that is over once its attempts are.
func (l *eventLoop) removeIfDone(r *request) {
	if r.done && r.pendingAttempts == 0 {
		delete(l.requests, r.id)
	}
}
