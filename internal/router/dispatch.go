package router

import (
	"errors"
	"time"

	"marlstage/policy"
)

// errClientGone reports that the client has disconnected.
var errClientGone = errors.New("the client has disconnected")

// clientCheckError reports that it could not be told whether the client is still connected.
type clientCheckError struct{ err error }

func (e *clientCheckError) Error() string { return "looking at the client: " + e.err.Error() }

func (e *clientCheckError) Unwrap() error { return e.err }

// isClientCheck reports whether the look at the client is why nothing was written.
func isClientCheck(err error) bool {
	var failed *clientCheckError
	return errors.Is(err, errClientGone) || errors.As(err, &failed)
}

// clientCheckInterval is the time between checks of a client's connection that fail.
const clientCheckInterval = 2 * time.Millisecond

// submit sends an attempt on an idle connection, or queues it for one.
func (p *pool) submit(a *attempt) {
	p.loop.schedule(a.deadline, func() { a.abandon(policy.TimedOut) })
	if a.startBefore > 0 {
		p.loop.schedule(a.startBefore, a.startWindowClosed)
	}
	p.queue = append(p.queue, a)
	p.dispatch()
	if a.state == attemptQueued {
		p.loop.schedule(a.dialDeadline(), a.dialDeadlineExceeded)
	}
}

// dispatch writes queued attempts, first in, first out, to idle connections and dials where there
// are too few.
func (p *pool) dispatch() {
	p.closeIdle(p.idleCutoff())
	for len(p.queue) > 0 {
		a := p.queue[0]
		// The loop may have taken long to get here, and a deadline may have passed since.
		p.loop.now = p.loop.clock()
		if !p.canStart(a) {
			a.finish(policy.NotSent, nil)
			continue
		}
		c := p.takeSettledConn()
		if c == nil {
			p.dialMissing()
			p.dispatchWhenSettled()
			return
		}
		if !c.writeAttempt(a) {
			p.postpone(a)
		}
	}
}

// canStart is the last check before an attempt's first byte is written: everything may have changed
// while it was queued.
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

// checkClient returns errClientGone if the client of a request has disconnected. The event that it has
// may still be queued, and the client's socket may have been closed before its request was read. Any
// other error means that this cannot be told for a moment. A health check has no client.
func (r *request) checkClient() error {
	if r == nil || r.done {
		return nil
	}
	hungUp, err := r.client.checkHangup()
	switch {
	case err != nil:
		return &clientCheckError{err}
	case hungUp:
		return errClientGone
	default:
		return nil
	}
}

// postpone takes the attempt at the head of the queue out of it until the next check of its client. Those
// behind it must not wait for that.
func (p *pool) postpone(a *attempt) {
	p.queue = p.queue[1:]
	p.postponed = append(p.postponed, a)
	p.loop.statistics.postponedAttempts.Add(1)
	if len(p.postponed) > 1 {
		return // the timer is set
	}
	p.loop.scheduleAfter(clientCheckInterval.Microseconds(), p.resumePostponed)
}

// resumePostponed queues the postponed attempts again.
func (p *pool) resumePostponed() {
	p.queue = append(p.queue, p.postponed...)
	p.postponed = nil
	p.dispatch()
}

// dispatchWhenSettled sets a timer for when the first idle connection settles. There is one timer at
// most: one for each call would pile up under load.
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
