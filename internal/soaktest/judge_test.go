package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the rules, and what is added to them for the test's own machine.
const (
	lateReplyLimit  = 500 * time.Millisecond // of an answer after the client's timeout
	disconnectLimit = 100 * time.Millisecond // after a client's end, in which an attempt may still begin
	timeoutLimit    = 150 * time.Millisecond // by which the timeout told to a cache may exceed what is left
	keyWindow       = 600 * time.Millisecond // in which a request may be repeated with its key
	machineSlack    = 100 * time.Millisecond
	promptLimit     = 60 * time.Millisecond // after its timeout, for which a client waits
	promptSlack     = 40 * time.Millisecond // added for the test's own machine
	maxUnprompt     = 500                   // requests of a router, one of which may be answered later without a stall
	drainGrace      = time.Second           // after a router was notified that a cache drains
	killSlack       = 5 * time.Millisecond  // before SIGKILL, in which an end of a connection counts as caused by it
)

// Classes of requests.
const (
	classRead = "read" // may be repeated
	classPut  = "put"  // may be repeated with its idempotency key
	classOnce = "once" // must not run twice
)

// judge notes what clients and caches see and finds the requests that broke a rule.
type judge struct {
	mu          sync.Mutex
	requests    map[string]*request
	connections []*connection
	attempts    []attempt
	stalled     time.Duration // for which the test itself was stalled
	drains      map[drain]time.Time
	stops       []stop
}

// drain is what a router was notified of: that a cache drains or has ended.
type drain struct {
	router int
	cache  string
}

// stop is a time in which a router was stopped.
type stop struct {
	router   int
	from, to time.Time
}

// request is a request of a client.
type request struct {
	id         string
	class      string
	timeout    time.Duration
	large      bool // it has a large value, if it has one
	wire       []byte
	start, end int64     // its bytes among those of its connection
	writtenAt  time.Time // zero unless the last byte was written
	connection *connection
	position   int // among the requests of the connection
}

// connection is a client's connection to a router, as the judge sees it.
type connection struct {
	router    int
	slow      bool // the client reads slowly
	requests  []*request
	answers   []answer
	noted     int64     // bytes of the requests, written or about to be
	clientEnd time.Time // when the client ended it; zero if it did not
	routerEnd time.Time // when its end came from the router; zero if it did not
	readToEnd bool      // the client has read all that the router sent
	read      int64     // bytes that the router has read of it, or unknownRead
}

const unknownRead = -1

// answer is a complete answer.
type answer struct {
	wire string
	at   time.Time
}

// attempt is a complete command that reached a cache.
type attempt struct {
	id       string
	cache    string
	timeout  time.Duration
	arrived  time.Time
	rejected bool
}

func newJudge() *judge {
	return &judge{requests: map[string]*request{}, drains: map[drain]time.Time{}}
}

// reset forgets all requests. What is still on its way must not belong to one of them.
func (j *judge) reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests, j.connections, j.attempts = map[string]*request{}, nil, nil
}

// toldOf notes that an entry of the endpoint list is about to be written to a router.
func (j *judge) toldOf(router int, e endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := drain{router, e.name}
	if _, known := j.drains[d]; !known && e.state != stateInService {
		j.drains[d] = time.Now()
	}
}

// stopped notes that a router is about to be stopped.
func (j *judge) stopped(router int, from time.Time, length time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops = append(j.stops, stop{router, from, from.Add(length)})
}

// wasStopped reports whether a router was stopped at some time of an interval.
func (j *judge) wasStopped(router int, from, to time.Time) bool {
	return slices.ContainsFunc(j.stops, func(s stop) bool {
		return s.router == router && s.from.Before(to) && from.Before(s.to.Add(promptSlack))
	})
}

// connected notes a client's connection to a router. Of a client that reads slowly it is not judged how
// late its answers are.
func (j *judge) connected(router int, slow bool) *connection {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := &connection{router: router, slow: slow, read: unknownRead}
	j.connections = append(j.connections, c)
	return c
}

// willWrite notes requests that are about to be written to a connection.
func (j *judge) willWrite(c *connection, r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.connection, r.position = c, len(c.requests)
	r.start = c.noted
	c.noted += int64(len(r.wire))
	r.end = c.noted
	c.requests = append(c.requests, r)
	j.requests[r.id] = r
}

func (j *judge) wrote(requests []*request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range requests {
		r.writtenAt = time.Now()
	}
}

func (j *judge) answered(c *connection, wire string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.answers = append(c.answers, answer{wire, time.Now()})
}

// clientEnds notes that the client is about to end its connection. It may have received the router's end
// already, and then gives up the answers before it that it has not read.
func (j *judge) clientEnds(c *connection) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c.clientEnd.IsZero() && !c.readToEnd {
		c.clientEnd = time.Now()
	}
}

// readToEnd notes that the client has read all that the router sent.
func (j *judge) readToEnd(c *connection) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.readToEnd = true
}

// routerEnded notes that the end of a connection came from the router.
func (j *judge) routerEnded(c *connection) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c.clientEnd.IsZero() && c.routerEnd.IsZero() {
		c.routerEnd = time.Now()
	}
}

// routerRead notes how many bytes of a connection the router has read by now.
func (j *judge) routerRead(c *connection, read int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.read = max(c.read, read)
}

func (j *judge) attemptArrived(a attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

func (j *judge) noteStall(d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stalled += d
}

// verdict is what a play came to.
type verdict struct {
	violations             []string
	served, busy, failed   int
	unknown                int // requests without an answer, of which it is not known whether they were read
	requests, unread, left int // of the requests, those not read at the end, and those whose client left
}

func (v verdict) String() string {
	return fmt.Sprintf("%d requests: %d served, %d busy, %d failed, %d unread, %d left, %d unknown; %d violations",
		v.requests, v.served, v.busy, v.failed, v.unread, v.left, v.unknown, len(v.violations))
}

// verdict judges all requests. killed is when each router got SIGKILL.
func (j *judge) verdict(killed []time.Time) (v verdict) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.connections {
		j.judgeConnection(&v, c, killed[c.router])
	}
	j.judgeUnprompt(&v)
	first := map[string]attempt{}
	for _, a := range j.attempts {
		j.judgeAttempt(&v, a, first)
	}
	slices.Sort(v.violations)
	return v
}

func (v *verdict) report(r *request, format string, args ...any) {
	c := r.connection
	v.violations = append(v.violations, fmt.Sprintf("%s (router %d, request %d of %d, %d answers, bytes %d to %d, %d read): ",
		r.id, c.router, r.position, len(c.requests), len(c.answers), r.start, r.end, c.read)+fmt.Sprintf(format, args...))
}

func (j *judge) judgeConnection(v *verdict, c *connection, killed time.Time) {
	previous := time.Time{}
	for i, r := range c.requests {
		v.requests++
		if i < len(c.answers) {
			j.judgeAnswer(v, r, c.answers[i], previous)
			previous = c.answers[i].at
			continue
		}
		switch {
		case r.writtenAt.IsZero(), !c.clientEnd.IsZero():
			v.left++
		case c.routerEnd.IsZero():
			v.report(r, "lost: no answer and no end of the connection")
		case !c.routerEnd.Before(killed.Add(-killSlack)):
			v.report(r, "lost: SIGKILL found it unanswered, %v after it was written", killed.Sub(r.writtenAt))
		case c.read == unknownRead:
			v.unknown++
		case c.read > r.start:
			v.report(r, "lost: read and not answered")
		default:
			v.unread++
		}
	}
	if len(c.answers) > len(c.requests) {
		v.violations = append(v.violations, fmt.Sprintf("%d answers to %d requests", len(c.answers), len(c.requests)))
	}
}

// judgeUnprompt reports a router that has answered more than one in so many requests after their clients
// would have given up, though it was not stopped just then.
func (j *judge) judgeUnprompt(v *verdict) {
	requests, unprompt := map[int]int{}, map[int][]*request{}
	for _, c := range j.connections {
		previous := time.Time{}
		for i, r := range c.requests[:min(len(c.requests), len(c.answers))] {
			requests[c.router]++
			due := r.writtenAt.Add(r.timeout)
			latest := due.Add(promptLimit + promptSlack + j.stalled)
			at := c.answers[i].at
			if !c.slow && !r.writtenAt.IsZero() && at.After(latest) && previous.Before(due) && !j.wasStopped(c.router, due, latest) {
				unprompt[c.router] = append(unprompt[c.router], r)
			}
			previous = at
		}
	}
	for router, late := range unprompt {
		if len(late) <= 1+requests[router]/maxUnprompt {
			continue
		}
		r := late[0]
		v.report(r, "lost: answered %v after it was written with a timeout of %v, and %d more like it",
			r.connection.answers[r.position].at.Sub(r.writtenAt), r.timeout, len(late)-1)
	}
}

// judgeAnswer judges an answer. The time spent waiting for the answer before it does not count.
func (j *judge) judgeAnswer(v *verdict, r *request, a answer, previous time.Time) {
	switch {
	case strings.HasPrefix(a.wire, "-BUSY"):
		v.busy++
	case a.wire == "-ERR failed":
		v.failed++
	case a.wire == servedBy(r.id):
		v.served++
	default:
		v.report(r, "wrong answer %.100q", a.wire)
	}
	if r.writtenAt.IsZero() || r.connection.slow {
		return
	}
	due := r.writtenAt.Add(r.timeout)
	if previous.After(due) {
		due = previous
	}
	if late := a.at.Sub(due); late > lateReplyLimit+machineSlack+j.stalled {
		v.report(r, "lost: answered %v late", late)
	}
}

func (j *judge) judgeAttempt(v *verdict, a attempt, first map[string]attempt) {
	r := j.requests[a.id]
	if r == nil {
		v.violations = append(v.violations, a.id+": an attempt of a request that no client wrote")
		return
	}
	slack := machineSlack + j.stalled
	c := r.connection
	if late := a.arrived.Sub(c.clientEnd); !c.clientEnd.IsZero() && late > disconnectLimit+slack {
		v.report(r, "an attempt began %v after the client's end", late)
	}
	if r.position < len(c.answers) {
		if late := a.arrived.Sub(c.answers[r.position].at); late > slack {
			v.report(r, "an attempt began %v after the answer", late)
		}
	}
	if !r.writtenAt.IsZero() {
		left := r.timeout - a.arrived.Sub(r.writtenAt)
		if excess := a.timeout - left; excess > timeoutLimit+slack {
			v.report(r, "a cache was told %v, %v more than was left", a.timeout, excess)
		}
	}
	told, draining := j.drains[drain{c.router, a.cache}]
	if late := a.arrived.Sub(told); draining && late > drainGrace+slack {
		v.report(r, "drain: an attempt began %v after the router was notified that %s drains", late, a.cache)
	}
	earlier, repeated := first[a.id]
	switch {
	case a.rejected:
	case !repeated:
		first[a.id] = a
	case r.class == classOnce:
		v.report(r, "duplicate: sent again, although it may have run")
	case r.class == classPut && a.arrived.Sub(earlier.arrived) > keyWindow+slack:
		v.report(r, "duplicate: sent again %v after the first attempt", a.arrived.Sub(earlier.arrived))
	}
}
