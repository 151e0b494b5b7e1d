package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"marlstage/internal/discovery"
	"marlstage/policy"
)

const hour = policy.Time(3_600_000_000) // in microseconds

// updateRecorder passes events on to an engine and records the endpoint updates among them.
type updateRecorder struct {
	policyEngine
	updates chan recordedUpdate
}

// recordedUpdate is an endpoint update and the time at which the engine received it.
type recordedUpdate struct {
	at        policy.Time
	endpoints []policy.Endpoint
}

func (e *updateRecorder) Handle(now policy.Time, ev policy.Event) []policy.Action {
	if update, ok := ev.(*policy.EndpointsUpdate); ok && update.Kind != policy.UpdateFailed {
		e.updates <- recordedUpdate{now, update.Endpoints}
	}
	return e.policyEngine.Handle(now, ev)
}

// startRouterWithClock runs a router whose wall clock is ahead of the caches' clock by offset when the router
// starts. The recorder receives the endpoint updates of its engine.
func startRouterWithClock(t *testing.T, offset policy.Time, discoveryAddr string, known ...string) (*runningRouter, *updateRecorder) {
	t.Helper()
	cfg := testConfig(t, discoveryAddr, nil, known...)
	cfg.Settings.ConnectionCost = 0 // the policy never closes idle connections
	srv, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.startedAtUnix += offset
	recorder := &updateRecorder{srv.loop.engine, make(chan recordedUpdate, 100)}
	srv.loop.engine = recorder
	return startServer(t, srv), recorder
}

// startedEndpointJSON returns an endpoint in service that started the given time ago.
func startedEndpointJSON(name, addr string, age time.Duration) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":"in_service","weight":1,"since_ms":%d}`,
		name, addr, time.Now().Add(-age).UnixMilli())
}

// TestNewStartIsRecentDespiteWrongWallClock checks that a cache whose start is first listed while the router
// watches counts as just started, even if the wall clock was wrong when the router started. The start
// times of caches that were listed before do not change.
func TestNewStartIsRecentDespiteWrongWallClock(t *testing.T) {
	for _, offset := range []policy.Time{-hour, -5_000_000, 0, 1_000_000, 5_000_000, hour} {
		t.Run(time.Duration(offset*1000).String(), func(t *testing.T) {
			addr, calls := newFakeDiscovery(t)
			old := startedEndpointJSON("c1", "127.0.0.1:1", 2*time.Minute)
			_, recorder := startRouterWithClock(t, offset, addr)
			receive(t, recorder.updates, "known list")
			receive(t, calls, "call").reply <- endpointListJSON(2, true, old, startedEndpointJSON("c2", "127.0.0.1:2", time.Minute))
			first := receive(t, recorder.updates, "first update")
			receive(t, calls, "second call").reply <- endpointListJSON(3, true, old, startedEndpointJSON("c2", "127.0.0.1:2", 0))
			second := receive(t, recorder.updates, "second update")
			if age := second.at - second.endpoints[1].StartedAt; age < 0 || age > maxListDelay {
				t.Errorf("a cache that has just started counts as started %v ago", time.Duration(age*1000))
			}
			if age := first.at - first.endpoints[0].StartedAt; age < time.Minute.Microseconds() {
				t.Errorf("a warm cache counts as started %v ago", time.Duration(age*1000))
			}
			if first.endpoints[0] != second.endpoints[0] {
				t.Errorf("the start of a cache changed from %+v to %+v", first.endpoints[0], second.endpoints[0])
			}
		})
	}
}

// TestRepeatedStartKeepsConnections checks that a list that repeats a start time closes no idle connections,
// even if that start is in the future by the wall clock.
func TestRepeatedStartKeepsConnections(t *testing.T) {
	for _, offset := range []policy.Time{-hour, 0, hour} {
		t.Run(time.Duration(offset*1000).String(), func(t *testing.T) {
			cache := newFakeCache(t)
			addr, calls := newFakeDiscovery(t)
			warm := startedEndpointJSON("c1", cache.addr(), time.Minute)
			later := startedEndpointJSON("c2", "127.0.0.1:1", 0)
			r, _ := startRouterWithClock(t, offset, addr)
			receive(t, calls, "call").reply <- endpointListJSON(2, true, warm, strings.Replace(later, "in_service", "terminating", 1))
			second := receive(t, calls, "second call")
			c := dial(t, r.addr)
			c.send(getCommand("r1"))
			first := receive(t, cache.commands, "command")
			first.reply(t, servedReply)
			c.wantLine("value")
			second.reply <- endpointListJSON(3, false, warm)
			receive(t, calls, "third call")
			(&loopHarness{t: t, loop: r.srv.loop}).do(func() {
				if p := r.srv.loop.pools["c1"]; len(p.idle) != 1 {
					t.Errorf("%d idle connections, want the one that served", len(p.idle))
				}
			})
		})
	}
}

// applyStart applies a list in which the cache "c1" is in service and started at the given time.
func (h *loopHarness) applyStart(addr string, startedAt policy.Time) {
	h.loop.applyEndpoints(discovery.EndpointList{
		Version:   2,
		Endpoints: []policy.Endpoint{{ID: "c1", Weight: 1, StartedAt: startedAt, State: policy.InService}},
		Addresses: []string{addr},
	}, policy.UpdateDelta)
}

// TestRepeatedFutureStartIsOneRestart checks that a start time in the future counts as one restart.
// Connections opened after the first list with it are not closed when the next list repeats it.
func TestRepeatedFutureStartIsOneRestart(t *testing.T) {
	cache := newFakeCache(t)
	h := newLoopHarness(t, cache.addr(), nil)
	var start policy.Time
	h.do(func() {
		start = h.loop.now + hour
		h.applyStart(cache.addr(), start)
	})
	h.serveRequest(cache)
	h.do(func() {
		h.applyStart(cache.addr(), start)
		if p := h.loop.pools["c1"]; len(p.idle) != 1 {
			t.Errorf("%d idle connections, want 1", len(p.idle))
		}
	})
}

// listedStart is a start time in an endpoint list and the age that the cache must have when the list
// arrives, both in seconds.
type listedStart struct {
	name      string
	startedAt policy.Time // by the caches' clock; 0 for long ago
	age       policy.Time
}

// TestAgesByListAndClock checks that an age by the wall clock is used unless it can't be right. If it can't, a
// cache whose start is listed for the first time counts as recently started.
func TestAgesByListAndClock(t *testing.T) {
	const second, longAgo = policy.Time(1_000_000), policy.Time(-1)
	type arrival struct {
		at        policy.Time // by the caches' clock, in seconds
		kind      policy.UpdateKind
		afterLoss bool // the router has lost contact with the discovery service
		starts    []listedStart
	}
	for _, test := range []struct {
		name     string
		offset   policy.Time // of the loop's clock, in seconds
		arrivals []arrival
	}{
		{"right clock", 0, []arrival{
			{10_000, policy.UpdateStale, false, []listedStart{{"a", 0, longAgo}, {"b", 9000, 1000}}},
			{10_001, policy.UpdateDelta, false, []listedStart{{"b", 9000, 1001}, {"c", 9990, 11}}},
			{10_004, policy.UpdateDelta, false, []listedStart{{"b", 10_004, 0}, {"c", 9990, 14}, {"a", 0, longAgo}}},
		}},
		{"right clock, start listed late after an outage", 0, []arrival{
			{10_000, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 1000}}},
			{10_020, policy.UpdateDelta, true, []listedStart{{"b", 10_003, 17}}},
			{10_021, policy.UpdateDelta, false, []listedStart{{"c", 10_021, 0}}},
		}},
		{"right clock, an old cache is listed again", 0, []arrival{
			{10_000, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 1000}, {"b", 9500, 500}}},
			{10_050, policy.UpdateSnapshot, false, []listedStart{{"b", 9500, 550}}},
			{10_100, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 1100}, {"b", 9500, 600}}},
			{10_150, policy.UpdateSnapshot, false, []listedStart{{"b", 9500, 650}}},
			{10_800, policy.UpdateSnapshot, false, []listedStart{{"b", 9500, 1300}}},
			{10_801, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 0}}}, // its start time has expired
		}},
		{"right clock, one start in the future", 0, []arrival{
			{10_000, policy.UpdateSnapshot, false, []listedStart{{"a", 10_060, 0}}},
			{10_005, policy.UpdateDelta, false, []listedStart{{"a", 10_060, 5}, {"b", 10_004, 0}}},
		}},
		{"an hour ahead", 3600, []arrival{
			{10_000, policy.UpdateStale, false, []listedStart{{"a", 9000, 4600}}},
			{10_001, policy.UpdateDelta, false, []listedStart{{"b", 9990, 3611}}}, // can't be told from a start an hour ago
			{10_004, policy.UpdateDelta, false, []listedStart{{"c", 10_003, 0}, {"a", 9000, 4604}}},
			{10_009, policy.UpdateDelta, true, []listedStart{{"d", 10_005, 0}, {"c", 10_003, 5}}},
		}},
		{"an hour behind", -3600, []arrival{
			{10_000, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 900}, {"b", 9900, 0}, {"c", 0, longAgo}}},
			{10_004, policy.UpdateDelta, false, []listedStart{{"a", 10_003, 0}, {"b", 9900, 4}}},
			{10_008, policy.UpdateDelta, false, []listedStart{{"a", 10_003, 4}}},
		}},
		{"five seconds ahead", 5, []arrival{
			{10_000, policy.UpdateSnapshot, false, []listedStart{{"a", 9000, 1005}}},
			{10_004, policy.UpdateDelta, false, []listedStart{{"a", 10_003, 0}}},
		}},
	} {
		starts := newStartTimes()
		for _, arrival := range test.arrivals {
			if arrival.afterLoss {
				starts.noteContactLost()
			}
			list := discovery.EndpointList{Snapshot: arrival.kind != policy.UpdateDelta}
			for _, start := range arrival.starts {
				list.Endpoints = append(list.Endpoints, policy.Endpoint{ID: start.name, StartedAt: start.startedAt * second})
			}
			now := (arrival.at + test.offset) * second
			for i, endpoint := range starts.convert(&list, arrival.kind, now) {
				want := arrival.starts[i]
				age := (now - endpoint.StartedAt) / second
				if endpoint.StartedAt == 0 {
					age = longAgo
				}
				if age != want.age {
					t.Errorf("%s: at %d %s is %d s old, want %d", test.name, arrival.at, want.name, age, want.age)
				}
			}
		}
	}
}
