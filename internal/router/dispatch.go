package router

import (
	"time"

	"marlstage/policy"
)

// clientCheckInterval is the time between checks of a client's connection that fail.
const clientCheckInterval = time.Millisecond

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
		if p.endIfClientGone(a.request) != nil {
			p.dispatchAfterClientCheck()
			return
		}
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
		c.writeAttempt(a)
	}
}

// canStart is the last check before an attempt's first byte is written: everything may have changed
// while it was queued.
func (p *pool) canStart(a *attempt) bool {
	return p.canComplete(a) && p.inService
}

// canComplete reports whether the rest of an attempt's command may be written.
func (p *pool) canComplete(a *attempt) bool {
	now := p.loop.now
	requestDone := a.request != nil && a.request.done
	inStartWindow := a.startBefore == 0 || now < a.startBefore
	return now < a.deadline && inStartWindow && !requestDone
}

// endIfClientGone ends a request whose client has disconnected. The event that the client is gone may
// still be queued. The client's socket is asked each time, as it may have been closed before its
// request was read. It fails if that cannot be told: the attempt then neither starts nor ends.
func (p *pool) endIfClientGone(r *request) error {
	if r == nil || r.done {
		return nil
	}
	hungUp, err := r.client.checkHangup()
	if hungUp {
		p.loop.clientGone(r.client)
	}
	return err
}

// dispatchAfterClientCheck sets a timer for the next check of the client at the head of the queue,
// one at most.
func (p *pool) dispatchAfterClientCheck() {
	if p.clientCheckTimerSet {
		return
	}
	p.clientCheckTimerSet = true
	p.loop.scheduleAfter(clientCheckInterval.Microseconds(), func() {
		p.clientCheckTimerSet = false
		p.dispatch()
	})
}

// dispatchWhenSettled sets a timer for when the first idle connection settles. There is one timer at
// most: one for each call would pile up under load.
func (p *pool) dispatchWhenSettled() {
	if len(p.idle) == 0 || p.settleTimerSet {
		return
	}
	p.settleTimerSet = true
	p.loop.schedule(p.idle[0].idleSince+p.loop.settleTime, func() {
		p.settleTimerSet = false
		p.dispatch()
	})
}
