package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marlstage/internal/router"
	"marlstage/internal/simprotocol"
	"marlstage/policy"
)

// FleetSpec says what the hollow routers of one process are. A hollow router is the decision
// module with a watch of its own. Those at work also get requests, made inside the process, and
// keep connections to all cache servers as a router does: counted at all, opened at some.
type FleetSpec struct {
	Working   []int   // for each hollow router at work: for how many others its sockets stand too
	Watching  int     // hollow routers beside these that keep a watch alone
	Rate      float64 // requests a second at each router at work
	Requests  int64   // after which, and after as many Probes, a router at work counts as done
	Probes    int64
	Open      []int // places on the list of the cache servers to which sockets are opened
	Sockets   int   // descriptors of a router
	Seed      uint64
	Discovery string          // its address
	Known     json.RawMessage // the list at the start
	Settings  json.RawMessage

	Listed func(version int64) `json:"-"` // if set, called after each list that a hollow router took
}

// FleetCount is what the hollow routers of one process did.
type FleetCount struct {
	Requests, Served, Timers int64        // at the routers at work
	Caches                   []CacheCount // of theirs, by place on the list; without bytes
	Sockets                  CacheCount   // what was opened, also for those that they stand for
	Lost                     int64        // messages of these that went wrong
	Lines, BytesIn           int64        // from discovery, by all
	Late                     int64        // microseconds that 99% of requests since the last Count were behind their plan at most
}

func (c *FleetCount) add(o FleetCount) {
	if c.Caches == nil {
		c.Caches = make([]CacheCount, len(o.Caches))
	}
	for i, t := range o.Caches {
		c.Caches[i].add(t)
	}
	c.Sockets.add(o.Sockets)
	c.Requests, c.Served, c.Timers = c.Requests+o.Requests, c.Served+o.Served, c.Timers+o.Timers
	c.Lines, c.BytesIn, c.Lost, c.Late = c.Lines+o.Lines, c.BytesIn+o.BytesIn, c.Lost+o.Lost, max(c.Late, o.Late)
}

// Fleet is the hollow routers of one process.
type Fleet struct {
	Done chan struct{} // closed when all routers at work are done

	set       FleetSpec
	settings  policy.Settings
	transport simprotocol.Transport
	known     *list
	routers   []*hollow
	ctx       context.Context
	end       context.CancelFunc
	working   atomic.Int64   // routers at work that are not done
	quiet     sync.WaitGroup // those with something out
	mirrors   sync.WaitGroup

	lines, in, out atomic.Int64 // of discovery

	mu      sync.Mutex // guards what follows
	sockets CacheCount
	lost    int64
	late    *hdrhistogram.Histogram // of requests, in microseconds

	listMu sync.Mutex // guards the last list and what it says: most get the same
	raw    []byte
	parsed *list
}

// StartFleet starts the hollow routers.
func StartFleet(s FleetSpec) (*Fleet, error) {
	f := &Fleet{Done: make(chan struct{}), set: s, late: hdrhistogram.New(1, 60e6, 3)}
	var err error
	if f.settings, f.transport, err = simprotocol.ParseSettings(s.Settings); err != nil {
		return nil, err
	}
	if f.known, err = f.parse(s.Known); err != nil {
		return nil, err
	}
	f.ctx, f.end = context.WithCancel(context.Background())
	f.working.Store(int64(len(s.Working)))
	for n := range len(s.Working) + s.Watching {
		h, err := newHollow(f, n)
		if err != nil {
			f.end()
			return nil, err
		}
		f.routers = append(f.routers, h)
		f.quiet.Add(1)
	}
	for _, h := range f.routers {
		h.do(h.start)
	}
	return f, nil
}

// Drain ends the requests and waits until nothing is out and no connection to a cache server open.
func (f *Fleet) Drain() {
	for _, h := range f.routers {
		h.do(func() { h.draining = true })
	}
	f.quiet.Wait()
	f.mirrors.Wait()
}

// Close ends the hollow routers.
func (f *Fleet) Close() { f.end() }

// Count adds up what the routers did.
func (f *Fleet) Count() FleetCount {
	c := FleetCount{Caches: make([]CacheCount, len(f.known.Entries)), Lines: f.lines.Load(), BytesIn: f.in.Load()}
	f.locked(func() {
		c.Sockets, c.Lost, c.Late = f.sockets, f.lost, f.late.ValueAtQuantile(99)
		f.late.Reset()
	})
	for _, h := range f.routers {
		h.mu.Lock()
		c.Requests, c.Served, c.Timers = c.Requests+h.asked, c.Served+h.served, c.Timers+h.timers
		for _, l := range h.links {
			c.Caches[l.cache].add(l.tally)
		}
		h.mu.Unlock()
	}
	return c
}

func (f *Fleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// list is an answer of discovery.
type list struct {
	Index     int64
	Snapshot  bool
	Endpoints []struct {
		Name, Address, Zone, Status string
		Group                       int
		Weight                      float64
		SinceMS                     int64 `json:"since_ms"`
	}
	Entries []policy.Endpoint `json:"-"`
}

var conditions = map[string]policy.EndpointState{"in_service": policy.InService, "terminating": policy.Draining,
	"terminated": policy.Removed}

// parse reads a list, once for all the hollow routers that get it.
func (f *Fleet) parse(raw []byte) (*list, error) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	if f.parsed != nil && bytes.Equal(raw, f.raw) {
		return f.parsed, nil
	}
	l := &list{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for _, e := range l.Endpoints {
		l.Entries = append(l.Entries, policy.Endpoint{ID: e.Name, Zone: e.Zone, Group: e.Group, Weight: e.Weight,
			StartedAt: e.SinceMS * 1000, State: conditions[e.Status]})
	}
	f.raw, f.parsed = raw, l
	return l, nil
}

// hollow is one hollow router. Its lock is held by whatever runs in it: see do.
type hollow struct {
	f        *Fleet
	isAtWork bool
	behind   []time.Duration // by which each router that its sockets stand for follows; the first is itself
	client   *http.Client

	mu       sync.Mutex
	module   *policy.Engine
	demand   *demand
	now      policy.Time
	backlog  []policy.Event // what the module is still to be told
	requests map[int64]*request
	links    []*link // in the order of the list at the start
	byName   map[string]*link
	conns    int  // to all cache servers
	most     int  // of them
	starved  bool // there were too few
	tries    int  // without an outcome
	due      time.Time
	watching bool
	index    int64 // version of the list
	failed   int   // watches in a row
	isDone   bool
	draining bool
	drained  bool

	asked, served, timers, probes int64
}

type request struct {
	id, deadline int64
	key          uint64
	write, over  bool
	tries        []*try
	out          int
}

func newHollow(f *Fleet, n int) (*hollow, error) {
	h := &hollow{f: f, isAtWork: n < len(f.set.Working), demand: newDemand(f.set.Seed<<32 + uint64(n)), requests: map[int64]*request{},
		byName: map[string]*link{}, index: f.known.Index, most: (f.set.Sockets - 48) * 2 / 5} // as a router shares them out
	settings := f.settings
	settings.HealthChecksAllowed = settings.HealthChecksAllowed && h.isAtWork
	var err error
	if h.module, err = policy.New(settings, h.demand.rng.Uint64()); err != nil {
		return nil, err
	}
	h.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return countedConn{nc, &f.in, &f.out}, err
		}}}
	if !h.isAtWork {
		return h, nil
	}
	h.behind = make([]time.Duration, 1+f.set.Working[n])
	for i := range f.set.Working[n] {
		h.behind[1+i] = time.Duration(h.demand.rng.Int64N(f.settings.HealthCheckInterval())) * time.Microsecond
	}
	for i, e := range f.known.Endpoints {
		// The most connections are a router's part of what a cache server holds.
		l := &link{h: h, cache: i, name: e.Name, addr: e.Address, up: true, most: max(2, 72/max(1, f.settings.Routers))}
		h.links, h.byName[e.Name] = append(h.links, l), l
	}
	for _, i := range f.set.Open {
		h.links[i].opened = true
	}
	return h, nil
}

// do runs something in the router, and then tells the module what came of it.
func (h *hollow) do(run func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.f.ctx.Err() != nil {
		return
	}
	h.now = time.Now().UnixMicro()
	run()
	for len(h.backlog) > 0 {
		ev := h.backlog[0]
		h.backlog = h.backlog[1:]
		for _, a := range h.module.Handle(h.now, ev) {
			h.perform(a)
		}
	}
	h.backlog = nil
	if h.draining && !h.drained && h.tries == 0 {
		for _, l := range h.links {
			l.closeIdle(h.now)
		}
		h.drained = true
		h.f.quiet.Done()
	}
}

// at runs something in the router at a later time.
func (h *hollow) at(t policy.Time, run func()) {
	time.AfterFunc(time.Duration(t-h.now)*time.Microsecond, func() { h.do(run) })
}

func (h *hollow) tell(ev policy.Event) { h.backlog = append(h.backlog, ev) }

func (h *hollow) start() {
	h.tell(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: h.f.known.Entries})
	if !h.f.settings.WatchRequired {
		h.watch()
	}
	if h.isAtWork {
		h.due = time.Now()
		h.plan()
	}
}

func (h *hollow) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		if q, l := h.requests[a.ID], h.byName[a.Cache]; q != nil && l != nil {
			t := &try{request: q, number: len(q.tries), link: l, sent: h.now, stopAt: q.deadline, sendBy: a.StartBefore}
			if a.Deadline != 0 {
				t.stopAt = min(a.Deadline, q.deadline)
			}
			q.tries = append(q.tries, t)
			q.out++
			l.send(t)
		}
	case policy.HealthCheck:
		if l := h.byName[a.Cache]; l != nil && !h.draining {
			h.probes++
			h.finishQuota()
			l.send(&try{link: l, sent: h.now, stopAt: h.now + h.f.settings.HealthCheckTimeout()})
		}
	case policy.Cancel:
		if q := h.requests[a.ID]; q != nil && a.Attempt < len(q.tries) {
			q.tries[a.Attempt].giveUp(policy.Cancelled)
		}
	case policy.Reject:
		h.finish(h.requests[a.ID])
	case policy.Fail:
		h.finish(h.requests[a.ID])
	case policy.SetTimer:
		h.timers++
		h.at(a.At, func() { h.tell(&policy.TimerFired{Token: a.Token}) })
	case policy.CloseIdleConnections:
		if l := h.byName[a.Cache]; l != nil {
			l.closeIdle(h.now)
		}
	case policy.Watch:
		h.watch()
	}
}

// plan has the next request come when it is due, whatever became of those before.
func (h *hollow) plan() {
	h.due = h.due.Add(h.demand.gap(h.f.set.Rate))
	h.at(h.due.UnixMicro(), func() {
		if h.draining {
			return
		}
		h.f.locked(func() { h.f.late.RecordValue(max(1, h.now-h.due.UnixMicro())) })
		h.arrive()
		h.plan()
	})
}

func (h *hollow) arrive() {
	key, write, patience := h.demand.next()
	h.asked++
	q := &request{id: h.asked, deadline: h.now + patience.Microseconds(), key: key, write: write}
	h.requests[q.id] = q
	class := readClass
	if write {
		class = writeClass
	}
	h.tell(&policy.Request{ID: q.id, Class: class, Tenant: "all", Key: key, HasKey: true, Deadline: q.deadline, Write: write})
	h.finishQuota()
}

func (h *hollow) finishQuota() {
	if s := &h.f.set; !h.isDone && s.Requests > 0 && h.asked >= s.Requests && h.probes >= s.Probes {
		h.isDone = true
		if h.f.working.Add(-1) == 0 {
			close(h.f.Done)
		}
	}
}

// finish gives a request its final answer. Tries that wait for a connection end here.
func (h *hollow) finish(q *request) {
	if q == nil || q.over {
		return
	}
	q.over = true
	for _, t := range q.tries {
		if t.conn == nil {
			t.end(policy.NotSent, false)
		}
	}
	h.forget(q)
}

func (h *hollow) forget(q *request) {
	if q.over && q.out == 0 {
		delete(h.requests, q.id)
	}
}

// ended tells the module how a try went.
func (h *hollow) ended(t *try, result policy.Result, miss bool) {
	h.tries--
	q, took, report := t.request, h.now-t.sent, policy.LoadReport{Utilization: -1}
	if result == policy.Served {
		report.Utilization = .4
	}
	if q == nil {
		h.tell(&policy.HealthCheckDone{Cache: t.link.name, Result: result, Elapsed: took, Load: report})
		return
	}
	q.out--
	if result == policy.Served && !q.over {
		h.served++
		h.finish(q)
	}
	h.tell(&policy.AttemptDone{ID: q.id, Attempt: t.number, Result: result, Elapsed: took, Final: q.over, Miss: miss, Load: report})
	h.forget(q)
}

// The pause behind a watch that failed: doubled with each, and no longer than half of the drain grace.
const (
	watchPause = 100_000 // microseconds
	mostDouble = 4
)

// watch keeps a watch going until a call fails.
func (h *hollow) watch() {
	if h.watching {
		return
	}
	h.watching = true
	go func(after int64) {
		for {
			l, err := h.call(after)
			if err != nil {
				h.do(h.watchFailed)
				return
			}
			after = l.Index
			h.do(func() { h.learn(l) })
		}
	}(h.index)
}

func (h *hollow) watchFailed() {
	h.watching = false
	if h.f.settings.WatchRequired {
		h.tell(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
		return
	}
	wait := min(watchPause<<min(h.failed, mostDouble), h.f.settings.DrainGrace/2)
	h.failed++
	h.at(h.now+policy.Time(float64(wait)*(.5+rand.Float64()/2)), h.watch)
}

func (h *hollow) call(after int64) (*list, error) {
	wait := router.WatchWait(h.f.settings.WatchRequired)
	ctx, end := context.WithTimeout(h.f.ctx, wait+time.Second)
	defer end()
	url := fmt.Sprintf("http://%s/discovery/hosts?after=%d&wait_ms=%d", h.f.set.Discovery, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := make([]byte, max(0, resp.ContentLength))
	_, err = io.ReadFull(resp.Body, body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err != nil {
		return nil, err
	}
	return h.f.parse(body)
}

// learn takes over a list.
func (h *hollow) learn(l *list) {
	h.index, h.failed = l.Index, 0
	h.f.lines.Add(int64(len(l.Entries)))
	kind := policy.UpdateDelta
	if l.Snapshot {
		kind = policy.UpdateSnapshot
		for _, k := range h.links {
			k.up = false // unless it is listed
		}
	}
	for _, e := range l.Entries {
		if k := h.byName[e.ID]; k != nil {
			k.up = e.State == policy.InService
		}
	}
	for _, k := range h.links {
		k.pump()
	}
	h.tell(&policy.EndpointsUpdate{Kind: kind, Endpoints: l.Entries})
	if h.f.set.Listed != nil {
		h.f.set.Listed(l.Index)
	}
}
