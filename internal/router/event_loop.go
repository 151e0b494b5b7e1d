package router

import (
	"container/heap"
	"context"
	"log"
	"sync/atomic"
	"time"

	"marlstage/policy"
)

// eventLoop owns the decision module and all state of requests, attempts and
// upstream connections. Every method but post runs in its one goroutine, so
// that nothing can slip in between a decision and what carries it out. It never
// blocks on a socket.
type eventLoop struct {
	cfg               *Config
	engine            policyEngine
	descriptors       *descriptorBudget
	events            chan func()
	logLines          chan string   // for the log
	done              chan struct{} // closed when the loop has ended
	startTime         time.Time
	now               policy.Time
	timers            timerHeap
	pendingEvents     []policy.Event // what the module is still to be told
	requests          map[int64]*request
	lastID            int64
	openRequests      int // requests that still want their final answer
	pools             map[string]*pool
	settleTime        policy.Time // of a connection to a cache, after an answer
	upstreamConns     int         // to all upstreams, those coming up included
	descriptorStarved bool        // an attempt waits for a descriptor
	maxTimeout        policy.Time // patience of any client
	drainDeadline     policy.Time // when the last answers are given, once the router is to end
	discovery         *discovery
	endpointsVersion  int64 // version of the list
	watching          bool
	failedWatches     int                // watches in a row that told nothing
	cancelWatch       context.CancelFunc // of the watch that is on
	canServe          atomic.Bool        // a cache is known that takes work
	ctx               context.Context    // ends the watch
}

// decider makes the decisions: *policy.Router, or a script in tests.
type policyEngine interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
}

const (
	logQueueSize       = 256  // lines that wait for whoever reads the log; more are dropped
	eventQueueSize     = 1024 // events under way to the loop before senders wait
	busyReply          = "-BUSY\r\n"
	failedReply        = "-ERR failed\r\n"
	sweepInterval      = 1_000_000 // microseconds between looks for idle connections, ...
	sweepsPerKeepalive = 8         // or so many looks while a cache keeps one
	watchBackoffBase   = 100_000   // ... before another watch where the list has to come by itself: at most
	maxWatchDoublings  = 4         // ... doubled with each that fails, so many times
)

func newEventLoop(cfg *Config, s *descriptorBudget) (*eventLoop, error) {
	m, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	longest := policy.Time(0)
	for _, c := range cfg.Settings.Classes {
		longest = max(longest, c.Timeout)
	}
	l := &eventLoop{cfg: cfg, maxTimeout: longest, settleTime: defaultSettleTime, engine: m, descriptors: s, events: make(chan func(), eventQueueSize), logLines: make(chan string, logQueueSize), done: make(chan struct{}), startTime: time.Now(), requests: map[int64]*request{},
		pools: map[string]*pool{}, discovery: newDiscovery(cfg), endpointsVersion: cfg.Known.index}
	l.canServe.Store(cfg.Known.serves()) // the danger: a PING overtakes the loop's first turn
	return l, nil
}

// clock is Unix time in microseconds. It runs on the monotonic clock from the
// start on: a step of the system's clock must not move deadlines.
func (l *eventLoop) clock() policy.Time {
	return l.startTime.UnixMicro() + time.Since(l.startTime).Microseconds()
}

// post has f run by the loop. After the loop's end it does nothing.
func (l *eventLoop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// log hands a line to the log's writer. The danger: a log that nobody reads stops the router.
func (l *eventLoop) log(line string) {
	select {
	case l.logLines <- line:
	default:
	}
}

func (l *eventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			log.Print(line)
		case <-l.done:
			return
		}
	}
}

// run is the loop. It ends with ctx.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	go l.writeLog()
	l.ctx = ctx
	l.now = l.clock()
	known := l.cfg.Known
	known.full = true
	if !known.serves() {
		known.index = noIndex // the danger: a watch that falls silent keeps the router from being ready
	}
	l.applyEndpoints(known, policy.UpdateStale)
	l.deliverEvents()
	if !l.cfg.Settings.WatchRequired {
		l.startWatch() // "changes come by themselves" to the module: on real sockets somebody has to call
	}
	l.sweepIdle()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(l.timers[0].at-l.clock()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			for _, u := range l.pools {
				u.closeAll()
			}
			return
		case f := <-l.events:
			l.now = l.clock()
			f()
		case <-alarm.C:
			l.now = l.clock()
		}
		l.deliverEvents()
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			heap.Pop(&l.timers).(timer).run()
			l.deliverEvents()
		}
	}
}

// deliverEvents hands the module what has happened, in order, and does what it says.
func (l *eventLoop) deliverEvents() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		for _, a := range l.engine.Handle(l.now, ev) {
			l.perform(a)
		}
	}
	l.pendingEvents = nil
}

func (l *eventLoop) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		l.sendAttempt(a)
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].abandon(policy.Cancelled)
		}
	case policy.Reject:
		if r := l.requests[a.ID]; r != nil {
			l.finish(r, appendBusy(nil, a.RetryAfter))
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.finish(r, []byte(failedReply))
		}
	case policy.SetTimer:
		l.schedule(a.At, func() { l.pendingEvents = append(l.pendingEvents, &policy.TimerFired{Token: a.Token}) })
	case policy.HealthCheck:
		l.sendHealthCheck(a.Cache)
	case policy.CloseIdleConnections:
		if u := l.pools[a.Cache]; u != nil {
			u.closeIdle(l.now)
		}
	case policy.Watch:
		l.startWatch()
	case policy.Log:
		l.log(a.Text)
	}
}
