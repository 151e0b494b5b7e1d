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
	eventQueueSize   = 1024 // functions that are queued for the loop before post blocks
	requestQueueSize = 128  // requests that are queued for the loop before postRequest blocks
)

// policyEngine decides how requests are handled. It is a *policy.Engine, or a scripted engine in tests.
type policyEngine interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Usage() policy.Usage
	TimerPending(token int64) bool
}

// eventLoop owns the policy engine and all state of requests, attempts and upstream connections. Its methods run
// in the loop's goroutine unless their comment says otherwise. The loop never blocks on a socket.
type eventLoop struct {
	cfg           *config.Config
	system        socket.System
	engine        policyEngine
	ctx           context.Context // parent of the context of each watch
	events        chan postedEvent
	newRequests   chan postedEvent // handled only while events is empty, so that open requests take precedence
	limiter       *requestLimiter
	delayReporter *delayReporter
	logger        *eventLogger
	statistics    *statistics
	stalls        *stallMonitor
	delayMonitor  *delayMonitor
	done          chan struct{} // closed when the loop has ended
	startedAt     time.Time     // when the loop was created, by the monotonic clock
	startedAtUnix policy.Time   // the same moment by the wall clock, which may be wrong
	now           policy.Time   // time of the event being handled
	turnStartedAt policy.Time   // start of the current turn
	eventsInTurn  int           // events that the engine has handled in the current turn
	timers        timerHeap
	pruneTimersAt int            // number of timers at which those without an effect are removed
	pendingEvents []policy.Event // events that the engine has not handled yet
	lastID        int64          // last ID assigned to a request or a timer

	requests         map[int64]*request
	openRequests     int         // requests without a final reply
	attemptsInFlight int         // attempts of requests that have no outcome yet
	maxTimeout       policy.Time // longest timeout of any request class
	drainDeadline    policy.Time // when the last replies of the drain are due; 0 unless the router is draining

	pools         map[string]*pool // by the name of the cache
	descriptors   *descriptorBudget
	memory        *memoryBudget
	upstreamConns int                // connections to all caches, including those being dialed
	idlePools     map[*pool]struct{} // pools with idle connections
	starvedPools  map[*pool]struct{} // pools that could not dial because no descriptor was left
	settleTime    policy.Time        // minimum time between a reply on a connection and the next request on it
	maxWriteTime  policy.Time        // maximum time between encoding a command, with its timeout, and its last write
	ready         atomic.Bool        // a known cache is in service; any goroutine may read it

	discovery           *discovery.Client
	endpointsVersion    int64 // version of the endpoint list
	startTimes          *startTimes
	watching            bool
	watchBackoff        discovery.Backoff  // between watches that the loop retries itself
	watchRetries        int                // consecutive watches that the loop has retried itself
	discoveryMovedAt    policy.Time        // last move to another discovery service; 0 once that has sent a list
	nextWatchFailureLog policy.Time        // time before which failed watches are not logged
	cancelWatch         context.CancelFunc // cancels the open watch

	discoveryGeneration  int                  // incremented when discovery moves to another service
	lastListGeneration   int                  // discoveryGeneration of the watch that sent the last list
	replacedWatchCancels []context.CancelFunc // cancel the watches of replaced services that still run, oldest first
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
		startedAt:        now,
		startedAtUnix:    now.UnixMicro(),
		requests:         map[int64]*request{},
		maxTimeout:       longestTimeout(cfg.Settings.Classes),
		pools:            map[string]*pool{},
		idlePools:        map[*pool]struct{}{},
		starvedPools:     map[*pool]struct{}{},
		descriptors:      descriptors,
		memory:           newMemoryBudget(cfg.Limits),
		settleTime:       defaultSettleTime,
		maxWriteTime:     defaultMaxWriteTime,
		discovery:        newDiscoveryClient(cfg),
		endpointsVersion: cfg.KnownEndpoints.Version,
		startTimes:       newStartTimes(),
	}
	l.stalls = newStallMonitor(l.clock(), l.noteStall)
	l.delayMonitor = &delayMonitor{loop: l}
	l.delayReporter = &delayReporter{loop: l}
	// A PING may be answered before the loop has applied the configured endpoints.
	l.ready.Store(cfg.KnownEndpoints.HasInService())
	return l, nil
}

func longestTimeout(classes []policy.Class) policy.Time {
	longest := policy.Time(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// clock returns Unix time in microseconds. It advances with the monotonic clock from the loop's start, so
// that a step of the wall clock does not move deadlines. Any goroutine may call it.
func (l *eventLoop) clock() policy.Time {
	return l.startedAtUnix + time.Since(l.startedAt).Microseconds()
}

// post queues f to be run by the loop, and blocks while the queue is full. After the loop has ended it does
// nothing. Any goroutine may call it.
func (l *eventLoop) post(f func()) { l.postTo(l.events, postedEvent{run: f}) }

// postRequest is like post for a function that accepts a request: the loop runs it only when no other event is
// queued.
func (l *eventLoop) postRequest(f func()) { l.postTo(l.newRequests, postedEvent{run: f}) }

// postDiscardable is like post, but calls discard if the loop ends before it has run f.
func (l *eventLoop) postDiscardable(f, discard func()) {
	l.postTo(l.events, postedEvent{run: f, discard: discard})
}

func (l *eventLoop) postTo(queue chan<- postedEvent, event postedEvent) {
	event.postedAt = l.clock()
	select {
	case queue <- event:
		return
	case <-l.done:
	}
	if event.discard != nil {
		event.discard()
	}
}

// discardEvents discards the events that the loop has not run when it ends.
func (l *eventLoop) discardEvents() {
	for {
		select {
		case event := <-l.events:
			if event.discard != nil {
				event.discard()
			}
		default:
			return
		}
	}
}

// run runs the loop until ctx is done, and then closes all upstream connections.
func (l *eventLoop) run(ctx context.Context) {
	defer l.discardEvents()
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
		// The engine requests a watch only if the settings require one. Otherwise it expects updates
		// without a request, and over the network these need a watch as well.
		l.startWatch()
	}
	l.sweepIdle()
	l.logStatisticsPeriodically()
	wakeTimer := time.NewTimer(0)
	defer wakeTimer.Stop()
	for {
		l.resetWakeTimer(wakeTimer, l.endTurn())
		if !l.runQueuedEvent() && !l.waitForEvent(ctx, wakeTimer) {
			l.closePools()
			return
		}
		l.deliverEvents()
		l.runDueTimers()
	}
}

// runQueuedEvent runs the next queued event without waiting, and reports whether there was one.
func (l *eventLoop) runQueuedEvent() bool {
	select {
	case event := <-l.events:
		l.runEvent(event)
		return true
	default:
		return false
	}
}

// waitForEvent waits for an event, a request or the timer that wakes the loop, and runs the event or request. It
// returns false if ctx is done.
func (l *eventLoop) waitForEvent(ctx context.Context, wakeTimer *time.Timer) bool {
	select {
	case <-ctx.Done():
		return false
	case event := <-l.events:
		l.runEvent(event)
	case event := <-l.newRequests:
		l.beginTurn()
		l.delayMonitor.noteEvent(event.postedAt)
		l.delayReporter.noteRequest(event.postedAt)
		event.run()
	case <-wakeTimer.C:
		l.beginTurn()
	}
	return true
}

func (l *eventLoop) runEvent(event postedEvent) {
	l.beginTurn()
	l.delayMonitor.noteEvent(event.postedAt)
	event.run()
}

// beginTurn sets the current time for the next event and starts a turn. Each turn counts as a heartbeat for
// the stall monitor. While the loop is idle, its timer starts a turn for each heartbeat, so heartbeats cost a
// busy router nothing extra.
func (l *eventLoop) beginTurn() {
	l.now = l.clock()
	l.turnStartedAt, l.eventsInTurn = l.now, 0
	l.stalls.beat(l.now)
}

// endTurn records the turn and returns the time at which it ended.
func (l *eventLoop) endTurn() policy.Time {
	end := l.clock()
	l.delayMonitor.noteTurn(end)
	return end
}

// noteStall counts and logs that the process did not run for the given time in microseconds. Any goroutine
// may call it.
func (l *eventLoop) noteStall(duration policy.Time) {
	l.statistics.noteStall(duration)
	l.logger.logFault("process was stalled", "for", microseconds(duration))
}

// logStatisticsPeriodically logs the statistics after each interval.
func (l *eventLoop) logStatisticsPeriodically() {
	l.scheduleAfter(statisticsInterval, func() {
		l.logStatistics()
		l.logStatisticsPeriodically()
	})
}

// applyKnownEndpoints applies the endpoint list of the configuration, which may be stale.
func (l *eventLoop) applyKnownEndpoints() {
	known := l.cfg.KnownEndpoints
	known.Snapshot = true
	if !known.HasInService() {
		// Without a cache in service the router is not ready. The discovery service answers a call for
		// the complete list at once, whereas a watch may wait and would delay readiness.
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

// deliverEvents passes the pending events to the engine, in order, and performs the actions that it
// returns. Actions may add further events.
func (l *eventLoop) deliverEvents() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.eventsInTurn++
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
		l.scheduleEngineTimer(action)
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

// cancelAttempt cancels an attempt. One that has its outcome, or could not start, is left as it is.
func (l *eventLoop) cancelAttempt(cancel policy.Cancel) {
	r := l.requests[cancel.ID]
	if r == nil {
		return
	}
	if a := r.attempt(cancel.Attempt); a != nil {
		a.abandon(policy.Cancelled)
	}
}
