package router

import (
	"errors"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// The requests of a client whose disconnect may be hidden are held back from the engine. Their attempts could not start,
// and would take the places of those of other clients at the caches meanwhile.

// heldRequestsCheckInterval is the time in microseconds between checks whether a client is still connected.
const heldRequestsCheckInterval policy.Time = 10_000

// reportOrHold reports a new request to the engine, or holds it until its client is known to be connected.
func (l *eventLoop) reportOrHold(r *request) {
	c := r.client
	isFirst := len(c.held) == 0
	if isFirst && (l.now >= r.deadline || !c.windowWasShort()) {
		l.report(r)
		return
	}
	l.statistics.heldRequests.Add(1)
	c.held = append(c.held, r)
	if isFirst {
		l.scheduleHeldRequestsCheck(c)
	}
}

func (l *eventLoop) scheduleHeldRequestsCheck(c *clientConn) {
	l.scheduleAfter(heldRequestsCheckInterval, func() { l.checkHeldRequests(c) })
}

// checkHeldRequests reports the held requests of a client once it is known to be connected, and ends them if it is not.
func (l *eventLoop) checkHeldRequests(c *clientConn) {
	if c.disconnected {
		c.held = nil // they have ended
		return
	}
	disconnected, err := c.checkHangup()
	switch {
	case disconnected:
		c.held = nil
		l.clientDisconnected(c)
	case errors.Is(err, errDisconnectHidden):
		l.rejectOverdueHeld(c)
	default: // the check before each attempt handles other errors
		l.reportHeld(c)
	}
	if len(c.held) > 0 {
		l.scheduleHeldRequestsCheck(c)
	}
}

func (l *eventLoop) reportHeld(c *clientConn) {
	held := c.held
	c.held = nil
	for _, r := range held {
		if !r.done {
			l.report(r)
		}
	}
}

// rejectOverdueHeld rejects the held requests of a client whose deadlines have passed.
func (l *eventLoop) rejectOverdueHeld(c *clientConn) {
	var held []*request
	for _, r := range c.held {
		if r.deadline <= l.now {
			l.finish(r, requestRejected, []byte(resp.BusyReply))
		}
		if !r.done {
			held = append(held, r)
		}
	}
	c.held = held
}

// report reports a request to the engine.
func (l *eventLoop) report(r *request) {
	r.reported = true
	l.pendingEvents = append(l.pendingEvents, &policy.Request{
		ID:       r.id,
		Class:    r.command.Class,
		Tenant:   r.command.Tenant,
		Key:      r.command.KeyHash,
		HasKey:   true,
		Deadline: r.deadline,
		Cost:     r.command.Cost,
		Write:    r.command.Write,
	})
}
