package fleetscale

import (
	"bytes"
	"container/heap"
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

	"starlingwinch/decide"
	"starlingwinch/internal/wire"
)

// FleetSpec says what the hollow routers of one process are. A hollow router is the decision
// module with a watch of its own; those at work also get requests, made inside the process, and
// carry out what the module says.
type FleetSpec struct {
	Working   []int   // for each hollow router at work: how many others of the fleet its sockets stand for
	Watching  int     // hollow routers beside these that keep a watch alone
	Rate      float64 // requests a second at each router at work
	Requests  int64   // after which a router at work is done, once it sent Probes; 0 for never
	Probes    int64
	Open      []int // places on the list of the cache servers to which sockets are opened
	Sockets   int   // descriptors of a router
	Seed      uint64
	Discovery string
	Known     json.RawMessage // the list at the start
	Settings  Settings

	Listed func(version int64) `json:"-"` // if set, called after each list that a hollow router took
}

// CacheTally is what the routers at work asked of one cache server.
type CacheTally struct{ Probes, Attempts, Handshakes, Conns int64 }

func (t *CacheTally) add(o CacheTally) {
	t.Probes += o.Probes
	t.Attempts += o.Attempts
	t.Handshakes += o.Handshakes
	t.Conns += o.Conns
}

// FleetCount is what the hollow routers of one process did.
type FleetCount struct {
	Requests, Served, Refused, Failed int64
	Timers                            int64        // set by the modules of the routers at work
	Caches                            []CacheTally // by place on the list; opened and counted alike
	Opened                            CacheTally   // with sockets, by the hollow routers themselves
	Echoed                            CacheTally   // with sockets, by those that stand for the rest of the fleet
	EchoesLost                        int64        // messages that these could not pass on
	Calls, Lines, BytesIn, BytesOut   int64        // to and from discovery, by all
	Late                              int64        // microseconds behind their plan that 99% of requests were made at most
}

// Fleet is the hollow routers of one process.
type Fleet struct {
	Done chan struct{} // closed when all routers at work are done

	set       FleetSpec
	settings  decide.Settings
	transport wire.Transport
	known     *list
	routers   []*hollow
	ctx       context.Context
	end       context.CancelFunc
	loops     sync.WaitGroup
	echoes    sync.WaitGroup
	working   atomic.Int64 // routers that are not done
	lists     listCache

	calls, lines, in, out, echoesLost                 atomic.Int64
	echoProbes, echoAttempts, echoDials, echoOpenConn atomic.Int64

	lateMu sync.Mutex
	late   *hdrhistogram.Histogram // of arrivals, in microseconds
}

// StartFleet starts the hollow routers.
func StartFleet(s FleetSpec) (*Fleet, error) {
	f := &Fleet{Done: make(chan struct{}), set: s, late: hdrhistogram.New(1, 60e6, 3)}
	var err error
	if f.settings, f.transport, err = wire.ParseSettings(s.Settings.JSON()); err != nil {
		return nil, err
	}
	if f.known, err = parseList(s.Known); err != nil {
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
	}
	for _, h := range f.routers {
		f.loops.Go(h.run)
	}
	return f, nil
}

// Drain stops the requests and waits until nothing is out any more and all connections are closed.
func (f *Fleet) Drain() {
	for _, h := range f.routers {
		h.post(func() { h.draining = true })
	}
	for _, h := range f.routers {
		<-h.drained
	}
	f.echoes.Wait()
}

// Close ends the hollow routers.
func (f *Fleet) Close() {
	f.end()
	f.loops.Wait()
}

// Count adds up what the routers did.
func (f *Fleet) Count() FleetCount {
	c := FleetCount{Caches: make([]CacheTally, len(f.known.Entries)),
		Calls: f.calls.Load(), Lines: f.lines.Load(), BytesIn: f.in.Load(), BytesOut: f.out.Load(),
		Echoed:     CacheTally{f.echoProbes.Load(), f.echoAttempts.Load(), f.echoDials.Load(), f.echoOpenConn.Load()},
		EchoesLost: f.echoesLost.Load()}
	f.lateMu.Lock()
	c.Late = f.late.ValueAtQuantile(99)
	f.lateMu.Unlock()
	for _, h := range f.routers[:len(f.set.Working)] {
		added := make(chan struct{})
		h.post(func() {
			defer close(added)
			c.Requests, c.Served, c.Refused = c.Requests+h.count.Requests, c.Served+h.count.Served, c.Refused+h.count.Refused
			c.Failed, c.Timers = c.Failed+h.count.Failed, c.Timers+h.count.Timers
			for _, l := range h.links {
				t := l.tally
				t.Conns = int64(l.conns)
				c.Caches[l.cache].add(t)
				if l.real {
					c.Opened.add(t)
				}
			}
		})
		select {
		case <-added:
		case <-f.ctx.Done():
			return c
		}
	}
	return c
}

// list is an answer of discovery.
type list struct {
	Index     int64 `json:"index"`
	Snapshot  bool  `json:"snapshot"`
	Endpoints []struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		SinceMS int64   `json:"since_ms"`
	} `json:"endpoints"`
	Entries []decide.Entry `json:"-"`
}

var conditions = map[string]decide.Condition{"in_service": decide.Up, "terminating": decide.Draining,
	"terminated": decide.Removed}

func parseList(raw []byte) (*list, error) {
	l := &list{}
	if err := json.Unmarshal(raw, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for _, e := range l.Endpoints {
		l.Entries = append(l.Entries, decide.Entry{ID: e.Name, Zone: e.Zone, Cell: e.Group, Size: e.Weight,
			Start: e.SinceMS * 1000, Condition: conditions[e.Status]})
	}
	return l, nil
}

// listCache parses an answer once for all hollow routers of the process that get it.
type listCache struct {
	mu   sync.Mutex
	raw  []byte
	list *list
}

func (c *listCache) parse(raw []byte) (*list, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil || !bytes.Equal(raw, c.raw) {
		l, err := parseList(raw)
		if err != nil {
			return nil, err
		}
		c.raw, c.list = raw, l
	}
	return c.list, nil
}

// hollow is one hollow router. All but post runs in its one goroutine.
type hollow struct {
	f        *Fleet
	working  bool
	echoes   []time.Duration // by how much each router that its sockets stand for runs behind it
	module   *decide.Router
	rng      *rand.Rand
	keys     *rand.Zipf
	events   chan func()
	base     time.Time
	now      decide.Time
	timers   timers
	seq      int64
	backlog  []decide.Event
	requests map[int64]*hollowRequest
	links    map[string]*link
	conns    int // to all cache servers, those coming up included
	most     int // of them
	starved  bool
	tries    int // without an outcome
	dials    int // under way on sockets
	lastID   int64
	planned  float64 // when the next request is to come, in microseconds
	watching bool
	index    int64
	done     bool
	draining bool
	settled  bool
	drained  chan struct{}
	count    FleetCount
	probes   int64
	client   *http.Client
}

type hollowRequest struct {
	id       int64
	deadline decide.Time
	key      uint64
	write    bool
	tries    []*try
	out      int
	over     bool
}

const (
	keysInAll = 1 << 21
	keySkew   = 1.1 // of the Zipf distribution of keys, ...
	keyOffset = 100 // ... and by how much its top is flattened
	wakeLeast = 200 // microseconds between looks at the timers, to spare the machine
)

func newHollow(f *Fleet, n int) (*hollow, error) {
	h := &hollow{f: f, working: n < len(f.set.Working), rng: rand.New(rand.NewPCG(f.set.Seed, uint64(n))),
		events: make(chan func(), 64), base: time.Now(), requests: map[int64]*hollowRequest{}, links: map[string]*link{},
		index: f.known.Index, drained: make(chan struct{}),
		most: (f.set.Sockets - reservedSockets) * 2 / 5} // as a router shares them out
	settings := f.settings
	settings.Probes = settings.Probes && h.working
	var err error
	if h.module, err = decide.New(settings, h.rng.Uint64()); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	h.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{nc, &f.in, &f.out}, nil
		}}}
	if !h.working {
		return h, nil
	}
	h.keys = rand.NewZipf(h.rng, keySkew, keyOffset, keysInAll)
	for range f.set.Working[n] {
		h.echoes = append(h.echoes, time.Duration(h.rng.Int64N(f.settings.ProbeInterval()))*time.Microsecond)
	}
	for i, e := range f.known.Endpoints {
		h.links[e.Name] = &link{h: h, cache: i, name: e.Name, addr: e.Address, up: conditions[e.Status] == decide.Up,
			most: max(2, 72/max(1, f.settings.Routers))} // as a router's part of a cache server's connections
	}
	for _, i := range f.set.Open {
		h.links[f.known.Endpoints[i].Name].real = true
	}
	return h, nil
}

func (h *hollow) post(f func()) {
	select {
	case h.events <- f:
	case <-h.f.ctx.Done():
	}
}

func (h *hollow) clock() decide.Time {
	return h.base.UnixMicro() + time.Since(h.base).Microseconds()
}

func (h *hollow) run() {
	h.now = h.clock()
	h.backlog = append(h.backlog, &decide.List{Kind: decide.ListStale, Entries: h.f.known.Entries})
	h.tell()
	if !h.f.settings.MustWatch {
		h.watch()
	}
	if h.working {
		h.planned = float64(h.now)
		h.plan()
	}
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if len(h.timers) > 0 {
			alarm.Reset(time.Duration(max(wakeLeast, h.timers[0].at-h.clock())) * time.Microsecond)
		}
		select {
		case <-h.f.ctx.Done():
			for _, l := range h.links {
				l.closeIdle(h.now)
			}
			return
		case f := <-h.events:
			h.now = h.clock()
			f()
		case <-alarm.C:
			h.now = h.clock()
		}
		h.tell()
		for len(h.timers) > 0 && h.timers[0].at <= h.now {
			heap.Pop(&h.timers).(timer).f()
			h.tell()
		}
		if h.draining && !h.settled && h.tries == 0 && h.dials == 0 {
			for _, l := range h.links {
				l.closeIdle(h.now)
			}
			close(h.drained)
			h.settled = true
		}
	}
}

func (h *hollow) tell() {
	for len(h.backlog) > 0 {
		ev := h.backlog[0]
		h.backlog = h.backlog[1:]
		for _, a := range h.module.Handle(h.now, ev) {
			h.perform(a)
		}
	}
	h.backlog = nil
}

func (h *hollow) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		if q, l := h.requests[a.ID], h.links[a.Cache]; q != nil && l != nil {
			t := &try{request: q, number: len(q.tries), link: l, sent: h.now, stopAt: min(a.StopAt, q.deadline), sendBy: a.SendBy}
			if a.StopAt == 0 {
				t.stopAt = q.deadline
			}
			q.tries = append(q.tries, t)
			q.out++
			l.send(t)
		}
	case decide.Probe:
		if l := h.links[a.Cache]; l != nil && !h.draining {
			h.probes++
			l.send(&try{link: l, sent: h.now, stopAt: h.now + h.f.settings.ProbeTimeout()})
			h.finishQuota()
		}
	case decide.Cancel:
		if q := h.requests[a.ID]; q != nil && a.Attempt < len(q.tries) {
			q.tries[a.Attempt].giveUp(decide.Cancelled)
		}
	case decide.Refuse:
		h.answer(a.ID, &h.count.Refused)
	case decide.Fail:
		h.answer(a.ID, &h.count.Failed)
	case decide.SetTimer:
		h.count.Timers++
		h.at(a.At, func() { h.backlog = append(h.backlog, &decide.Timer{Token: a.Token}) })
	case decide.CloseIdle:
		if l := h.links[a.Cache]; l != nil {
			l.closeIdle(h.now)
		}
	case decide.Watch:
		h.watch()
	}
}

// plan has the next request come when it is due, whatever became of the ones before.
func (h *hollow) plan() {
	h.planned += h.rng.ExpFloat64() / h.f.set.Rate * 1e6
	h.at(decide.Time(h.planned), func() {
		if h.draining {
			return
		}
		h.arrive()
		h.plan()
	})
}

func (h *hollow) arrive() {
	h.f.lateMu.Lock()
	h.f.late.RecordValue(max(1, h.now-decide.Time(h.planned)))
	h.f.lateMu.Unlock()
	class := &h.f.settings.Classes[0]
	write := h.rng.Float64() < writeShare
	if write {
		class = &h.f.settings.Classes[1]
	}
	patience := patienceLeast + h.rng.Float64()*(patienceMost-patienceLeast)
	h.lastID++
	q := &hollowRequest{id: h.lastID, deadline: h.now + decide.Time(float64(class.Limit)*patience), key: h.keys.Uint64(), write: write}
	h.requests[q.id] = q
	h.count.Requests++
	h.backlog = append(h.backlog, &decide.Request{ID: q.id, Class: class.Name, Tenant: "all", Key: scatter(q.key),
		HasKey: true, Deadline: q.deadline, Write: write})
	h.finishQuota()
}

// scatter spreads the keys as a hash of their names would.
func scatter(key uint64) uint64 { return (key + 1) * 0x9e3779b97f4a7c15 >> 11 }

func (h *hollow) finishQuota() {
	if h.done || h.f.set.Requests == 0 || h.count.Requests < h.f.set.Requests || h.probes < h.f.set.Probes {
		return
	}
	h.done = true
	if h.f.working.Add(-1) == 0 {
		close(h.f.Done)
	}
}

// answer gives a request its final answer. Its tries that are not written end here.
func (h *hollow) answer(id int64, as *int64) {
	q := h.requests[id]
	if q == nil || q.over {
		return
	}
	q.over = true
	*as++
	for _, t := range q.tries {
		if t.state == waiting {
			t.end(decide.NotSent, reply{})
		}
	}
	h.forget(q)
}

func (h *hollow) forget(q *hollowRequest) {
	if q.over && q.out == 0 {
		delete(h.requests, q.id)
	}
}

// ended tells the module how a try went.
func (h *hollow) ended(t *try, result decide.Result, rep reply) {
	h.tries--
	busy := decide.Load{Busy: -1}
	if result == decide.Served {
		busy.Busy = .4
	}
	q := t.request
	if q == nil {
		h.backlog = append(h.backlog, &decide.Probed{Cache: t.link.name, Result: result, Elapsed: h.now - t.sent, Load: busy})
		return
	}
	q.out--
	if result == decide.Served {
		h.answer(q.id, &h.count.Served)
	}
	h.backlog = append(h.backlog, &decide.Outcome{ID: q.id, Attempt: t.number, Result: result, Elapsed: h.now - t.sent,
		Last: q.over, Miss: rep.miss, Load: busy})
	h.forget(q)
}

// Discovery.

const (
	pushedWait = 2 * time.Second // of a watch, as a router's
	askedWait  = 20 * time.Second
	watchPause = 100 * time.Millisecond // before another watch, at most; doubled with each that fails
)

// watch keeps a watch going until a call fails.
func (h *hollow) watch() {
	if h.watching {
		return
	}
	h.watching = true
	go func(after int64) {
		failed := 0
		for h.f.ctx.Err() == nil {
			l, err := h.call(after)
			if err == nil {
				after, failed = l.Index, 0
				h.post(func() { h.learn(l) })
				continue
			}
			if h.f.settings.MustWatch {
				h.post(func() {
					h.watching = false
					h.backlog = append(h.backlog, &decide.List{Kind: decide.ListFailed})
				})
				return
			}
			wait := min(watchPause<<min(failed, 4), time.Duration(h.f.settings.DrainGrace)*time.Microsecond/2)
			failed++
			select {
			case <-time.After(wait/2 + rand.N(wait/2)):
			case <-h.f.ctx.Done():
			}
		}
	}(h.index)
}

func (h *hollow) call(after int64) (*list, error) {
	wait := pushedWait
	if h.f.settings.MustWatch {
		wait = askedWait
	}
	ctx, end := context.WithTimeout(h.f.ctx, wait+time.Second)
	defer end()
	url := fmt.Sprintf("http://%s/discovery/hosts?after=%d&wait_ms=%d", h.f.set.Discovery, after, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	h.f.calls.Add(1)
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := make([]byte, max(0, resp.ContentLength))
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return h.f.lists.parse(body)
}

// learn takes over a list.
func (h *hollow) learn(l *list) {
	h.index = l.Index
	h.f.lines.Add(int64(len(l.Entries)))
	seen := map[string]bool{}
	for i := range l.Entries {
		e := &l.Entries[i]
		seen[e.ID] = true
		if k := h.links[e.ID]; k != nil {
			k.setUp(e.Condition == decide.Up)
		}
	}
	kind := decide.ListChanges
	if l.Snapshot {
		kind = decide.ListFull
		for name, k := range h.links {
			if !seen[name] {
				k.setUp(false)
			}
		}
	}
	h.backlog = append(h.backlog, &decide.List{Kind: kind, Entries: l.Entries})
	h.tell()
	if h.f.set.Listed != nil {
		h.f.set.Listed(l.Index)
	}
}

// Timers.

type timer struct {
	at  decide.Time
	seq int64
	f   func()
}

type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (h *hollow) at(t decide.Time, f func()) {
	h.seq++
	heap.Push(&h.timers, timer{at: t, seq: h.seq, f: f})
}
