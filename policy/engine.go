// The engine: its state, events and timers. The exported interface is described in api.go.

package policy

import (
	"fmt"
	"math"

	"marlstage/internal/callback"
	"marlstage/internal/partialsort"
	"marlstage/internal/splitmix"
	"marlstage/internal/stats"
)

// Engine holds the state of one router's policy. Create it with New; it is not safe for concurrent use.
type Engine struct {
	settings          Settings
	classes           map[string]*Class
	latencyThreshold  Time    // shortest latency threshold of any class
	shortestObjective Time    // shortest latency objective of any class
	routerShare       float64 // this router's part of a fleet-wide limit of one
	limitStep         float64 // unit in which limits change: one attempt, or less where there are many routers
	sparseTraffic     bool    // as one of many, it sends each cache too few requests to learn much about it
	salt              uint64  // makes this router's hashes differ from those of other routers
	rng               splitmix.Source

	now     Time     // time of the event being handled
	actions []Action // actions for the event being handled
	timers  callback.Registry

	caches      map[string]*cache          // all known caches by ID, and removed ones for a while
	zones       map[string]*circuitBreaker // circuit breakers of the zones
	inService   []*cache                   // caches in service, ordered by ID
	groups      cacheGroups
	sums        weightSums          // cached by the method weightSums
	warmLoad    stats.DecayingCount // recently accepted attempts at warm caches
	meanWeight  float64             // mean weight of the caches in service
	started     bool                // an endpoint list has arrived
	failedPolls int                 // consecutive failed polls of the endpoint list
	polledAt    Time                // start of the last poll, or the last update

	nextPollFailureLog Time // failed polls are not logged before this

	checkRound         int     // number of the last round of health checks
	healthCheckBudget  float64 // health checks earned by requests since the last round
	skippedIntervals   int     // health check intervals since the last round
	requestsInInterval int     // since the last health check interval began
	resumeChecksAfter  string  // ID of the cache after which the next round continues; empty for a new round

	requests          map[int64]*request
	queue             []*request                 // requests that wait for capacity, in the order of arrival
	rankingVersion    int                        // incremented when rankings may change
	lowestScores      partialsort.Lowest[*cache] // results of the last search, kept to reuse the memory
	lowestUnreachable partialsort.Lowest[*cache] // the same for caches with open circuits
	keyCounts         stats.KeyCounts            // requests by key
	requestCounts     stats.WindowCount
	attemptsSent      int     // since the engine started
	retryBudget       float64 // tokens for retries and hedges

	missesInFlight    int     // likely misses in flight
	originLimit       float64 // concurrency limit of likely misses
	missRatio         float64 // moving average of the share of likely misses that were misses or failed
	lastOriginReplyAt Time    // when the origin last served a likely miss in time
	lastTimelyHitAt   Time    // when a hit was last served before it was overdue
	goodputRatio      float64 // moving average of the share of attempts that warm caches serve in time

	admissionRatio   float64 // share of admitted keys, as of admissionRatioAt
	admissionRatioAt Time
	shedCacheFull    int  // requests of the current window that were shed for lack of capacity of caches
	shedOriginFull   int  // requests of the current window that were shed for lack of capacity of the origin
	shedding         bool // requests were shed in the last window

	routerDelay      Time    // last reported delay of requests on this router
	routerDelayUntil Time    // when routerDelay ceases to apply
	overloadReports  int     // consecutive reports of an overload of this router
	requestLimit     float64 // limit on requests per second; 0 means no limit
}

// New returns an engine for the settings. For invalid settings the error is ErrNoClasses or a *SettingsError.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		settings: s, classes: map[string]*Class{}, salt: mix(seed + 1), rng: splitmix.Source(seed),
		caches: map[string]*cache{}, zones: map[string]*circuitBreaker{}, requests: map[int64]*request{},
		keyCounts: stats.NewKeyCounts(), goodputRatio: 1, admissionRatio: 1,
	}
	e.routerShare = 1 / float64(max(1, s.Routers))
	e.limitStep = min(1, initialFleetLimit*e.routerShare)
	e.sparseTraffic = e.limitStep < 1
	e.retryBudget = e.retryBurstLimit()
	e.latencyThreshold = s.Classes[0].latencyThreshold()
	e.shortestObjective = s.Classes[0].LatencyObjective
	for _, class := range s.Classes {
		e.classes[class.Name] = &class
		e.latencyThreshold = min(e.latencyThreshold, class.latencyThreshold())
		e.shortestObjective = min(e.shortestObjective, class.LatencyObjective)
	}
	e.settings.DrainGrace = s.drainGraceOrDefault()
	e.settings.OverloadTime = max(s.OverloadTime, 1)
	return e, nil
}

// Handle processes one event and returns the actions to carry out, in order.
func (e *Engine) Handle(now Time, ev Event) []Action {
	e.now, e.actions = now, nil
	e.regroupWarmedUp()
	switch ev := ev.(type) {
	case *EndpointsUpdate:
		e.updateEndpoints(ev)
	case *Request:
		e.handleRequest(ev)
	case *AttemptDone:
		e.handleAttemptDone(ev)
	case *ResponseStarted:
		if req := e.requests[ev.ID]; req != nil {
			req.streaming = true
		}
	case *ClientGone:
		if req := e.requests[ev.ID]; req != nil {
			e.finish(req)
		}
	case *TimerFired:
		e.timers.Call(ev.Token)
	case *HealthCheckDone:
		e.handleHealthCheckDone(ev)
	case *DelayReport:
		e.handleDelayReport(ev)
	}
	return e.actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// logf logs a message with its attributes, each as key=value.
func (e *Engine) logf(format string, args ...any) { e.emit(Log{fmt.Sprintf(format, args...)}) }

// schedule has f called at the given time, but not before the current event has been handled.
func (e *Engine) schedule(at Time, f func()) { e.emit(SetTimer{e.timers.Add(f), max(at, e.now+1)}) }

// scheduleFor is like schedule for a function that has no effect once the request has been dropped. The
// engine does not keep it any longer than the request.
func (e *Engine) scheduleFor(req *request, at Time, f func()) {
	token := e.timers.Add(f)
	req.timers = append(req.timers, token)
	e.emit(SetTimer{token, max(at, e.now+1)})
}

// TimerPending reports whether the timer of a SetTimer with the given token still has an effect when it
// fires. The caller may drop the others.
func (e *Engine) TimerPending(token int64) bool { return e.timers.Contains(token) }

// drop removes a request that is done and has no attempts in flight, with its timers.
func (e *Engine) drop(req *request) {
	delete(e.requests, req.ID)
	for _, token := range req.timers {
		e.timers.Remove(token)
	}
	req.timers = nil
}

func mix(x uint64) uint64 { return splitmix.Mix(x) }

// hashToUnit maps a key to [0, 1).
func hashToUnit(key uint64) float64 { return splitmix.Unit(mix(key)) }

// countWindow returns the length of a window of counts. With many routers it is longer, as each sees few
// requests.
func (e *Engine) countWindow() Time {
	return Time(float64(e.settings.DrainGrace) * math.Sqrt(max(1, float64(e.settings.Routers)/4)))
}

// rotateCounts starts a new window of the request counts, and logs the start or the end of load shedding.
func (e *Engine) rotateCounts() {
	e.keyCounts.Rotate()
	e.requestCounts.Rotate()
	if active := e.shedCacheFull+e.shedOriginFull > 0; active != e.shedding {
		e.shedding = active
		e.logf("load shedding active=%t cache_full=%d origin_full=%d", active, e.shedCacheFull, e.shedOriginFull)
	}
	e.shedCacheFull, e.shedOriginFull = 0, 0
	e.schedule(e.now+2*e.countWindow(), e.rotateCounts)
}

// rotateRecentKeys starts a new window of the keys that caches have served, and drops caches that are gone.
func (e *Engine) rotateRecentKeys() {
	for id, c := range e.caches {
		if c.State == Removed && c.inFlight == 0 && c.recentKeys.Empty() {
			delete(e.caches, id)
		}
		c.recentKeys.Rotate()
	}
	e.schedule(e.now+max(e.settings.WarmupTime/recentKeysDivisor, e.countWindow()), e.rotateRecentKeys)
}
