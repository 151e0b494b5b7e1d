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
	zone       *zone
	warmAt     Time // cold until then
	coldFrom   Time // when the process is held to have started
	healthy    bool
	fails      int  // consecutive failed probes
	probedAt   Time // start of the last probe
	probeAt    Time // when it is due, in a fleet too large for each round to probe it
	suspect    bool // an attempt of this router's was left lying or failed there since
	vain       int  // probes of a suspect in a row that bore nothing out
	pending    int  // attempts out, those of finished requests included
	probing    int  // number of the round whose probe is out; 0 for none
	hash       uint64
	score      float64 // of the key being placed
	limit      float64 // attempts this router keeps out here at most
	credit     float64 // time earned by a limit under one, as of creditAt
	creditAt   Time
	keeps      [2]map[uint64]bool // keys it answered lately, of this window and the one before
	uses       int                // attempts ever sent to it
	lastSend   Time
	sends      float64 // fading count of attempts, as of lastSend
	answered   Time    // when it last answered anything
	unmet      int     // failed connections in a row
	halfOpenAt Time    // after some it is passed over until then; one request is its half-open trial
	usual      float64 // microseconds that the quicker ones of its hits take; 0 is not known
	crowd      float64 // requests it held for each core, by the list
	open       float64 // share of the keys it is home to that this router still sends it, as of openAt
	openAt     Time
	prompt     bool // it answered the last likely hit in time
	ejected    bool // it left an attempt lying and has answered nothing since
}

// zone is what this router knows of the way to a zone.
type zone struct {
	fails      int  // failed connections in a row, to any of its caches
	halfOpenAt Time // it is taken for cut until then; one request is its half-open trial
}

type attempt struct {
	to       *cache
	sent     Time
	fetch    bool // the cache was not known to keep the key: the origin likely has to serve it
	pending  bool
	stopped  bool // Cancel was asked for
	neverRan bool
	unmet    bool // no connection came about
	broke    bool // the connection did before the answer was whole
	shunned  bool // it was turned away for no crowd of ours
}

type request struct {
	*Request
	class    *Class
	arrived  Time
	attempts []attempt
	done     bool // the final answer is given, or nobody waits for it
	held     bool // waits for room
	spares   bool // ... at the origin
	streams  bool // the answer has started
	astray   bool // its home had no room when it was placed
}

// Engine decides for one instance. Use New.
type Engine struct {
	set         Settings
	classes     map[string]*Class
	rng         uint64
	own         uint64 // tells this router's choices from those of others
	now         Time
	out         []Action
	caches      map[string]*cache // every cache ever listed
	zones       map[string]*zone
	ready       []*cache // those up, by id
	size        float64  // mean of theirs
	admitted    float64  // share of keys that are sent on at all, as of admittedAt
	admittedAt  Time
	reqs        map[int64]*request
	timers      map[int64]func()
	token       int64
	calls       int  // failed calls for the list in a row
	askedAt     Time // start of the last call for the list, or its last answer
	round       int
	uses        int     // attempts ever sent
	spare       float64 // probes earned by requests and not yet sent
	beats       int     // DrainGraces since the last round
	started     bool
	ranks       []*cache          // scratch of rank
	ranked      int               // ... of which so many are in order
	waiting     []*request        // held for room
	fetching    int               // attempts out that the origin likely has to serve
	fetches     float64           // ... at most
	fetched     Time              // when the origin last served one in time
	missing     float64           // fading share of them that the origin did serve, or failed to
	prompt      Time              // when a hit was last served before it was overdue
	taken       float64           // fading share of attempts at warm caches that were served in time
	patience    Time              // of the class with the shortest
	retryBudget float64           // of retries
	keys        [2]map[uint64]int // requests by key, of this window and the one before
	asked       [2]int            // ... and of all keys
	shed        [2]int            // requests refused in this window for want of room: at caches, at the origin
	shedding    bool
}

// New returns a router for the settings. The error names a wrong field.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := &Engine{set: s, rng: seed, own: mix(seed + 1), admitted: 1, taken: 1, classes: map[string]*Class{},
		caches: map[string]*cache{}, reqs: map[int64]*request{}, timers: map[int64]func(){},
		keys: [2]map[uint64]int{{}, {}}, zones: map[string]*zone{}}
	r.retryBudget = r.retryBurstPart()
	for i := range s.Classes {
		c := s.Classes[i]
		r.classes[c.Name] = &c
		if i == 0 || c.patience() < r.patience {
			r.patience = c.patience()
		}
	}
	r.set.DrainGrace = s.drainGraceOrDefault()
	return r, nil
}

// Handle takes one event and returns what is to be done, in order.
func (r *Engine) Handle(now Time, ev Event) []Action {
	r.now, r.out = now, nil
	switch ev := ev.(type) {
	case *EndpointsUpdate:
		r.list(ev)
	case *Request:
		r.request(ev)
	case *AttemptDone:
		r.outcome(ev)
	case *ResponseStarted:
		if q := r.reqs[ev.ID]; q != nil {
			q.streams = true
		}
	case *ClientGone:
		if q := r.reqs[ev.ID]; q != nil {
			r.finish(q)
		}
	case *TimerFired:
		if f := r.timers[ev.Token]; f != nil {
			delete(r.timers, ev.Token)
			f()
		}
	case *HealthCheckDone:
		r.probed(ev)
	}
	return r.out
}

func (r *Engine) do(a Action) { r.out = append(r.out, a) }

func (r *Engine) logf(format string, args ...any) { r.do(Log{fmt.Sprintf(format, args...)}) }

// at runs f at the given time.
func (r *Engine) at(t Time, f func()) {
	r.token++
	r.timers[r.token] = f
	r.do(SetTimer{r.token, max(t, r.now+1)})
}

func (r *Engine) random() float64 {
	r.rng += 0x9e3779b97f4a7c15
	return unit(mix(r.rng))
}

// window is longer where many routers each see few of a key's requests.
func (r *Engine) window() Time {
	return Time(float64(r.set.DrainGrace) * math.Sqrt(max(1, float64(r.set.Routers)/4)))
}

// turn opens a new window of the counts by key.
func (r *Engine) turn() {
	r.keys = [2]map[uint64]int{{}, r.keys[0]}
	r.asked = [2]int{0, r.asked[0]}
	if on := r.shed != [2]int{}; on != r.shedding {
		r.shedding = on
		r.logf("load shedding %v: %d refused as caches are full, %d to spare the origin", on, r.shed[0],
			r.shed[1])
	}
	r.shed = [2]int{}
	r.at(r.now+2*r.window(), r.turn)
}

// forget opens a new window of what the caches keep: a cache that warms up by
// refilling keeps its keys for about as long as that takes.
func (r *Engine) forget() {
	for id, c := range r.caches {
		if c.State == Removed && c.pending == 0 && len(c.keeps[0])+len(c.keeps[1]) == 0 {
			delete(r.caches, id) // the danger: machines come and go, and memory grows with their names
		}
		c.keeps = [2]map[uint64]bool{{}, c.keeps[0]}
	}
	r.at(r.now+max(r.set.WarmupTime/4, r.window()), r.forget)
}

// alone is the limit at which all routers together keep one attempt out at a cache.
func (r *Engine) alone() float64 { return 1 / float64(max(1, r.set.Routers)) }

// unit is what a verdict moves a limit by: an attempt, or this router's part of the first limit.
func (r *Engine) unit() float64 { return min(1, firstLimit*r.alone()) }

// thin reports whether this router's part of a cache is less than an attempt, so that it hears little of it.
func (r *Engine) thin() bool { return r.unit() < 1 }

func b2i(b bool) int {
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

// unit maps a hash to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// hash maps an id to a number.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}
