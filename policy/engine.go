// The engine: its state, events and timers. The interface stands in api.go; read that first.

package policy

import (
	"fmt"
	"hash/fnv"
	"math"
)

// cache is what this router knows of one cache server.
type cache struct {
	Endpoint
	zone               *zone
	warmAt             Time // cold until then
	warmupFrom         Time // when the process is held to have started
	healthy            bool
	failedChecks       int  // consecutive failed probes
	checkedAt          Time // start of the last probe
	nextCheckAt        Time // when it is due, in a fleet too large for each round to probe it
	suspect            bool // an attempt of this router's was left lying or failed there since
	unconfirmedChecks  int  // probes of a suspect in a row that bore nothing out
	inFlight           int  // attempts out, those of finished requests included
	checkRound         int  // number of the round whose probe is out; 0 for none
	hash               uint64
	score              float64 // of the key being placed
	concurrencyLimit   float64 // attempts this router keeps out here at most
	timeTokens         float64 // time earned by a limit under one, as of creditAt
	timeTokensAt       Time
	recentKeys         [2]map[uint64]bool // keys it answered lately, of this window and the one before
	attemptsSent       int                // attempts ever sent to it
	lastSentAt         Time
	recentAttempts     float64 // fading count of attempts, as of lastSend
	lastReplyAt        Time    // when it last answered anything
	connectFailures    int     // failed connections in a row
	halfOpenAt         Time    // after some it is passed over until then; one request is its half-open trial
	hitLatency         float64 // microseconds that the quicker ones of its hits take; 0 is not known
	loadPerCore        float64 // requests it held for each core, by the list
	acceptedKeyShare   float64 // share of the keys it is home to that this router still sends it, as of openAt
	acceptedKeyShareAt Time
	lastHitOnTime      bool // it answered the last likely hit in time
	ejected            bool // it left an attempt lying and has answered nothing since
}

// zone is what this router knows of the way to a zone.
type zone struct {
	connectFailures int  // failed connections in a row, to any of its caches
	halfOpenAt      Time // it is taken for cut until then; one request is its half-open trial
}

type attempt struct {
	cache             *cache
	sentAt            Time
	likelyMiss        bool // the cache was not known to keep the key: the origin likely has to serve it
	pending           bool
	cancelled         bool // Cancel was asked for
	neverRan          bool
	connectFailed     bool // no connection came about
	connectionReset   bool // the connection did before the answer was whole
	rejectedWhileIdle bool // it was turned away for no crowd of ours
}

type request struct {
	*Request
	class         *Class
	arrivedAt     Time
	attempts      []attempt
	done          bool // the final answer is given, or nobody waits for it
	queued        bool // waits for room
	originLimited bool // ... at the origin
	streaming     bool // the answer has started
	spilledOver   bool // its home had no room when it was placed
}

// Engine decides for one instance. Use New.
type Engine struct {
	settings          Settings
	classes           map[string]*Class
	randomState       uint64
	salt              uint64 // tells this router's choices from those of others
	now               Time
	actions           []Action
	caches            map[string]*cache // every cache ever listed
	zones             map[string]*zone
	inService         []*cache // those up, by id
	meanWeight        float64  // mean of theirs
	admissionRatio    float64  // share of keys that are sent on at all, as of admittedAt
	admissionRatioAt  Time
	requests          map[int64]*request
	timers            map[int64]func()
	lastToken         int64
	failedPolls       int  // failed calls for the list in a row
	polledAt          Time // start of the last call for the list, or its last answer
	checkRound        int
	attemptsSent      int     // attempts ever sent
	healthCheckBudget float64 // probes earned by requests and not yet sent
	skippedIntervals  int     // DrainGraces since the last round
	started           bool
	ranking           []*cache          // scratch of rank
	rankedCount       int               // ... of which so many are in order
	queue             []*request        // held for room
	missesInFlight    int               // attempts out that the origin likely has to serve
	originLimit       float64           // ... at most
	lastOriginReplyAt Time              // when the origin last served one in time
	missRatio         float64           // fading share of them that the origin did serve, or failed to
	lastTimelyHitAt   Time              // when a hit was last served before it was overdue
	goodputRatio      float64           // fading share of attempts at warm caches that were served in time
	latencyThreshold  Time              // of the class with the shortest
	retryBudget       float64           // of retries
	keyCounts         [2]map[uint64]int // requests by key, of this window and the one before
	requestCounts     [2]int            // ... and of all keys
	shedCounts        [2]int            // requests refused in this window for want of room: at caches, at the origin
	shedding          bool
}

// New returns a router for the settings. The error names a wrong field.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	e := &Engine{settings: s, randomState: seed, salt: mix(seed + 1), admissionRatio: 1, goodputRatio: 1, classes: map[string]*Class{},
		caches: map[string]*cache{}, requests: map[int64]*request{}, timers: map[int64]func(){},
		keyCounts: [2]map[uint64]int{{}, {}}, zones: map[string]*zone{}}
	e.retryBudget = e.retryBurstLimit()
	for i := range s.Classes {
		c := s.Classes[i]
		e.classes[c.Name] = &c
		if i == 0 || c.latencyThreshold() < e.latencyThreshold {
			e.latencyThreshold = c.latencyThreshold()
		}
	}
	e.settings.DrainGrace = s.drainGraceOrDefault()
	return e, nil
}

// Handle takes one event and returns what is to be done, in order.
func (e *Engine) Handle(now Time, ev Event) []Action {
	e.now, e.actions = now, nil
	switch ev := ev.(type) {
	case *EndpointsUpdate:
		e.updateEndpoints(ev)
	case *Request:
		e.handleRequest(ev)
	case *AttemptDone:
		e.attemptDone(ev)
	case *ResponseStarted:
		if q := e.requests[ev.ID]; q != nil {
			q.streaming = true
		}
	case *ClientGone:
		if q := e.requests[ev.ID]; q != nil {
			e.finish(q)
		}
	case *TimerFired:
		if f := e.timers[ev.Token]; f != nil {
			delete(e.timers, ev.Token)
			f()
		}
	case *HealthCheckDone:
		e.healthCheckDone(ev)
	}
	return e.actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) logf(format string, args ...any) { e.emit(Log{fmt.Sprintf(format, args...)}) }

// schedule runs f at the given time.
func (e *Engine) schedule(t Time, f func()) {
	e.lastToken++
	e.timers[e.lastToken] = f
	e.emit(SetTimer{e.lastToken, max(t, e.now+1)})
}

func (e *Engine) random() float64 {
	e.randomState += 0x9e3779b97f4a7c15
	return unitInterval(mix(e.randomState))
}

// countWindow is longer where many routers each see few of a key's requests.
func (e *Engine) countWindow() Time {
	return Time(float64(e.settings.DrainGrace) * math.Sqrt(max(1, float64(e.settings.Routers)/4)))
}

// rotateKeyCounts opens a new window of the counts by key.
func (e *Engine) rotateKeyCounts() {
	e.keyCounts = [2]map[uint64]int{{}, e.keyCounts[0]}
	e.requestCounts = [2]int{0, e.requestCounts[0]}
	if on := e.shedCounts != [2]int{}; on != e.shedding {
		e.shedding = on
		e.logf("load shedding %v: %d refused as caches are full, %d to spare the origin", on, e.shedCounts[0],
			e.shedCounts[1])
	}
	e.shedCounts = [2]int{}
	e.schedule(e.now+2*e.countWindow(), e.rotateKeyCounts)
}

// rotateRecentKeys opens a new window of what the caches keep: a cache that warms up by
// refilling keeps its keys for about as long as that takes.
func (e *Engine) rotateRecentKeys() {
	for id, c := range e.caches {
		if c.State == Removed && c.inFlight == 0 && len(c.recentKeys[0])+len(c.recentKeys[1]) == 0 {
			delete(e.caches, id) // the danger: machines come and go, and memory grows with their names
		}
		c.recentKeys = [2]map[uint64]bool{{}, c.recentKeys[0]}
	}
	e.schedule(e.now+max(e.settings.WarmupTime/4, e.countWindow()), e.rotateRecentKeys)
}

// routerShare is the limit at which all routers together keep one attempt out at a cache.
func (e *Engine) routerShare() float64 { return 1 / float64(max(1, e.settings.Routers)) }

// limitStep is what a verdict moves a limit by: an attempt, or this router's part of the first limit.
func (e *Engine) limitStep() float64 { return min(1, initialFleetLimit*e.routerShare()) }

// sparseTraffic reports whether this router's part of a cache is less than an attempt, so that it hears little of it.
func (e *Engine) sparseTraffic() bool { return e.limitStep() < 1 }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to [0, 1).
func unitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// hash maps an id to a number.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}
