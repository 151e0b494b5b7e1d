package policy_test

import (
	"container/heap"
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"io"
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
	goldenBlocks     = 6   // parallel subtests, each with a digest of its own
	goldenTimelines  = 500 // timelines of one block
	millisecond      = policy.Time(1_000)
	second           = 1_000 * millisecond
	goldenStart      = 1_000 * second
	goldenDrainAfter = 3 * second // events still play for so long after the last request
)

// goldenRouterCounts are the fleet sizes that the policy is played at.
var goldenRouterCounts = [...]int{2, 20, 300, 2_800}

// TestActionsMatchGolden plays random but legal timelines and compares a digest of every action
// with the one in testdata. The engine is deterministic, so a change that claims to keep its
// behaviour must keep these digests; run with -update only for a change that means to alter it.
// Log actions are left out. The file holds for amd64: other processors may fuse floating-point
// operations.
func TestActionsMatchGolden(t *testing.T) {
	lines := make([]string, goldenBlocks)
	t.Run("blocks", func(t *testing.T) {
		for block := range goldenBlocks {
			t.Run(fmt.Sprint(block), func(t *testing.T) {
				t.Parallel()
				lines[block] = playGoldenBlock(t, block)
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

// playGoldenBlock plays the timelines of one block and returns its line of the golden file.
func playGoldenBlock(t *testing.T, block int) string {
	t.Helper()
	digest := sha256.New()
	totals := goldenTotals{}
	for i := range goldenTimelines {
		seed := uint64(block*goldenTimelines + i)
		timeline, err := newGoldenTimeline(seed, digest)
		if err != nil {
			t.Fatalf("timeline %d: %v", seed, err)
		}
		timeline.play()
		totals.add(timeline.totals)
	}
	return fmt.Sprintf("block=%d %s sha256=%x\n", block, totals, digest.Sum(nil))
}

// goldenTotals counts what happened, so that a reader of the golden file sees what it covers.
type goldenTotals struct {
	requests, sends, rejects, fails, cancels, checks, closes, watches, misses, hedges int
}

func (c *goldenTotals) add(o goldenTotals) {
	c.requests += o.requests
	c.sends += o.sends
	c.rejects += o.rejects
	c.fails += o.fails
	c.cancels += o.cancels
	c.checks += o.checks
	c.closes += o.closes
	c.watches += o.watches
	c.misses += o.misses
	c.hedges += o.hedges
}

func (c goldenTotals) String() string {
	return fmt.Sprintf("requests=%d sends=%d rejects=%d fails=%d cancels=%d checks=%d closes=%d watches=%d misses=%d hedges=%d",
		c.requests, c.sends, c.rejects, c.fails, c.cancels, c.checks, c.closes, c.watches, c.misses, c.hedges)
}

// goldenEvent is something that happens in a timeline at a given time.
type goldenEvent struct {
	at       policy.Time
	sequence int // equal times keep their order
	run      func()
}

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

// goldenFault is what is wrong with a cache server for a while.
type goldenFault int

const (
	faultNone goldenFault = iota
	faultHang
	faultSlow
	faultUnreachable
	faultReset
	faultErrors
	faultReject
	goldenFaults // how many there are
)

// goldenCache is a cache server of a timeline.
type goldenCache struct {
	listed   policy.Endpoint // as the endpoint list has it
	nominal  float64         // weight without load
	stored   map[uint64]bool
	inFlight int
	fault    goldenFault
	slow     float64 // factor of its service time
}

// goldenRequest is a request that the engine was given.
type goldenRequest struct {
	id        int64
	key       uint64
	deadline  policy.Time
	streaming bool
	over      bool
	attempts  []*goldenAttempt
}

type goldenAttempt struct {
	cache   *goldenCache
	sent    policy.Time
	pending bool
}

// goldenTimeline is one router in a small random world.
type goldenTimeline struct {
	rng      *rand.Rand
	settings policy.Settings
	engine   *policy.Engine
	digest   hash.Hash
	now      policy.Time
	queue    goldenQueue
	sequence int
	totals   goldenTotals

	caches       []*goldenCache
	byID         map[string]*goldenCache
	requests     map[int64]*goldenRequest
	keys         *rand.Zipf
	service      float64 // mean time of a hit, in microseconds
	missTime     float64 // ... and of what the origin adds
	originDown   bool
	rate         float64 // requests a second
	left         int     // requests still to come
	hotKey       uint64
	hotShare     float64
	watching     bool
	discoveryOff bool
	faultRate    float64 // mean seconds between faults
	restartable  bool
	overloaded   bool // other routers crowd the cache servers, as live weights tell
}

func newGoldenTimeline(seed uint64, digest hash.Hash) (*goldenTimeline, error) {
	rng := rand.New(rand.NewPCG(seed, 0x60_1d_e2))
	timeline := &goldenTimeline{
		rng: rng, digest: digest, now: goldenStart, byID: map[string]*goldenCache{},
		requests: map[int64]*goldenRequest{},
		settings: goldenSettings(rng, goldenRouterCounts[seed%uint64(len(goldenRouterCounts))]),
		keys:     rand.NewZipf(rng, 1.05+rng.Float64(), 1+9*rng.Float64(), uint64(1+rng.IntN(2_000))),
		service:  math.Exp(rng.Float64()*4) * float64(2*millisecond),
		missTime: math.Exp(rng.Float64()*3) * float64(10*millisecond),
		rate:     math.Exp(1 + rng.Float64()*4.5),
		left:     60 + rng.IntN(300),
		hotKey:   rng.Uint64(),
	}
	if rng.IntN(3) == 0 {
		timeline.hotShare = 0.4 * rng.Float64()
	}
	if rng.IntN(10) == 0 { // health checks that this router's requests hardly pay for
		timeline.settings.HealthCheckCost, timeline.rate, timeline.left = 1, 3, 400
	}
	timeline.overloaded = rng.IntN(4) == 0
	timeline.faultRate = math.Exp(rng.Float64()*4 - 2)
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

func goldenSettings(rng *rand.Rand, routers int) policy.Settings {
	chance := func(n int) bool { return rng.IntN(n) > 0 }
	objective := policy.Time(50+rng.IntN(800)) * millisecond
	limit := objective + policy.Time(rng.IntN(2_000))*millisecond
	class := func(name string, effect policy.Effect, scope policy.DedupScope) policy.Class {
		return policy.Class{Name: name, Effect: effect, DedupScope: scope, KeyTTL: policy.Time(rng.IntN(4_000)) * millisecond,
			LatencyObjective: objective, Timeout: limit, PriorityWeight: 1 + rng.Float64(), LateWeight: rng.Float64()}
	}
	settings := policy.Settings{
		Routers: routers, WatchRequired: rng.IntN(2) == 0, LiveWeights: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(4),
		HedgingAllowed: chance(3), CancelAllowed: chance(4), HealthChecksAllowed: chance(4), MaxRetryAfter: policy.Time(rng.IntN(2_000)) * millisecond,
		DrainGrace: policy.Time(400+rng.IntN(1_600)) * millisecond,
		WarmupTime: policy.Time(2+rng.IntN(9)) * second, WarmupStartShare: rng.Float64() / 2,
		OverloadMultiple: 1.5 + 2*rng.Float64(), OverloadTime: policy.Time(300+rng.IntN(2_000)) * millisecond,
		PollInterval: policy.Time(2+rng.IntN(10)) * second, HealthCheckCost: 0.02 * rng.Float64(),
		ConnectionCost: 0.1 * rng.Float64() * float64(rng.IntN(2)), HandshakeCost: 0.05 * rng.Float64(),
		Classes: []policy.Class{
			class("read", policy.Idempotent, policy.ScopeAll), class("fast", policy.Idempotent, policy.ScopeAll),
			class("keyed", policy.IdempotentWithKey, policy.ScopeAll), class("zoned", policy.IdempotentWithKey, policy.ScopeZone),
			class("grouped", policy.IdempotentWithKey, policy.ScopeGroup), class("once", policy.NonIdempotent, policy.ScopeAll)},
	}
	settings.Classes[1].LatencyObjective = objective/2 + 1
	if rng.IntN(8) == 0 {
		settings.DrainGrace, settings.WarmupTime, settings.OverloadTime, settings.PollInterval = 0, 0, 0, 0
	}
	return settings
}

func (t *goldenTimeline) addCache(id string) *goldenCache {
	cache := &goldenCache{nominal: []float64{1, 1, 2, 0.5}[t.rng.IntN(4)], stored: map[uint64]bool{}, slow: 1}
	cache.listed = policy.Endpoint{ID: id, Zone: string(rune('a' + t.rng.IntN(3))), Group: t.rng.IntN(4), Weight: cache.nominal}
	if t.rng.IntN(4) == 0 {
		cache.listed.StartedAt = t.now - policy.Time(t.rng.IntN(10_000))*millisecond
	}
	t.caches = append(t.caches, cache)
	t.byID[id] = cache
	return cache
}

// at has run called at a later time.
func (t *goldenTimeline) at(when policy.Time, run func()) {
	t.sequence++
	heap.Push(&t.queue, goldenEvent{max(when, t.now), t.sequence, run})
}

func (t *goldenTimeline) after(span float64, run func()) { t.at(t.now+policy.Time(span), run) }

func (t *goldenTimeline) play() {
	t.feed(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: t.entries()})
	if !t.settings.WatchRequired {
		t.watching = true
		t.after(float64(millisecond), func() { t.deliver(policy.UpdateSnapshot, t.entries()) })
	}
	t.after(0, t.arrive)
	t.after(t.rng.ExpFloat64()*t.faultRate*float64(second), t.trouble)
	if t.settings.LiveWeights {
		t.after(float64(second), t.renewWeights)
	}
	end := policy.Time(math.MaxInt64)
	for len(t.queue) > 0 && t.queue[0].at < end {
		event := heap.Pop(&t.queue).(goldenEvent)
		t.now = event.at
		event.run()
		if t.left == 0 && end == math.MaxInt64 {
			end = t.now + goldenDrainAfter
		}
	}
}

// feed gives the engine an event, notes its actions and carries them out.
func (t *goldenTimeline) feed(event policy.Event) {
	for _, action := range t.engine.Handle(t.now, event) {
		t.perform(action)
	}
}

func (t *goldenTimeline) note(format string, arguments ...any) {
	fmt.Fprintf(t.digest, "%d ", t.now)
	fmt.Fprintf(t.digest, format, arguments...)
	io.WriteString(t.digest, "\n")
}

func (t *goldenTimeline) perform(action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		t.note("send %d %s %d %d", a.ID, a.Cache, a.Deadline, a.StartBefore)
		t.send(a)
	case policy.Cancel:
		t.note("cancel %d %d", a.ID, a.Attempt)
		t.totals.cancels++
		if request := t.requests[a.ID]; request != nil {
			t.after(100, func() { t.end(request, a.Attempt, policy.Cancelled, false) })
		}
	case policy.Reject:
		t.note("reject %d %d", a.ID, a.RetryAfter)
		t.totals.rejects++
		t.requests[a.ID].over = true
	case policy.Fail:
		t.note("fail %d", a.ID)
		t.totals.fails++
		t.requests[a.ID].over = true
	case policy.SetTimer:
		t.note("timer %d %d", a.Token, a.At)
		t.at(a.At, func() { t.feed(&policy.TimerFired{Token: a.Token}) })
	case policy.HealthCheck:
		t.note("check %s", a.Cache)
		t.totals.checks++
		t.check(t.byID[a.Cache])
	case policy.CloseIdleConnections:
		t.note("close %s", a.Cache)
		t.totals.closes++
	case policy.Watch:
		t.note("watch")
		t.totals.watches++
		t.watch()
	case policy.Log:
	default:
		t.note("unknown %T", action)
	}
}

// arrive gives the engine a request and has the next one come.
func (t *goldenTimeline) arrive() {
	t.left--
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
	event := &policy.Request{ID: request.id, Class: class.Name, Tenant: "tenant", Key: request.key, HasKey: t.rng.IntN(50) > 0,
		Deadline: request.deadline, Cost: policy.Time(t.rng.IntN(50)) * millisecond, Write: class.Effect != policy.Idempotent}
	if t.rng.IntN(100) == 0 {
		event.Class = "unknown"
	}
	t.feed(event)
	if t.rng.IntN(30) == 0 {
		t.after(t.rng.ExpFloat64()*float64(class.LatencyObjective), func() {
			if !request.over {
				request.over = true
				t.feed(&policy.ClientGone{ID: request.id})
			}
		})
	}
	if t.left > 0 {
		t.after(t.rng.ExpFloat64()*float64(second)/t.rate, t.arrive)
	}
}

// class draws the place of a class; most requests are reads.
func (t *goldenTimeline) class() int {
	if t.rng.IntN(10) < 7 {
		return t.rng.IntN(2)
	}
	return t.rng.IntN(len(t.settings.Classes))
}

// send plays an attempt at a cache server.
func (t *goldenTimeline) send(a policy.Send) {
	t.totals.sends++
	request, cache := t.requests[a.ID], t.byID[a.Cache]
	for _, earlier := range request.attempts {
		if earlier.pending {
			t.totals.hedges++
			break
		}
	}
	number := len(request.attempts)
	request.attempts = append(request.attempts, &goldenAttempt{cache: cache, sent: t.now, pending: true})
	cache.inFlight++
	result, took, miss := t.outcome(request, cache)
	if took < 0 || t.now+policy.Time(took) >= a.Deadline {
		t.at(a.Deadline, func() { t.end(request, number, policy.TimedOut, false) })
		return
	}
	if request.streaming && result == policy.Served {
		t.after(took/2, func() {
			if request.attempts[number].pending && !request.over {
				t.feed(&policy.ResponseStarted{ID: request.id, Attempt: number})
			}
		})
	}
	t.after(took, func() { t.end(request, number, result, miss) })
}

// outcome draws how an attempt ends and when; a negative time stands for no answer.
func (t *goldenTimeline) outcome(request *goldenRequest, cache *goldenCache) (result policy.Result, took float64, miss bool) {
	fast := float64(millisecond)
	switch cache.fault {
	case faultHang:
		return policy.TimedOut, -1, false
	case faultUnreachable:
		return policy.ConnectFailed, fast * float64(1+t.rng.IntN(250)), false
	case faultReset:
		return policy.ConnectionLost, fast * float64(1+t.rng.IntN(50)), false
	case faultErrors:
		return policy.ServerError, fast * float64(1+t.rng.IntN(50)), false
	case faultReject:
		return policy.Rejected, fast, false
	}
	if cache.listed.State != policy.InService || cache.inFlight > 12 {
		return policy.Rejected, fast, false
	}
	switch t.rng.IntN(300) {
	case 0:
		return policy.NotStored, fast, false
	case 1:
		return policy.NotSent, fast, false
	case 2:
		return policy.ConnectionLost, fast, false
	}
	took = (0.2 + t.rng.ExpFloat64()) * t.service * cache.slow * (1 + float64(cache.inFlight)/4)
	if miss = !cache.stored[request.key]; miss {
		took += (0.5 + t.rng.ExpFloat64()) * t.missTime
		if t.originDown {
			took += 5 * t.missTime
			if t.rng.IntN(3) == 0 {
				return policy.ServerError, took, false
			}
		}
	}
	return policy.Served, took, miss
}

// end ends an attempt, unless it has ended.
func (t *goldenTimeline) end(request *goldenRequest, number int, result policy.Result, miss bool) {
	attempt := request.attempts[number]
	if !attempt.pending {
		return
	}
	attempt.pending = false
	attempt.cache.inFlight--
	if result == policy.Served {
		request.over = true
		attempt.cache.stored[request.key] = true
	}
	if miss {
		t.totals.misses++
	}
	t.feed(&policy.AttemptDone{ID: request.id, Attempt: number, Result: result, Elapsed: t.now - attempt.sent,
		Final: request.over, Miss: miss, Load: policy.LoadReport{Utilization: t.rng.Float64(), ErrorRate: t.rng.Float64()}})
}

// check plays a health check.
func (t *goldenTimeline) check(cache *goldenCache) {
	sent := t.now
	result, took := policy.Served, t.rng.ExpFloat64()*t.service*cache.slow
	switch cache.fault {
	case faultHang:
		return // the engine counts it by a timer of its own
	case faultUnreachable:
		result = policy.ConnectFailed
	case faultReset:
		result = policy.ConnectionLost
	case faultErrors:
		result = policy.ServerError
	}
	if t.rng.IntN(50) == 0 {
		result = policy.NotSent
	}
	t.after(took, func() {
		t.feed(&policy.HealthCheckDone{Cache: cache.listed.ID, Result: result, Elapsed: t.now - sent, Load: policy.LoadReport{Utilization: 0.5}})
	})
}

// Discovery.

func (t *goldenTimeline) entries() []policy.Endpoint {
	var entries []policy.Endpoint
	for _, cache := range t.caches {
		if cache.listed.State != policy.Removed {
			entries = append(entries, cache.listed)
		}
	}
	return entries
}

// deliver tells the engine of a list, if it watches.
func (t *goldenTimeline) deliver(kind policy.UpdateKind, entries []policy.Endpoint) {
	if t.watching && !t.discoveryOff {
		t.feed(&policy.EndpointsUpdate{Kind: kind, Endpoints: entries})
	}
}

func (t *goldenTimeline) watch() {
	t.after(float64(20*millisecond), func() {
		if t.discoveryOff {
			t.watching = false
			t.feed(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
			return
		}
		t.watching = true
		t.deliver(policy.UpdateSnapshot, t.entries())
	})
}

// change tells of one cache server after the time that the list takes.
func (t *goldenTimeline) change(cache *goldenCache) {
	t.after(float64(t.rng.IntN(500))*float64(millisecond), func() {
		t.deliver(policy.UpdateDelta, []policy.Endpoint{cache.listed})
	})
}

// renewWeights tells of live weights, lowered by the load of the moment.
func (t *goldenTimeline) renewWeights() {
	var changed []policy.Endpoint
	for _, cache := range t.caches {
		if cache.listed.State == policy.Removed {
			continue
		}
		load := t.rng.ExpFloat64() * (0.3 + float64(cache.inFlight)/3)
		if t.overloaded {
			load += 20 + 4*t.rng.Float64()
		}
		cache.listed.Weight = cache.nominal / (1 + load)
		changed = append(changed, cache.listed)
	}
	if len(changed) > 0 {
		t.deliver(policy.UpdateDelta, changed)
	}
	t.after(float64(second)*(0.5+t.rng.Float64()), t.renewWeights)
}

// Trouble.

// trouble changes something in the world and comes again.
func (t *goldenTimeline) trouble() {
	cache := t.caches[t.rng.IntN(len(t.caches))]
	lasts := t.rng.ExpFloat64() * 4 * float64(second)
	switch t.rng.IntN(11) {
	case 0, 1, 2, 3:
		t.breakCache(cache, goldenFault(1+t.rng.IntN(int(goldenFaults)-1)), lasts)
	case 4:
		for _, other := range t.caches {
			if other.listed.Zone == cache.listed.Zone {
				t.breakCache(other, faultUnreachable, lasts)
			}
		}
	case 5:
		t.originDown = true
		t.after(lasts, func() { t.originDown = false })
	case 6:
		t.setState(cache, policy.Draining)
		t.after(lasts, func() { t.setState(cache, policy.Removed) })
	case 7:
		t.restart(cache)
	case 8:
		t.change(t.addCache(fmt.Sprintf("cache-new-%d", len(t.caches))))
	case 9:
		t.discoveryOff = true
		if t.watching && t.settings.WatchRequired {
			t.watching = false
			t.feed(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
		}
		t.after(lasts, func() { t.discoveryOff = false })
	case 10:
		rate := t.rate
		t.rate = min(400, t.rate*(1+3*t.rng.Float64()))
		t.after(lasts, func() { t.rate = rate })
	}
	if t.rng.IntN(10) == 0 {
		t.deliver(policy.UpdateSnapshot, t.entries())
	}
	t.after(t.rng.ExpFloat64()*t.faultRate*float64(second), t.trouble)
}

func (t *goldenTimeline) breakCache(cache *goldenCache, fault goldenFault, lasts float64) {
	cache.fault = fault
	if fault == faultSlow {
		cache.slow = 2 + 4*t.rng.Float64()
	}
	t.after(lasts, func() { cache.fault, cache.slow = faultNone, 1 })
}

func (t *goldenTimeline) setState(cache *goldenCache, state policy.EndpointState) {
	if cache.listed.State != policy.Removed {
		cache.listed.State = state
		t.change(cache)
	}
}

// restart starts the process of a cache server anew; it comes back empty.
func (t *goldenTimeline) restart(cache *goldenCache) {
	if !t.restartable {
		return
	}
	cache.listed.State, cache.listed.StartedAt = policy.InService, t.now
	cache.stored, cache.fault = map[uint64]bool{}, faultNone
	t.change(cache)
}
