// The engine: its state, events and timers. Read the interface in api.go first.

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
	latencyThreshold  Time   // of the class with the shortest
	shortestObjective Time   // latency objective of any class
	salt              uint64 // tells this router's choices from those of others
	rng               splitmix.Source

	now     Time     // of the event being handled
	actions []Action // for the event being handled
	timers  callback.Registry

	caches      map[string]*cache // every cache ever listed
	zones       map[string]*circuitBreaker
	inService   []*cache // in the order of their identifiers
	groups      cacheGroups
	sums        weightSums          // as last made; see weightSums
	warmLoad    stats.DecayingCount // recently accepted attempts at warm caches
	meanWeight  float64             // of the caches in service
	started     bool                // an endpoint list has arrived
	failedPolls int                 // consecutive failed polls of the endpoint list
	polledAt    Time                // start of the last poll, or the last update

	nextPollFailureLine Time // before that, failed polls are not logged

	checkRound         int     // number of the last round of health checks
	healthCheckBudget  float64 // health checks earned by requests and not sent yet
	skippedIntervals   int     // health check intervals since the last round
	requestsInInterval int     // since the last health check interval began
	lastChecked        string  // cache with which a round had to stop; empty if it did not

	requests       map[int64]*request
	queue          []*request                 // waiting for capacity, in the order of arrival
	rankingVersion int                        // changes with what rankings depend on
	ranking        partialsort.Lowest[*cache] // of the last search
	unreached      partialsort.Lowest[*cache] // of the last search, with open circuits
	keyCounts      stats.KeyCounts            // requests by key
	requestCounts  stats.WindowCount
	attemptsSent   int     // ever
	retryBudget    float64 // tokens for retries and hedges

	missesInFlight    int     // attempts in flight that the origin likely has to serve
	originLimit       float64 // concurrency limit of those
	missRatio         float64 // fading share of them that the origin did serve, or failed to
	lastOriginReplyAt Time    // when the origin last served one in time
	lastTimelyHitAt   Time    // when a hit was last served before it was overdue
	goodputRatio      float64 // fading share of attempts at warm caches that were served in time

	admissionRatio   float64 // share of keys that is admitted, as of admissionRatioAt
	admissionRatioAt Time
	shedByCaches     int // requests rejected for lack of capacity of caches, in the current window
	shedByOrigin     int // ... of the origin
	shedding         bool

	routerDelay      Time    // with which this router handles what it is given, as last reported, ...
	routerDelayUntil Time    // ... and until when that counts
	behindReports    int     // reports in a row by which it is behind
	requestLimit     float64 // requests that it takes in a second; 0 is no limit
}

// New returns an engine for the settings. Wrong settings give ErrNoClasses or a *SettingsError.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		settings: s, classes: map[string]*Class{}, salt: mix(seed + 1), rng: splitmix.Source(seed),
		caches: map[string]*cache{}, zones: map[string]*circuitBreaker{}, requests: map[int64]*request{},
		keyCounts: stats.NewKeyCounts(), goodputRatio: 1, admissionRatio: 1,
	}
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

// Handle takes one event and returns what is to be done, in order.
func (e *Engine) Handle(now Time, ev Event) []Action {
	e.now, e.actions = now, nil
	e.settleWarmedUp()
	switch ev := ev.(type) {
	case *EndpointsUpdate:
		e.updateEndpoints(ev)
	case *Request:
		e.handleRequest(ev)
	case *AttemptDone:
		e.attemptDone(ev)
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
		e.healthCheckDone(ev)
	case *DelayReport:
		e.delayReported(ev)
	}
	return e.actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// logf logs a message that is followed by its attributes, each as key=value.
func (e *Engine) logf(format string, args ...any) { e.emit(Log{fmt.Sprintf(format, args...)}) }

// schedule calls the function at the given time, but not within the event being handled.
func (e *Engine) schedule(at Time, f func()) { e.emit(SetTimer{e.timers.Add(f), max(at, e.now+1)}) }

func mix(x uint64) uint64 { return splitmix.Mix(x) }

// hashToUnit maps a key to [0, 1).
func hashToUnit(key uint64) float64 { return splitmix.Unit(mix(key)) }

// countWindow is the length of a window of counts. It is longer where each of many routers sees few requests.
func (e *Engine) countWindow() Time {
	return Time(float64(e.settings.DrainGrace) * math.Sqrt(max(1, float64(e.settings.Routers)/4)))
}

// rotateCounts opens a new window of the counts of requests, and logs where load shedding begins or ends.
func (e *Engine) rotateCounts() {
	e.keyCounts.Rotate()
	e.requestCounts.Rotate()
	if active := e.shedByCaches+e.shedByOrigin > 0; active != e.shedding {
		e.shedding = active
		e.logf("load shedding active=%t cache_full=%d origin_full=%d", active, e.shedByCaches, e.shedByOrigin)
	}
	e.shedByCaches, e.shedByOrigin = 0, 0
	e.schedule(e.now+2*e.countWindow(), e.rotateCounts)
}

// rotateRecentKeys opens a new window of the keys that caches have served, and forgets caches that are gone.
func (e *Engine) rotateRecentKeys() {
	for id, c := range e.caches {
		if c.State == Removed && c.inFlight == 0 && c.recentKeys.Empty() {
			delete(e.caches, id)
		}
		c.recentKeys.Rotate()
	}
	e.schedule(e.now+max(e.settings.WarmupTime/recentKeysDivisor, e.countWindow()), e.rotateRecentKeys)
}

// routerShare is this router's part of a fleet-wide limit of one.
func (e *Engine) routerShare() float64 { return 1 / float64(max(1, e.settings.Routers)) }

// sparseTraffic reports whether this router sends single caches so little that it learns little about them.
func (e *Engine) sparseTraffic() bool { return e.limitStep() < 1 }
