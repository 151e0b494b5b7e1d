package router

import (
	"container/heap"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

// discoveryCall is a call of the router to a fake discovery service.
type discoveryCall struct {
	query string
	reply chan string // a body, or empty for status 503
}

// newFakeDiscovery returns the address of a discovery service that hands each call to the test.
func newFakeDiscovery(t *testing.T) (addr string, calls chan discoveryCall) {
	t.Helper()
	calls = make(chan discoveryCall)
	addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request, done <-chan struct{}) {
		c := discoveryCall{r.URL.String(), make(chan string, 1)}
		select {
		case calls <- c:
		case <-done:
			return
		}
		select {
		case body := <-c.reply:
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprint(w, body) // fails only if the router has closed the connection
		case <-done:
		case <-r.Context().Done():
		}
	})
	return addr, calls
}

// TestWatchContinuesAfterResponse checks that the router applies the list in each response and then calls for
// the changes after it.
func TestWatchContinuesAfterResponse(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	router := startRouter(t, testConfig(t, addr, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	first := receive(t, calls, "call")
	if want := "/discovery/hosts?after=1&wait_ms=3000"; first.query != want {
		t.Errorf("call %s, want %s", first.query, want)
	}
	first.reply <- endpointListJSON(7, false, endpointJSON("c1", cache.addr(), "in_service"))
	second := receive(t, calls, "call")
	if want := "/discovery/hosts?after=7&wait_ms=3000"; second.query != want {
		t.Errorf("call %s, want %s", second.query, want)
	}
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	receive(t, cache.commands, "command").reply(t, servedReply)
	client.wantLine("value")
	second.reply <- endpointListJSON(9, true) // the snapshot lacks the cache, so the router removes it
	receive(t, calls, "call")
	receive(t, cache.closed, "end of the idle connection")
	client.send(getCommand("r2"))
	if got := client.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
}

// TestWatchWithoutKnownList checks that a router without a known list calls for a snapshot first.
func TestWatchWithoutKnownList(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	startRouter(t, testConfig(t, addr, func(in map[string]any) { delete(in, "known") }))
	if c := receive(t, calls, "call"); c.query != "/discovery/hosts" {
		t.Errorf("call %s", c.query)
	}
}

// TestRequiredWatchIsRetried checks that a failed watch which the policy requires is retried at the interval
// that the policy sets.
func TestRequiredWatchIsRetried(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	startRouter(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = 1_000_000
	}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	receive(t, calls, "call").reply <- ""
	if c := receive(t, calls, "second call"); !strings.Contains(c.query, "after=1&") {
		t.Errorf("call %s", c.query)
	}
}

// TestOptionalWatchIsOpened checks that the router opens a watch by itself if the policy does not open one,
// that it retries after a failed call, and that a cache gets no new requests after a notification that it is
// draining.
func TestOptionalWatchIsOpened(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	router := startRouter(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["discovery"] = "automatic"
	}, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	receive(t, cache.commands, "command").reply(t, servedReply)
	client.wantLine("value")
	receive(t, calls, "call").reply <- "" // fails
	receive(t, calls, "call after a failure").reply <- endpointListJSON(2, false, endpointJSON("c1", cache.addr(), "terminating"))
	receive(t, calls, "next call") // the router has applied the draining state
	client.send(getCommand("r2"))
	if got := client.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
}

// TestMovedDiscovery checks that the watch continues at the new address: from the known version if the settings
// require a watch, whose calls then have a cost, and with a snapshot otherwise. A late response of the old service
// does not override that of the new one.
func TestMovedDiscovery(t *testing.T) {
	for mode, want := range map[string]string{"subscribe": "/discovery/hosts?after=1&wait_ms=3000", "automatic": "/discovery/hosts"} {
		cache := newFakeCache(t)
		old, oldCalls := newFakeDiscovery(t)
		moved, calls := newFakeDiscovery(t)
		router := startRouter(t, testConfig(t, old, func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode },
			endpointJSON("c1", cache.addr(), "in_service")))
		oldCall := receive(t, oldCalls, "call")
		router.srv.MoveDiscovery("127.0.0.1:1")
		router.srv.MoveDiscovery(moved) // a second SIGHUP before the first one has taken effect
		first := receive(t, calls, "call at the new address")
		if first.query != want {
			t.Errorf("%s: call %s, want %s", mode, first.query, want)
		}
		oldCall.reply <- endpointListJSON(5, true)
		first.reply <- endpointListJSON(2, mode == "automatic", endpointJSON("c1", cache.addr(), "in_service"), endpointJSON("c2", "127.0.0.1:1", "terminating"))
		if c := receive(t, calls, "next call"); !strings.Contains(c.query, "after=2&") {
			t.Errorf("%s: call %s", mode, c.query)
		}
		c := dial(t, router.addr)
		c.send(getCommand("r1"))
		receive(t, cache.commands, "command").reply(t, servedReply)
		c.wantLine("value")
	}
}

// failWatch fails a watch and returns the delay until the loop opens the next one, or -1 if it will not.
func failWatch(l *eventLoop) policy.Time {
	l.watchFailed(errors.New("no discovery"))
	for _, t := range l.timers {
		if t.sequence == l.lastID {
			return t.at - l.now
		}
	}
	return -1
}

// TestFailedWatchesBackOff checks that the delays after failed watches differ, grow up to a bound, and are
// short again after a list has been received.
func TestFailedWatchesBackOff(t *testing.T) {
	harness := newLoopHarness(t, newFakeCache(t).addr(), func(c *config.Config) { c.Settings.WatchRequired = false })
	harness.do(func() {
		delays := map[policy.Time]bool{}
		for round := range 20 {
			harness.loop.watchBackoff.Reset()
			for i := range 8 {
				// At most half of the drain grace, because changes during an outage count as notified soon after it ends.
				longest := min(discovery.BackoffBase<<min(i, discovery.MaxBackoffDoublings), harness.loop.cfg.Settings.DrainGrace/2)
				delay := failWatch(harness.loop)
				if delays[delay] = true; delay < longest/2 || delay > longest {
					t.Errorf("delay %d of round %d is %d us, want %d to %d", i, round, delay, longest/2, longest)
				}
			}
		}
		if len(delays) < 20*8/2 {
			t.Errorf("only %d of %d delays differ", len(delays), 20*8)
		}
		list := discovery.EndpointList{Version: 5}
		if harness.loop.applyEndpoints(list, list.Kind()); failWatch(harness.loop) > discovery.BackoffBase {
			t.Error("the delay is still long after a list was received")
		}
		const longest = discovery.BackoffBase << discovery.MaxBackoffDoublings
		harness.loop.cfg.Settings.DrainGrace = 10 * longest
		for range discovery.MaxBackoffDoublings {
			failWatch(harness.loop)
		}
		if delay := failWatch(harness.loop); delay < longest/2 {
			t.Errorf("with a long drain grace the longest delay is %d", delay)
		}
	})
}

// TestDiscoveryClientConfig checks that the maximum sizes of a response follow the memory limit, and that the wait
// of a watch follows the discovery mode.
func TestDiscoveryClientConfig(t *testing.T) {
	for mode, wait := range map[string]time.Duration{"subscribe": 3 * time.Second, "automatic": 2 * time.Second} {
		cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode })
		endpoints := map[int64]int{32: 4096, 192: 24 * 1024}
		for memoryMB, size := range map[int64]int64{32: 2 << 20, 192: 8 << 20} {
			cfg.Limits.MemoryMB = memoryMB
			want := discovery.ClientConfig{
				Address: "127.0.0.1:1", MaxResponseSize: size, MaxEndpoints: endpoints[memoryMB], WatchWait: wait,
			}
			if got := discoveryClientConfig(cfg); got != want {
				t.Errorf("%s, %d MB: got %+v, want %+v", mode, memoryMB, got, want)
			}
		}
	}
}

// TestOutOfOrderListFetchesSnapshot checks that changes that do not follow the known version lead to a call
// for a snapshot. Otherwise the router would repeat the same call forever.
func TestOutOfOrderListFetchesSnapshot(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		addr, calls := newFakeDiscovery(t)
		cache := newFakeCache(t)
		router := startRouter(t, testConfig(t, addr, func(in map[string]any) {
			settings := in["settings"].(map[string]any)
			settings["discovery"] = mode
			settings["rules"].(map[string]any)["askEvery"] = 1_000_000
		}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
		receive(t, calls, "call").reply <- endpointListJSON(9, false)
		if c := receive(t, calls, "call"); !strings.Contains(c.query, "after=9&") {
			t.Errorf("%s: call %s", mode, c.query)
		} else {
			c.reply <- endpointListJSON(4, false) // the service has restarted
		}
		snapshot := receive(t, calls, "call for a snapshot")
		if snapshot.query != "/discovery/hosts" {
			t.Errorf("%s: call %s", mode, snapshot.query)
		}
		snapshot.reply <- endpointListJSON(5, true, endpointJSON("c1", cache.addr(), "in_service"))
		if c := receive(t, calls, "call"); !strings.Contains(c.query, "after=5&") {
			t.Errorf("%s: call %s", mode, c.query)
		}
		c := dial(t, router.addr)
		c.send(getCommand("r1"))
		receive(t, cache.commands, "command").reply(t, servedReply)
		c.wantLine("value")
	}
}

// TestStalledWatchIsReopenedInTime checks that another watch is open when changes missed by a stalled watch
// count as notified, even after the longest backoff that follows one failure. They count as notified 6 s
// after the watch stalled, however long its wait was.
func TestStalledWatchIsReopenedInTime(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode })
		backoff := time.Duration(discovery.BackoffBase) * time.Microsecond
		deadline := time.Duration(policy.NotificationTimeout) * time.Microsecond
		if mode == "subscribe" {
			backoff = time.Duration(cfg.Settings.DrainGrace) * time.Microsecond // the policy's longest backoff
		}
		reopened := discoveryClientConfig(cfg).WatchWait + discovery.ResponseAllowance + backoff
		if reopened >= deadline {
			t.Errorf("%s: a watch that stalls at once is reopened after %v, the deadline is %v", mode, reopened, deadline)
		}
	}
}

// outage is a way in which calls fail while the discovery service is down.
type outage struct {
	name       string
	failsAfter policy.Time // how long a call takes to fail
}

// TestFirstCallAfterOutageIsInTime checks that the first call after an outage starts early enough to end by
// the notification deadline, however earlier calls failed, and that the calls of many routers are spread.
func TestFirstCallAfterOutageIsInTime(t *testing.T) {
	stall := (discovery.WatchWait(true) + discovery.ResponseAllowance).Microseconds()
	outages := []outage{{"refusal", 100}, {"stall", stall}, {"lost packets", discovery.ResponseAllowance.Microseconds()}, {"503", 5000}}
	for _, o := range outages {
		for _, recoversAt := range []policy.Time{1_000_000, 25_000_000, 40_000_000} {
			testFirstCalls(t, o, recoversAt)
		}
	}
}

// testFirstCalls checks the first calls of many routers after an outage that ends between recoversAt and five
// seconds later.
func testFirstCalls(t *testing.T, o outage, recoversAt policy.Time) {
	t.Helper()
	// The call may take callAllowance microseconds. Each router has its own seed.
	const callAllowance, routers = 500_000, 200
	callsByTenth := map[policy.Time]int{}
	for seed := range uint64(routers) {
		settings := testConfig(t, "127.0.0.1:1", nil).Settings
		settings.PollInterval, settings.DrainGrace = 10_000_000, 1_500_000
		at := firstCallAfterOutage(t, settings, seed, o.failsAfter, recoversAt+policy.Time(seed)*7919%5_000_000)
		if at > policy.NotificationTimeout-callAllowance {
			t.Errorf("%s until %d us: seed %d called %d us after the end of the outage", o.name, recoversAt, seed, at)
		}
		callsByTenth[at/100_000]++
	}
	for at, n := range callsByTenth {
		if n > routers/4 && recoversAt > 1_000_000 {
			t.Errorf("%s until %d us: %d of %d first calls came in one tenth of a second, %d", o.name, recoversAt, n, routers, at)
		}
	}
}

// firstCallAfterOutage simulates a policy whose watches fail until the discovery service recovers, as does a
// call in flight at that moment. It returns the time from the recovery to the start of the first successful
// call.
func firstCallAfterOutage(t *testing.T, settings policy.Settings, seed uint64, failsAfter, recoversAt policy.Time) policy.Time {
	t.Helper()
	engine, err := policy.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	const started = policy.Time(1e9)
	timers := &timerHeap{}
	now, firstCallAt, sequence := started, policy.Time(-1), int64(0)
	schedule := func(at policy.Time, f func()) {
		sequence++
		heap.Push(timers, &timer{at: at, sequence: sequence, run: f})
	}
	var handle func(ev policy.Event)
	handle = func(ev policy.Event) {
		for _, a := range engine.Handle(now, ev) {
			switch a := a.(type) {
			case policy.SetTimer:
				schedule(a.At, func() { handle(&policy.TimerFired{Token: a.Token}) })
			case policy.Watch:
				if now >= started+recoversAt {
					firstCallAt = now
					return
				}
				schedule(now+failsAfter, func() { handle(&policy.EndpointsUpdate{Kind: policy.UpdateFailed}) })
			}
		}
	}
	handle(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: []policy.Endpoint{{ID: "c1", Weight: 1}}})
	for firstCallAt < 0 {
		next := heap.Pop(timers).(*timer)
		now = next.at
		next.run()
	}
	return firstCallAt - started - recoversAt
}
