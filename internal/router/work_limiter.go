package router

import (
	"time"

	"golang.org/x/time/rate"

	"marlstage/policy"
)

// Work is counted in units of about 3 microseconds of processor time.
const (
	workUnitTime = 3 * time.Microsecond
	// readWork is the work of one read from a socket, and bytesPerWorkUnit the number of bytes whose reading and
	// parsing is one more unit.
	readWork         = 1
	bytesPerWorkUnit = 1 << 10
	// commandWork is the work of a command and its reply, without that of the event loop for a request.
	commandWork = 1
	// discardWork is the work of a read of bytes that nobody needs.
	discardWork = 25
	// acceptWork is the work of a connection that is accepted, told of an error and closed.
	acceptWork = 40
)

// maxRefundedPipeline is the number of commands of a connection that may await their replies while the work of its
// requests is taken back.
const maxRefundedPipeline = 64

const (
	// workBurst is the work that a connection may do at once, and in one turn. A new connection may do newWorkBurst.
	workBurst    = 64
	newWorkBurst = 32
	// freeWorkRate and minFreeWorkRate are the units a second that a connection may do without a turn, with a whole
	// core and with the smallest part of one.
	freeWorkRate    = 1000
	minFreeWorkRate = 250
	// turnShare is the share of the processor for the turns of all connections together.
	turnShare = 0.25
	// acceptShare is the share of the processor for new connections, beyond acceptBurst of them at once.
	acceptShare = 0.4
	acceptBurst = 64
	// discardShare is the share of the processor for reads of bytes that nobody needs, beyond discardBurst at once.
	discardShare = 0.1
	discardBurst = 64
)

// workLimiter bounds the share of the processor that connections take which send more than they may do without a
// turn: all of them together do no more than turnShare, one after the other. In between, the event loop, the readers of
// other connections and the runtime's poller run, which a goroutine that never blocks would delay by up to 10 ms each
// time. Any goroutine may use it.
type workLimiter struct {
	turns     turnQueue
	turnPause time.Duration // before each turn
	freeRate  float64       // units a second
	accepts   *rate.Limiter // of new connections
	discards  *rate.Limiter // of reads of bytes that nobody needs
}

// newWorkLimiter returns the limiter of a process with the given number of cores, of which a part may be allowed.
func newWorkLimiter(cores float64) *workLimiter {
	if cores <= 0 {
		cores = 1
	}
	turnTime := float64(workBurst * workUnitTime)
	return &workLimiter{
		turnPause: time.Duration(turnTime / (turnShare * cores)),
		freeRate:  max(minFreeWorkRate, freeWorkRate*min(1, cores)),
		accepts:   rate.NewLimiter(perSecond(acceptShare*cores, acceptWork), acceptBurst),
		discards:  rate.NewLimiter(perSecond(discardShare*cores, discardWork), discardBurst),
	}
}

// perSecond returns how often a second some work may be done within a share of the processor.
func perSecond(share float64, units int) rate.Limit {
	return rate.Limit(share / (float64(units) * workUnitTime.Seconds()))
}

// mayDiscard reports whether bytes that nobody needs may be read now.
func (l *workLimiter) mayDiscard() bool { return l.discards.Allow() }

// acceptDelay returns how long to wait before the next connection is accepted.
func (l *workLimiter) acceptDelay() time.Duration { return l.accepts.Reserve().Delay() }

// connWork is the work that a connection may still do before it needs a turn. It is owned by its reader.
type connWork struct {
	left       int
	refilledAt policy.Time
	nextTag    int64 // earliest start tag of its next turn, see turnQueue
}

// newConnWork returns the work of a new connection.
func (l *workLimiter) newConnWork(now policy.Time) connWork {
	return connWork{left: newWorkBurst, refilledAt: now, nextTag: l.turns.newcomerTag()}
}

// awaitTurn waits for the next turn of a connection. It pauses before the turn, so that others run.
func (l *workLimiter) awaitTurn(w *connWork) {
	w.nextTag = l.turns.take(w.nextTag)
	if !l.turns.isStopped() {
		time.Sleep(l.turnPause)
	}
	l.turns.pass()
}

// charge counts work.
func (w *connWork) charge(units int) { w.left -= units }

// chargeRead counts the work of a read of n bytes.
func (w *connWork) chargeRead(n int) { w.charge(readWork + n/bytesPerWorkUnit) }

// refundRequest takes back the work of a request of the given size that has been accepted, of a client that does not
// send many more than it has replies to: it is limited by the event loop, the memory budget and the engine.
func (w *connWork) refundRequest(size int) {
	w.left = min(workBurst, w.left+commandWork+readWork+size/bytesPerWorkUnit)
}

// refill adds the work that the connection may do without a turn since the last call.
func (w *connWork) refill(now policy.Time, freeRate float64) {
	free := freeRate * microseconds(now-w.refilledAt).Seconds()
	w.left = int(min(workBurst, float64(w.left)+free))
	w.refilledAt = now
}

// limitWork waits for a turn if the connection has done more work than it may do without one.
func (r *commandReader) limitWork() {
	if r.work.left > 0 {
		return
	}
	srv := r.conn.srv
	r.work.refill(srv.loop.clock(), srv.work.freeRate)
	for r.work.left <= 0 {
		srv.loop.statistics.workTurns.Add(1)
		srv.work.awaitTurn(&r.work)
		r.work.left += workBurst
	}
}
