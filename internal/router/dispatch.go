package router

import (
	"errors"
	"time"

	"marlstage/policy"
)

// errClientDisconnected reports that the client has disconnected.
var errClientDisconnected = errors.New("the client has disconnected")

// clientCheckError reports that the check whether the client is still connected failed.
type clientCheckError struct{ err error }

func (e *clientCheckError) Error() string {
	return "checking the client's connection: " + e.err.Error()
}

func (e *clientCheckError) Unwrap() error { return e.err }

// isClientCheckError reports whether err is a result of checkClient, so that nothing was written.
func isClientCheckError(err error) bool {
	var failed *clientCheckError
	return errors.Is(err, errClientDisconnected) || errors.As(err, &failed)
}

// clientCheckInterval is the time until a failed check of a client's connection is repeated.
const clientCheckInterval = 2 * time.Millisecond

// submit sends an attempt on an idle connection, or queues it until there is one.
func (p *pool) submit(a *attempt) {
	a.schedule(a.deadline, func() { a.abandon(policy.TimedOut) })
	if a.startBefore > 0 {
		a.schedule(a.startBefore, a.startWindowClosed)
	}
	p.queue = append(p.queue, a)
	p.dispatch()
	if a.state == attemptQueued {
		a.schedule(a.dialDeadline(), a.dialDeadlineExceeded)
	}
}

// dispatch writes the queued attempts, first in, first out, to idle connections, and dials new connections if
// there are too few.
func (p *pool) dispatch() {
	p.closeIdle(p.idleCutoff())
	for len(p.queue) > 0 {
		a := p.queue[0]
		// A deadline may have passed since the loop last read the clock.
		p.loop.now = p.loop.clock()
		if !p.canStart(a) {
			a.finish(policy.NotSent, nil)
			continue
		}
		c := p.takeSettledConn()
		if c == nil {
			p.dialNeededConns()
			p.dispatchWhenSettled()
			return
		}
		if !c.writeAttempt(a) {
			p.postpone(a)
		}
	}
}

// canStart reports whether the first byte of an attempt's command may be written. It is evaluated right before
// the write, because conditions may have changed while the attempt was queued.
func (p *pool) canStart(a *attempt) bool {
	return p.inService && p.canComplete(a)
}

// canComplete reports whether the rest of an attempt's command may be written.
func (p *pool) canComplete(a *attempt) bool {
	now := p.loop.now
	requestDone := a.request != nil && a.request.done
	inStartWindow := a.startBefore == 0 || now < a.startBefore
	return now < a.deadline && inStartWindow && !requestDone
}

// checkClient returns errClientDisconnected if the client of a request has disconnected. It checks the socket,
// because the event that reports the disconnect may still be queued, and the client may have closed its
// connection before its request was read. Any other error means that the check failed. It returns nil for a
// health check, whose request is nil.
func (r *request) checkClient() error {
	if r == nil || r.done {
		return nil
	}
	hungUp, err := r.client.checkHangup()
	switch {
	case err != nil:
		return &clientCheckError{err}
	case hungUp:
		return errClientDisconnected
	default:
		return nil
	}
}

// postpone moves the attempt at the head of the queue to the postponed ones, until its client is checked again.
// The attempts behind it need not wait for that.
func (p *pool) postpone(a *attempt) {
	p.queue = p.queue[1:]
	a.wasPostponed = true
	p.postponed = append(p.postponed, a)
	p.loop.statistics.postponedAttempts.Add(1)
	if len(p.postponed) > 1 {
		return // the timer is already set
	}
	p.loop.scheduleAfter(clientCheckInterval.Microseconds(), p.resumePostponed)
}

// resumePostponed moves the postponed attempts back to the queue.
func (p *pool) resumePostponed() {
	p.queue = append(p.queue, p.postponed...)
	p.postponed = nil
	p.dispatch()
}

// dispatchWhenSettled schedules a dispatch for when the connection that has been idle for longest has settled.
// There is at most one timer per pool: under load, one for each call would accumulate.
func (p *pool) dispatchWhenSettled() {
	if len(p.idle) == 0 || p.settleTimerSet {
		return
	}
	p.settleTimerSet = true
	p.loop.schedule(p.idle[0].idleSince+p.settleTime(), func() {
		p.settleTimerSet = false
		p.dispatch()
	})
}
