package soaktest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the rules, and the slack that allows for delays of the test machine.
const (
	lateAnswerLimit    = 500 * time.Millisecond // delay of an answer after the request's timeout
	disconnectLimit    = 100 * time.Millisecond // delay of an attempt after the client's disconnect
	excessTimeoutLimit = 150 * time.Millisecond // excess of the timeout sent to a cache over the remaining time
	keyTTL             = 600 * time.Millisecond // delay of a repetition with an idempotency key
	machineSlack       = 100 * time.Millisecond // added to the other limits for delays of the test machine

	giveUpDelay           = 60 * time.Millisecond // after the request's timeout, when a client gives up
	giveUpSlack           = 40 * time.Millisecond // added to giveUpDelay for delays of the test machine
	requestsPerLateAnswer = 500                   // see checkLateAnswers

	drainGrace = time.Second          // delay of an attempt after the router was notified of a drain
	killSlack  = 5 * time.Millisecond // a connection that ends so shortly before SIGKILL counts as ended by it
)

// Classes of requests.
const (
	classRead = "read" // may be repeated
	classPut  = "put"  // may be repeated with its idempotency key
	classOnce = "once" // must not run twice
)

// checker records what clients and caches observe and finds the requests that broke a rule. An answer goes from
// a router to a client, a reply from a cache to a router.
type checker struct {
	mu            sync.Mutex
	requests      map[string]*request
	connections   []*connection
	attempts      []attempt
	stalled       time.Duration // total time for which the test process was stalled
	drainNotified map[routerCache]time.Time
	stops         []stopInterval
}

// routerCache identifies a cache as seen by one router.
type routerCache struct {
	router int
	cache  string
}

// stopInterval is an interval in which a router was stopped.
type stopInterval struct {
	router   int
	from, to time.Time
}

// request is a request of a client.
type request struct {
	id                     string
	class                  string
	timeout                time.Duration
	large                  bool // its value is large; used for classPut only
	wire                   []byte
	startOffset, endOffset int64     // offsets of its bytes in the stream of the connection
	writtenAt              time.Time // zero if the last byte was not written
	connection             *connection
	position               int // among the requests of the connection
}

// connection is what the checker has recorded of a client's connection to a router.
type connection struct {
	router         int
	slow           bool // the client reads slowly
	requests       []*request
	answers        []answer
	requestBytes   int64     // bytes of all requests, written or about to be written
	clientClosedAt time.Time // when the client closed it; zero if it did not
	routerClosedAt time.Time // when the client received its end from the router; zero if it did not
	fullyRead      bool      // the client has read all that the router sent
	bytesRead      int64     // bytes that the router has read, or unknownBytesRead
}

const unknownBytesRead = -1

// answer is a complete answer that a client received.
type answer struct {
	wire string
	at   time.Time
}

// attempt is a complete command that a cache received.
type attempt struct {
	id       string
	cache    string
	timeout  time.Duration
	arrived  time.Time
	rejected bool
}

func newChecker() *checker {
	return &checker{requests: map[string]*request{}, drainNotified: map[routerCache]time.Time{}}
}

// reset discards all requests. None of them may be outstanding: an attempt that arrives later is reported as an
// attempt of an unknown request.
func (ck *checker) reset() {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.requests, ck.connections, ck.attempts = map[string]*request{}, nil, nil
}

// recordNotified records that an entry of the endpoint list is about to be sent to a router.
func (ck *checker) recordNotified(router int, e endpoint) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	d := routerCache{router, e.name}
	if _, known := ck.drainNotified[d]; !known && e.state != stateInService {
		ck.drainNotified[d] = time.Now()
	}
}

// recordStop records that a router is about to be stopped.
func (ck *checker) recordStop(router int, from time.Time, length time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.stops = append(ck.stops, stopInterval{router, from, from.Add(length)})
}

// wasStopped reports whether a router was stopped during a part of an interval.
func (ck *checker) wasStopped(router int, from, to time.Time) bool {
	return slices.ContainsFunc(ck.stops, func(s stopInterval) bool {
		return s.router == router && s.from.Before(to) && from.Before(s.to.Add(giveUpSlack))
	})
}

// addConnection records a client's connection to a router. Late answers to a client that reads slowly are not
// reported.
func (ck *checker) addConnection(router int, slow bool) *connection {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c := &connection{router: router, slow: slow, bytesRead: unknownBytesRead}
	ck.connections = append(ck.connections, c)
	return c
}

// addRequest records a request that is about to be written to a connection.
func (ck *checker) addRequest(c *connection, r *request) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	r.connection, r.position = c, len(c.requests)
	r.startOffset = c.requestBytes
	c.requestBytes += int64(len(r.wire))
	r.endOffset = c.requestBytes
	c.requests = append(c.requests, r)
	ck.requests[r.id] = r
}

func (ck *checker) recordWritten(requests []*request) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for _, r := range requests {
		r.writtenAt = time.Now()
	}
}

func (ck *checker) recordAnswer(c *connection, wire string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.answers = append(c.answers, answer{wire, time.Now()})
}

// recordClientClose records that the client is about to close its connection. If the router has closed the
// connection already, the client abandons the answers that it has not read.
func (ck *checker) recordClientClose(c *connection) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if c.clientClosedAt.IsZero() && !c.fullyRead {
		c.clientClosedAt = time.Now()
	}
}

// recordFullyRead records that the client has read everything that the router sent.
func (ck *checker) recordFullyRead(c *connection) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.fullyRead = true
}

// recordRouterClose records that the router has ended a connection, unless the client closed it first.
func (ck *checker) recordRouterClose(c *connection) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if c.clientClosedAt.IsZero() && c.routerClosedAt.IsZero() {
		c.routerClosedAt = time.Now()
	}
}

// recordBytesRead records how many bytes of a connection the router has read so far.
func (ck *checker) recordBytesRead(c *connection, read int64) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.bytesRead = max(c.bytesRead, read)
}

func (ck *checker) recordAttempt(a attempt) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.attempts = append(ck.attempts, a)
}

func (ck *checker) recordStall(d time.Duration) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.stalled += d
}

// checkResult is the result of checking all requests.
type checkResult struct {
	violations                  []string
	served, busy, failed        int
	unknown                     int // requests without an answer of which it is unknown whether the router read them
	requests, unread, abandoned int // all, not read by the router, abandoned by the client
}

func (v checkResult) String() string {
	return fmt.Sprintf("%d requests: %d served, %d busy, %d failed, %d unread, %d left, %d unknown; %d violations",
		v.requests, v.served, v.busy, v.failed, v.unread, v.abandoned, v.unknown, len(v.violations))
}

// check checks all requests. killed contains the time at which each router was sent SIGKILL.
func (ck *checker) check(killed []time.Time) (v checkResult) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	for _, c := range ck.connections {
		ck.checkConnection(&v, c, killed[c.router])
	}
	ck.checkLateAnswers(&v)
	first := map[string]attempt{}
	for _, a := range ck.attempts {
		ck.checkAttempt(&v, a, first)
	}
	slices.Sort(v.violations)
	return v
}

func (v *checkResult) addViolation(r *request, format string, args ...any) {
	c := r.connection
	v.violations = append(v.violations, fmt.Sprintf("%s (router %d, request %d of %d, %d answers, bytes %d to %d, %d read): ",
		r.id, c.router, r.position, len(c.requests), len(c.answers), r.startOffset, r.endOffset, c.bytesRead)+fmt.Sprintf(format, args...))
}

func (ck *checker) checkConnection(v *checkResult, c *connection, killed time.Time) {
	previous := time.Time{}
	for i, r := range c.requests {
		v.requests++
		if i < len(c.answers) {
			ck.checkAnswer(v, r, c.answers[i], previous)
			previous = c.answers[i].at
			continue
		}
		switch {
		case r.writtenAt.IsZero(), !c.clientClosedAt.IsZero():
			v.abandoned++
		case c.routerClosedAt.IsZero():
			v.addViolation(r, "lost: no answer and no end of the connection")
		case !c.routerClosedAt.Before(killed.Add(-killSlack)):
			v.addViolation(r, "lost: SIGKILL found it unanswered, %v after it was written", killed.Sub(r.writtenAt))
		case c.bytesRead == unknownBytesRead:
			v.unknown++
		case c.bytesRead > r.startOffset:
			v.addViolation(r, "lost: read and not answered")
		default:
			v.unread++
		}
	}
	if len(c.answers) > len(c.requests) {
		v.violations = append(v.violations, fmt.Sprintf("%d answers to %d requests", len(c.answers), len(c.requests)))
	}
}

// checkLateAnswers reports a router if it answered more than 1 + n/requestsPerLateAnswer of n requests after their
// clients would have given up. Answers that are late because the router was stopped do not count.
func (ck *checker) checkLateAnswers(v *checkResult) {
	requests, lateRequests := map[int]int{}, map[int][]*request{}
	for _, c := range ck.connections {
		previous := time.Time{}
		for i, r := range c.requests[:min(len(c.requests), len(c.answers))] {
			requests[c.router]++
			due := r.writtenAt.Add(r.timeout)
			latest := due.Add(giveUpDelay + giveUpSlack + ck.stalled)
			at := c.answers[i].at
			if !c.slow && !r.writtenAt.IsZero() && at.After(latest) && previous.Before(due) && !ck.wasStopped(c.router, due, latest) {
				lateRequests[c.router] = append(lateRequests[c.router], r)
			}
			previous = at
		}
	}
	for router, late := range lateRequests {
		if len(late) <= 1+requests[router]/requestsPerLateAnswer {
			continue
		}
		r := late[0]
		v.addViolation(r, "lost: answered %v after it was written with a timeout of %v, and %d more like it",
			r.connection.answers[r.position].at.Sub(r.writtenAt), r.timeout, len(late)-1)
	}
}

// checkAnswer checks an answer. The time spent waiting for the preceding answer does not count.
func (ck *checker) checkAnswer(v *checkResult, r *request, a answer, previous time.Time) {
	switch {
	case strings.HasPrefix(a.wire, "-BUSY"):
		v.busy++
	case a.wire == "-ERR failed":
		v.failed++
	case a.wire == servedValue(r.id):
		v.served++
	default:
		v.addViolation(r, "wrong answer %.100q", a.wire)
	}
	if r.writtenAt.IsZero() || r.connection.slow {
		return
	}
	due := r.writtenAt.Add(r.timeout)
	if previous.After(due) {
		due = previous
	}
	if late := a.at.Sub(due); late > lateAnswerLimit+machineSlack+ck.stalled {
		v.addViolation(r, "lost: answered %v late", late)
	}
}

func (ck *checker) checkAttempt(v *checkResult, a attempt, first map[string]attempt) {
	r := ck.requests[a.id]
	if r == nil {
		v.violations = append(v.violations, a.id+": an attempt of a request that no client wrote")
		return
	}
	slack := machineSlack + ck.stalled
	c := r.connection
	if late := a.arrived.Sub(c.clientClosedAt); !c.clientClosedAt.IsZero() && late > disconnectLimit+slack {
		v.addViolation(r, "an attempt began %v after the client's end", late)
	}
	if r.position < len(c.answers) {
		if late := a.arrived.Sub(c.answers[r.position].at); late > slack {
			v.addViolation(r, "an attempt began %v after the answer", late)
		}
	}
	if !r.writtenAt.IsZero() {
		remaining := r.timeout - a.arrived.Sub(r.writtenAt)
		if excess := a.timeout - remaining; excess > excessTimeoutLimit+slack {
			v.addViolation(r, "a cache was told %v, %v more than was left", a.timeout, excess)
		}
	}
	notifiedAt, draining := ck.drainNotified[routerCache{c.router, a.cache}]
	if late := a.arrived.Sub(notifiedAt); draining && late > drainGrace+slack {
		v.addViolation(r, "drain: an attempt began %v after the router was notified that %s drains", late, a.cache)
	}
	earlier, repeated := first[a.id]
	switch {
	case a.rejected:
	case !repeated:
		first[a.id] = a
	case r.class == classOnce:
		v.addViolation(r, "duplicate: sent again, although it may have run")
	case r.class == classPut && a.arrived.Sub(earlier.arrived) > keyTTL+slack:
		v.addViolation(r, "duplicate: sent again %v after the first attempt", a.arrived.Sub(earlier.arrived))
	}
}
