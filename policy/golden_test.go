package policy_test

import (
	"container/heap"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marlstage/policy"
)

var update = flag.Bool("update", false, "rewrite the golden file of TestActionsMatchGolden")

const (
	goldenPath       = "testdata/actions.golden"
	goldenBlocks     = 6   // parallel subtests, each with its own digest
	goldenTimelines  = 500 // timelines of one block
	millisecond      = policy.Time(1_000)
	second           = 1_000 * millisecond
	goldenStart      = 1_000 * second
	goldenDrainAfter = 3 * second // events go on for this long after the last request
)

// goldenRouterCounts are the numbers of routers that timelines are run with.
var goldenRouterCounts = [...]int{2, 20, 300, 2_800}

// TestActionsMatchGolden runs random timelines of valid events and compares a digest of all actions with the
// one in testdata. The engine is deterministic, so a change that does not alter its behaviour keeps the
// digests. Use -update only for a change that is meant to alter it. Log actions are left out of the digest.
// The golden file is valid for amd64: other processors may fuse floating-point operations.
func TestActionsMatchGolden(t *testing.T) {
	lines := make([]string, goldenBlocks)
	t.Run("blocks", func(t *testing.T) {
		for block := range goldenBlocks {
			t.Run(fmt.Sprint(block), func(t *testing.T) {
				t.Parallel()
				lines[block] = runGoldenBlock(t, block)
			})
		}
	})
	got := strings.Join(lines, "")
	if *update {
		if err := os.MkdirAll(filepath.Dir(goldenPath), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("actions differ from %s; got\n%s\nwant\n%s", goldenPath, got, want)
	}
}

// runGoldenBlock runs the timelines of one block and returns its line of the golden file.
func runGoldenBlock(t *testing.T, block int) string {
	t.Helper()
	digest := sha256.New()
	totals := goldenTotals{}
	for i := range goldenTimelines {
		seed := uint64(block*goldenTimelines + i)
		timeline, err := newGoldenTimeline(seed, digest)
		if err != nil {
			t.Fatalf("timeline %d: %v", seed, err)
		}
		timeline.run()
		totals.add(timeline.totals)
	}
	return fmt.Sprintf("block=%d %s sha256=%x\n", block, totals, digest.Sum(nil))
}

// goldenTotals counts actions and events, so that the golden file shows what the timelines cover.
type goldenTotals struct {
	requests, sends, rejects, fails, cancels, checks, closes, watches, misses, hedges int
}

func (c *goldenTotals) add(other goldenTotals) {
	c.requests += other.requests
	c.sends += other.sends
	c.rejects += other.rejects
	c.fails += other.fails
	c.cancels += other.cancels
	c.checks += other.checks
	c.closes += other.closes
	c.watches += other.watches
	c.misses += other.misses
	c.hedges += other.hedges
}

func (c goldenTotals) String() string {
	return fmt.Sprintf("requests=%d sends=%d rejects=%d fails=%d cancels=%d", c.requests, c.sends, c.rejects, c.fails, c.cancels) +
		fmt.Sprintf(" checks=%d closes=%d watches=%d misses=%d hedges=%d", c.checks, c.closes, c.watches, c.misses, c.hedges)
}

// goldenTimeline is one router with simulated clients, cache servers, origin and discovery.
type goldenTimeline struct {
	rng      *rand.Rand
	settings policy.Settings
	engine   *policy.Engine
	digest   hash.Hash
	now      policy.Time
	queue    goldenQueue
	sequence int
	totals   goldenTotals

	caches            []*goldenCache
	byID              map[string]*goldenCache
	requests          map[int64]*goldenRequest
	keys              *rand.Zipf
	meanHitTime       float64 // mean time of a hit, in microseconds
	meanOriginTime    float64 // mean time that the origin adds, in microseconds
	originDown        bool
	rate              float64 // requests per second
	requestsLeft      int     // requests still to come
	hotKey            uint64
	hotShare          float64
	watching          bool
	discoveryDown     bool
	meanFaultInterval float64 // mean seconds between faults
	restartable       bool
	overloaded        bool // other routers overload the cache servers, which lowers live weights
}

// newGoldenTimeline returns a timeline with random parameters drawn from seed. Its actions are added to digest.
func newGoldenTimeline(seed uint64, digest hash.Hash) (*goldenTimeline, error) {
	rng := rand.New(rand.NewPCG(seed, 0x60_1d_e2))
	timeline := &goldenTimeline{
		rng: rng, digest: digest, now: goldenStart, byID: map[string]*goldenCache{},
		requests:       map[int64]*goldenRequest{},
		settings:       goldenSettings(rng, goldenRouterCounts[seed%uint64(len(goldenRouterCounts))]),
		keys:           rand.NewZipf(rng, 1.05+rng.Float64(), 1+9*rng.Float64(), uint64(1+rng.IntN(2_000))),
		meanHitTime:    math.Exp(rng.Float64()*4) * float64(2*millisecond),
		meanOriginTime: math.Exp(rng.Float64()*3) * float64(10*millisecond),
		rate:           math.Exp(1 + rng.Float64()*4.5),
		requestsLeft:   60 + rng.IntN(300),
		hotKey:         rng.Uint64(),
	}
	if rng.IntN(3) == 0 {
		timeline.hotShare = 0.4 * rng.Float64()
	}
	if rng.IntN(10) == 0 { // the requests of this router pay for few health checks
		timeline.settings.HealthCheckCost, timeline.rate, timeline.requestsLeft = 1, 3, 400
	}
	timeline.overloaded = rng.IntN(4) == 0
	timeline.meanFaultInterval = math.Exp(rng.Float64()*4 - 2)
	timeline.restartable = rng.IntN(2) == 0
	engine, err := policy.New(timeline.settings, rng.Uint64())
	if err != nil {
		return nil, err
	}
	timeline.engine = engine
	for i := range 1 + rng.IntN(12) + rng.IntN(2)*rng.IntN(20) {
		timeline.addCache(fmt.Sprintf("cache-%d-%d", seed, i))
	}
	return timeline, nil
}

// goldenSettings draws settings for a fleet of routers.
func goldenSettings(rng *rand.Rand, routers int) policy.Settings {
	likely := func(n int) bool { return rng.IntN(n) > 0 } // true with probability 1-1/n
	objective := policy.Time(50+rng.IntN(800)) * millisecond
	timeout := objective + policy.Time(rng.IntN(2_000))*millisecond
	class := func(name string, effect policy.Effect, scope policy.DedupScope) policy.Class {
		return policy.Class{Name: name, Effect: effect, DedupScope: scope, KeyTTL: policy.Time(rng.IntN(4_000)) * millisecond,
			LatencyObjective: objective, Timeout: timeout, PriorityWeight: 1 + rng.Float64(), LateWeight: rng.Float64()}
	}
	settings := policy.Settings{
		Routers: routers, WatchRequired: rng.IntN(2) == 0, LiveWeights: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(4),
		HedgingAllowed: likely(3), CancelAllowed: likely(4), HealthChecksAllowed: likely(4),
		MaxRetryAfter: policy.Time(rng.IntN(2_000)) * millisecond,
		DrainGrace:    policy.Time(400+rng.IntN(1_600)) * millisecond,
		WarmupTime:    policy.Time(2+rng.IntN(9)) * second, WarmupStartShare: rng.Float64() / 2,
		OverloadMultiple: 1.5 + 2*rng.Float64(), OverloadTime: policy.Time(300+rng.IntN(2_000)) * millisecond,
		PollInterval: policy.Time(2+rng.IntN(10)) * second, HealthCheckCost: 0.02 * rng.Float64(),
		ConnectionCost: 0.1 * rng.Float64() * float64(rng.IntN(2)), HandshakeCost: 0.05 * rng.Float64(),
		Classes: []policy.Class{
			class("read", policy.Idempotent, policy.ScopeAll),
			class("fast", policy.Idempotent, policy.ScopeAll),
			class("keyed", policy.IdempotentWithKey, policy.ScopeAll),
			class("zoned", policy.IdempotentWithKey, policy.ScopeZone),
			class("grouped", policy.IdempotentWithKey, policy.ScopeGroup),
			class("once", policy.NonIdempotent, policy.ScopeAll),
		},
	}
	settings.Classes[1].LatencyObjective = objective/2 + 1
	if rng.IntN(8) == 0 {
		settings.DrainGrace, settings.WarmupTime, settings.OverloadTime, settings.PollInterval = 0, 0, 0, 0
	}
	return settings
}

// at schedules an event.
func (t *goldenTimeline) at(when policy.Time, run func()) {
	t.sequence++
	heap.Push(&t.queue, goldenEvent{max(when, t.now), t.sequence, run})
}

// after schedules an event relative to now; span is in microseconds.
func (t *goldenTimeline) after(span float64, run func()) { t.at(t.now+policy.Time(span), run) }

// run runs the timeline until goldenDrainAfter after the last request.
func (t *goldenTimeline) run() {
	t.handle(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: t.listedEndpoints()})
	if !t.settings.WatchRequired {
		t.watching = true
		t.after(float64(millisecond), func() { t.deliver(policy.UpdateSnapshot, t.listedEndpoints()) })
	}
	t.after(0, t.arrive)
	t.after(t.rng.ExpFloat64()*t.meanFaultInterval*float64(second), t.injectFault)
	if t.settings.LiveWeights {
		t.after(float64(second), t.updateWeights)
	}
	end := policy.Time(math.MaxInt64)
	for len(t.queue) > 0 && t.queue[0].at < end {
		event := heap.Pop(&t.queue).(goldenEvent)
		t.now = event.at
		event.run()
		if t.requestsLeft == 0 && end == math.MaxInt64 {
			end = t.now + goldenDrainAfter
		}
	}
}

// handle gives the engine an event and carries out the resulting actions, which it adds to the digest.
func (t *goldenTimeline) handle(event policy.Event) {
	for _, action := range t.engine.Handle(t.now, event) {
		t.perform(action)
	}
}

// record adds a line to the digest.
func (t *goldenTimeline) record(format string, arguments ...any) {
	line := fmt.Sprintf("%d ", t.now) + fmt.Sprintf(format, arguments...) + "\n"
	t.digest.Write([]byte(line))
}

// perform adds an action to the digest and carries it out.
func (t *goldenTimeline) perform(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		t.record("send %d %s %d %d", a.ID, a.Cache, a.Deadline, a.StartBefore)
		t.startAttempt(a)
	case policy.Cancel:
		t.record("cancel %d %d", a.ID, a.Attempt)
		t.totals.cancels++
		if request := t.requests[a.ID]; request != nil {
			t.after(100, func() { t.finishAttempt(request, a.Attempt, policy.Cancelled, false) })
		}
	case policy.Reject:
		t.record("reject %d %d", a.ID, a.RetryAfter)
		t.totals.rejects++
		t.requests[a.ID].done = true
	case policy.Fail:
		t.record("fail %d", a.ID)
		t.totals.fails++
		t.requests[a.ID].done = true
	case policy.SetTimer:
		t.record("timer %d %d", a.Token, a.At)
		t.at(a.At, func() { t.handle(&policy.TimerFired{Token: a.Token}) })
	case policy.HealthCheck:
		t.record("check %s", a.Cache)
		t.totals.checks++
		t.checkHealth(t.byID[a.Cache])
	case policy.CloseIdleConnections:
		t.record("close %s", a.Cache)
		t.totals.closes++
	case policy.Watch:
		t.record("watch")
		t.totals.watches++
		t.watch()
	case policy.Log:
	default:
		t.record("unknown %T", action)
	}
}

// arrive gives the engine a request and schedules the next one.
func (t *goldenTimeline) arrive() {
	t.requestsLeft--
	t.totals.requests++
	class := t.settings.Classes[t.class()]
	request := &goldenRequest{id: int64(t.totals.requests), key: t.keys.Uint64() * 0x9e3779b97f4a7c15,
		deadline: t.now + policy.Time(float64(class.Timeout)*(0.3+0.7*t.rng.Float64())), streaming: t.rng.IntN(40) == 0}
	if t.rng.Float64() < t.hotShare {
		request.key = t.hotKey
	}
	if t.rng.IntN(100) == 0 {
		request.deadline = t.now - millisecond
	}
	t.requests[request.id] = request
	event := &policy.Request{
		ID:       request.id,
		Class:    class.Name,
		Tenant:   "tenant",
		Key:      request.key,
		HasKey:   t.rng.IntN(50) > 0,
		Deadline: request.deadline,
		Cost:     policy.Time(t.rng.IntN(50)) * millisecond,
		Write:    class.Effect != policy.Idempotent,
	}
	if t.rng.IntN(100) == 0 {
		event.Class = "unknown"
	}
	t.handle(event)
	if t.rng.IntN(30) == 0 {
		t.after(t.rng.ExpFloat64()*float64(class.LatencyObjective), func() {
			if !request.done {
				request.done = true
				t.handle(&policy.ClientGone{ID: request.id})
			}
		})
	}
	if t.requestsLeft > 0 {
		t.after(t.rng.ExpFloat64()*float64(second)/t.rate, t.arrive)
	}
}

// class draws the index of a class. Most draws are one of the two idempotent classes.
func (t *goldenTimeline) class() int {
	if t.rng.IntN(10) < 7 {
		return t.rng.IntN(2)
	}
	return t.rng.IntN(len(t.settings.Classes))
}

// goldenEvent is an event of a timeline, at a given time.
type goldenEvent struct {
	at       policy.Time
	sequence int // events with equal times run in the order in which they were scheduled
	run      func()
}

// goldenQueue is a heap of events by time and sequence.
type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
