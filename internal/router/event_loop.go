package router

import (
	"context"
	"sync/atomic"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/internal/resp"
	"marlstage/internal/socket"
	"marlstage/policy"
)

const (
	eventQueueSize   = 1024 // functions posted to the loop before their senders wait
	requestQueueSize = 128  // ... that take requests
)

// policyEngine makes the decisions: *policy.Engine, or a scripted one in tests.
type policyEngine interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
}

// eventLoop owns the policy engine and all state of requests, attempts and upstream connections.
// Its methods run in the loop's goroutine, except clock and post, which any goroutine may call. It never blocks on a socket.
type eventLoop struct {
	cfg           *config.Config
	system        socket.System
	engine        policyEngine
	ctx           context.Context // parent of the context of each watch
	events        chan postedEvent
	newRequests   chan postedEvent // handled only while there are no events: what has begun comes first
	limiter       *requestLimiter
	delayReports  *delayReporter
	logger        *eventLogger
	statistics    *statistics
	stalls        *stallMonitor
	delay         *loopDelay
	done          chan struct{} // closed when the loop has ended
	started       time.Time     // a reading of the monotonic clock ...
	startedUnix   policy.Time   // ... and of the wall clock, which may be off, at the same moment
	now           policy.Time   // time of the event being handled
	turnBegan     policy.Time   // when the present turn began
	turnEvents    int           // events that the engine has handled in it
	timers        timerHeap
	pendingEvents []policy.Event // events that the engine has not handled yet
	lastID        int64          // last number given to a request or a timer

	requests      map[int64]*request
	openRequests  int         // requests without a final reply
	maxTimeout    policy.Time // longest timeout of any request class
	drainDeadline policy.Time // when the last replies are due; 0 unless the router is draining

	pools         map[string]*pool // by the name of the cache
	descriptors   *descriptorBudget
	upstreamConns int                // connections to all caches, those being dialed included
	idlePools     map[*pool]struct{} // those with idle connections
	starvedPools  map[*pool]struct{} // those whose attempts wait for a descriptor
	settleTime    policy.Time        // between a reply on an upstream connection and its next request
	maxWriteTime  policy.Time        // for a command to a cache, once the timeout in it is computed
	canServe      atomic.Bool        // some known cache is in service; any goroutine may read it

	discovery        *discovery.Client
	endpointsVersion int64 // version of the endpoint list
	startTimes       *startTimes
	watching         bool
	watchBackoff     discovery.Backoff  // between watches that the engine does not ask for
	retriesInARow    int                // watches that the loop has retried by itself since the last list
	movedAt          policy.Time        // move to another service, from which no list has come yet; 0 if none
	nextFailureLine  policy.Time        // before that, failed watches are not logged
	cancelWatch      context.CancelFunc // ends the open watch

	moves                int                  // to another discovery service
	movesAtList          int                  // moves before the service was called that the last list came from
	replacedWatchCancels []context.CancelFunc // end the watches that moves have left running, the oldest first
}

func newEventLoop(cfg *config.Config, descriptors *descriptorBudget) (*eventLoop, error) {
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	l := &eventLoop{
		cfg:              cfg,
		system:           socket.Linux{},
		engine:           engine,
		events:           make(chan postedEvent, eventQueueSize),
		newRequests:      make(chan postedEvent, requestQueueSize),
		limiter:          newRequestLimiter(),
		logger:           newEventLogger(),
		statistics:       &statistics{},
		done:             make(chan struct{}),
		started:          now,
		startedUnix:      now.UnixMicro(),
		requests:         map[int64]*request{},
		maxTimeout:       longestTimeout(cfg.Settings.Classes),
		pools:            map[string]*pool{},
		idlePools:        map[*pool]struct{}{},
		starvedPools:     map[*pool]struct{}{},
		descriptors:      descriptors,
		settleTime:       defaultSettleTime,
		maxWriteTime:     defaultMaxWriteTime,
		discovery:        newDiscoveryClient(cfg),
		endpointsVersion: cfg.KnownEndpoints.Version,
		startTimes:       newStartTimes(),
	}
	l.stalls = newStallMonitor(l.clock(), l.noteStall)
	l.delay = &loopDelay{loop: l}
	l.delayReports = &delayReporter{loop: l}
	// A client's PING may be answered before the loop has applied the known endpoints.
	l.canServe.Store(cfg.KnownEndpoints.HasInService())
	return l, nil
}

func longestTimeout(classes []policy.Class) policy.Time {
	longest := policy.Time(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// clock returns Unix time in microseconds. From the start on it follows the monotonic clock, so
// that a step of the system's clock does not move deadlines.
func (l *eventLoop) clock() policy.Time {
	return l.startedUnix + time.Since(l.started).Microseconds()
}

// post has f run by the loop. After the loop has ended it does nothing.
func (l *eventLoop) post(f func()) { l.postTo(l.events, f) }

// postRequest has f, which takes a request, run by the loop when nothing else is to be done. After the loop
// has ended it does nothing.
func (l *eventLoop) postRequest(f func()) { l.postTo(l.newRequests, f) }

func (l *eventLoop) postTo(queue chan<- postedEvent, f func()) {
	event := postedEvent{run: f, postedAt: l.clock()}
	select {
	case queue <- event:
	case <-l.done:
	}
}

// run runs the loop until ctx ends, and then closes all upstream connections.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	if probe := newBacklogProbe(func() { l.stalls.probeReturned(l.clock()) }); probe != nil {
		defer probe.close()
		l.stalls.useProbe(probe.send)
	}
	go l.logger.run(l.done)
	l.ctx = ctx
	l.beginTurn()
	l.applyKnownEndpoints()
	if !l.cfg.Settings.WatchRequired {
		// The engine asks for a watch only where the settings require one. Otherwise it expects
		// updates to arrive unasked, and over real sockets that takes a watch, too.
		l.startWatch()
	}
	l.sweepIdle()
	l.logStatistics()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		l.resetAlarm(alarm, l.endTurn())
		if !l.takeEvent() && !l.awaitEvent(ctx, alarm) {
			l.closePools()
			return
		}
		l.deliverEvents()
		l.runDueTimers()
	}
}

// takeEvent runs an event that is there, and reports whether one was.
func (l *eventLoop) takeEvent() bool {
	select {
	case event := <-l.events:
		l.runEvent(event)
		return true
	default:
		return false
	}
}

// awaitEvent waits for an event, a request or the alarm, and reports false if the loop ends instead.
func (l *eventLoop) awaitEvent(ctx context.Context, alarm *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case event := <-l.events:
		l.runEvent(event)
	case event := <-l.newRequests:
		l.beginTurn()
		l.delay.noteEvent(event.postedAt)
		l.delayReports.noteRequest(event.postedAt)
		event.run()
	case <-alarm.C:
		l.beginTurn()
	}
	return true
}

func (l *eventLoop) runEvent(event postedEvent) {
	l.beginTurn()
	l.delay.noteEvent(event.postedAt)
	event.run()
}

// beginTurn reads the clock for the next event. Each turn is a heartbeat: where nothing happens the alarm
// makes one, so that they cost a busy router nothing.
func (l *eventLoop) beginTurn() {
	l.now = l.clock()
	l.turnBegan, l.turnEvents = l.now, 0
	l.stalls.beat(l.now)
}

// endTurn returns the time at which the turn ends.
func (l *eventLoop) endTurn() policy.Time {
	end := l.clock()
	l.delay.noteTurn(end)
	return end
}

// noteStall counts and logs that the process did not run for a time in microseconds. Any goroutine may
// call it.
func (l *eventLoop) noteStall(duration policy.Time) {
	l.statistics.noteStall(duration)
	l.logger.fault("process was stalled", "for", microseconds(duration))
}

// logStatistics logs the statistics now and then. A router that starts has none yet.
func (l *eventLoop) logStatistics() {
	l.scheduleAfter(statisticsInterval, func() {
		l.statistics.log(l.logger)
		l.logStatistics()
	})
}

// applyKnownEndpoints applies the endpoint list of the configuration, which may be stale.
func (l *eventLoop) applyKnownEndpoints() {
	known := l.cfg.KnownEndpoints
	known.Snapshot = true
	if !known.HasInService() {
		// Without a cache in service the router is not ready. Discovery answers a call for the
		// complete list at once, while a watch that hangs would keep the router from becoming ready.
		known.Version = discovery.NoVersion
	}
	l.applyEndpoints(known, policy.UpdateStale)
	l.deliverEvents()
}

func (l *eventLoop) closePools() {
	for _, p := range l.pools {
		p.closeAll()
	}
}

// deliverEvents hands the pending events to the engine, in order, and performs the actions that it
// returns. These may add further events.
func (l *eventLoop) deliverEvents() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.turnEvents++
		for _, action := range l.engine.Handle(l.now, ev) {
			l.perform(action)
		}
	}
	l.pendingEvents = nil
}

func (l *eventLoop) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		l.sendAttempt(action)
	case policy.Cancel:
		l.cancelAttempt(action)
	case policy.Reject:
		l.finishRequest(action.ID, requestRejected, resp.AppendBusy(nil, action.RetryAfter))
	case policy.Fail:
		l.finishRequest(action.ID, requestFailed, []byte(resp.FailedReply))
	case policy.SetTimer:
		l.schedule(action.At, func() {
			l.pendingEvents = append(l.pendingEvents, &policy.TimerFired{Token: action.Token})
		})
	case policy.HealthCheck:
		l.sendHealthCheck(action.Cache)
	case policy.CloseIdleConnections:
		if p := l.pools[action.Cache]; p != nil {
			p.closeIdle(l.now)
		}
	case policy.Watch:
		l.startWatch()
	case policy.LimitRequests:
		l.limiter.set(action)
	case policy.Log:
		l.logger.Info(action.Text)
	}
}

func (l *eventLoop) cancelAttempt(cancel policy.Cancel) {
	r := l.requests[cancel.ID]
	if r == nil || cancel.Attempt >= len(r.attempts) {
		return
	}
	r.attempts[cancel.Attempt].abandon(policy.Cancelled)
}
