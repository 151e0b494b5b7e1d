package router

import (
	"bufio"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marlstage/policy"
)

// answers is a discovery that hands each call to the test.
type call struct {
	query string
	reply chan string // a body, or empty for 503
}

func newFakeDiscovery(t *testing.T) (addr string, calls chan call) {
	t.Helper()
	calls = make(chan call)
	addr = serveHTTP(t, func(w http.ResponseWriter, r *http.Request, over <-chan struct{}) {
		c := call{r.URL.String(), make(chan string, 1)}
		select {
		case calls <- c:
		case <-over:
			return
		}
		select {
		case body := <-c.reply:
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprint(w, body)
		case <-over:
		case <-r.Context().Done():
		}
	})
	return addr, calls
}

// TestWatchGoesOn: each answer is followed by a call for what comes after it, and
// what it tells takes effect.
func TestWatchGoesOn(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	r := startRouter(t, testConfig(t, addr, nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	first := receive(t, calls, "call")
	if want := "/discovery/hosts?after=1&wait_ms=3000"; first.query != want {
		t.Errorf("call %s, want %s", first.query, want)
	}
	first.reply <- endpointListJSON(7, false, endpointJSON("c1", cache.addr(), "in_service"))
	second := receive(t, calls, "call")
	if want := "/discovery/hosts?after=7&wait_ms=3000"; second.query != want {
		t.Errorf("call %s, want %s", second.query, want)
	}
	c := dial(t, r.addr)
	c.send(getCommand("r1"))
	receive(t, cache.commands, "command").reply(t, servedReply)
	c.wantLine("value")
	second.reply <- endpointListJSON(9, true) // a whole list without the cache: it is gone
	receive(t, calls, "call")
	receive(t, cache.closed, "end of the idle connection")
	c.send(getCommand("r2"))
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestWatchWithoutAKnownList asks for the whole list first.
func TestWatchWithoutAKnownList(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	startRouter(t, testConfig(t, addr, func(in map[string]any) { delete(in, "known") }))
	if c := receive(t, calls, "call"); c.query != "/discovery/hosts" {
		t.Errorf("call %s", c.query)
	}
}

// TestBadAnswersAreFailedCalls: the module hears of each as of a call that failed.
func TestBadAnswersAreFailedCalls(t *testing.T) {
	good := endpointJSON("c1", "127.0.0.1:1", "in_service")
	for _, body := range []string{"", "not JSON", "{}", `{"index":5}`, `{"index":-5,"snapshot":true,"endpoints":[]}`,
		endpointListJSON(3, false), // older than what is known
		endpointListJSON(9, true, good, good),
		endpointListJSON(9, true, endpointJSON("", "127.0.0.1:1", "in_service")),
		endpointListJSON(9, true, endpointJSON("c2", "example.org:1", "in_service")),
		endpointListJSON(9, true, endpointJSON("c2", "", "in_service")),
		endpointListJSON(9, true, endpointJSON("c2", "127.0.0.1:1", "odd")),
		endpointListJSON(9, true, strings.Replace(good, `"weight":1`, `"weight":-1`, 1)),
		endpointListJSON(9, true, strings.Replace(good, `"since_ms":0`, `"since_ms":-1`, 1)),
	} {
		addr, calls := newFakeDiscovery(t)
		told := make(chan hostList, 1)
		failed := make(chan error, 1)
		go func() {
			failed <- newDiscovery(testConfig(t, addr, nil)).watch(context.Background(), 5, func(h hostList) { told <- h })
		}()
		receive(t, calls, "call").reply <- body
		select {
		case err := <-failed:
			if err == nil {
				t.Errorf("%q: no error", body)
			}
		case h := <-told:
			t.Errorf("%q was taken: %+v", body, h)
		}
	}
}

// TestFailedWatchIsAskedForAgain at the module's own pace.
func TestFailedWatchIsAskedForAgain(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	startRouter(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = 1_000_000
	}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	receive(t, calls, "call").reply <- ""
	if c := receive(t, calls, "second call"); !strings.Contains(c.query, "after=1&") {
		t.Errorf("call %s", c.query)
	}
}

// TestAutomaticListIsWatched: where changes come to the module by themselves, the router calls for
// them unasked, goes on after a failed call, and a drain that it hears of ends new work there.
func TestAutomaticListIsWatched(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	r := startRouter(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["discovery"] = "automatic"
	}, endpointJSON("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(getCommand("r1"))
	receive(t, cache.commands, "command").reply(t, servedReply)
	c.wantLine("value")
	receive(t, calls, "call").reply <- "" // fails
	receive(t, calls, "call after a failure").reply <- endpointListJSON(2, false, endpointJSON("c1", cache.addr(), "terminating"))
	receive(t, calls, "next call") // so the router has heard of the drain
	c.send(getCommand("r2"))
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestMovedDiscovery: the watch goes on at the new address, from the version known where lists have to be asked
// for and with the whole list where they cost nothing, and what the old one still has to say is not taken.
func TestMovedDiscovery(t *testing.T) {
	for mode, want := range map[string]string{"subscribe": "/discovery/hosts?after=1&wait_ms=3000", "automatic": "/discovery/hosts"} {
		cache := newFakeCache(t)
		old, oldCalls := newFakeDiscovery(t)
		moved, calls := newFakeDiscovery(t)
		r := startRouter(t, testConfig(t, old, func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode },
			endpointJSON("c1", cache.addr(), "in_service")))
		last := receive(t, oldCalls, "call")
		r.srv.MoveDiscovery("127.0.0.1:1")
		r.srv.MoveDiscovery(moved) // a second signal before the first has led anywhere
		first := receive(t, calls, "call at the new address")
		if first.query != want {
			t.Errorf("%s: call %s, want %s", mode, first.query, want)
		}
		last.reply <- endpointListJSON(5, true)
		first.reply <- endpointListJSON(2, mode == "automatic", endpointJSON("c1", cache.addr(), "in_service"), endpointJSON("c2", "127.0.0.1:1", "terminating"))
		if c := receive(t, calls, "next call"); !strings.Contains(c.query, "after=2&") {
			t.Errorf("%s: call %s", mode, c.query)
		}
		c := dial(t, r.addr)
		c.send(getCommand("r1"))
		receive(t, cache.commands, "command").reply(t, servedReply)
		c.wantLine("value")
	}
}

func TestParseHosts(t *testing.T) {
	h, err := parseHosts([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s1","address":"127.0.0.1:6379","zone":"z","group":3,"status":"terminating","weight":2.5,"since_ms":17},
		{"name":"s2","address":"","zone":"z","group":3,"status":"terminated"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Endpoint{{ID: "s1", Zone: "z", Group: 3, Weight: 2.5, StartedAt: 17000, State: policy.Draining},
		{ID: "s2", Zone: "z", Group: 3, Weight: 1, State: policy.Removed}}
	if h.index != 43 || h.kind() != policy.UpdateDelta || len(h.entries) != 2 || h.entries[0] != want[0] || h.entries[1] != want[1] {
		t.Errorf("got %+v", h)
	}
}

// TestLongListIsTakenTooLongIsNot at the smallest memory: 1,024 caches with the longest names are read, and
// an answer that memory has no room for is a failed call.
func TestLongListIsTakenTooLongIsNot(t *testing.T) {
	for _, n := range []int{1024, 20 * 1024} {
		var lines []string
		for i := range n {
			lines = append(lines, endpointJSON(fmt.Sprintf("%0*d", maxNameLength, i), "127.123.123.123:65535", "in_service"))
		}
		addr, calls := newFakeDiscovery(t)
		told, failed := make(chan hostList, 1), make(chan error, 1)
		small := testConfig(t, addr, nil)
		small.Limits.MemoryMB = 32
		go func() {
			failed <- newDiscovery(small).watch(context.Background(), 5, func(h hostList) { told <- h })
		}()
		receive(t, calls, "call").reply <- endpointListJSON(9, true, lines...)
		select {
		case err := <-failed:
			if n == 1024 || !strings.Contains(err.Error(), "too long") {
				t.Errorf("%d caches: %v", n, err)
			}
		case h := <-told:
			if n > 1024 || len(h.entries) != n {
				t.Errorf("%d caches: %d taken", n, len(h.entries))
			}
		}
	}
}

// TestWaitsBetweenWatchesGrow and differ, up to a bound, until something is told again.
func TestWaitsBetweenWatchesGrow(t *testing.T) {
	r := newLoopHarness(t, newFakeCache(t).addr(), nil)
	r.do(func() {
		waits := map[policy.Time]bool{}
		for round := range 20 {
			r.loop.failedWatches = 0
			for i := range 8 {
				// ... which ends within the drain grace: what discovery tells at its return counts at once
				most := min(policy.Time(watchBackoffBase)<<min(i, maxWatchDoublings), r.loop.cfg.Settings.DrainGrace/2)
				wait := r.loop.watchBackoff()
				if waits[wait] = true; wait < most/2 || wait > most {
					t.Errorf("wait %d of round %d is %d us, want %d to %d", i, round, wait, most/2, most)
				}
			}
		}
		if len(waits) < 20*8/2 {
			t.Errorf("only %d of %d waits differ", len(waits), 20*8)
		}
		h := hostList{index: 5}
		if r.loop.applyEndpoints(h, h.kind()); r.loop.watchBackoff() > watchBackoffBase {
			t.Error("after an answer the wait is still a long one")
		}
		r.loop.failedWatches, r.loop.cfg.Settings.DrainGrace = maxWatchDoublings, 10*watchBackoffBase<<maxWatchDoublings
		if wait := r.loop.watchBackoff(); wait < watchBackoffBase<<maxWatchDoublings/2 {
			t.Errorf("with a long drain grace the longest wait is %d", wait)
		}
	})
}

// TestOutOfStepListIsAskedForWhole: changes that do not follow what is known, a version that went back and one
// that discovery has never heard of lead to a call for all of it, not to the same call for ever.
func TestOutOfStepListIsAskedForWhole(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		addr, calls := newFakeDiscovery(t)
		cache := newFakeCache(t)
		r := startRouter(t, testConfig(t, addr, func(in map[string]any) {
			settings := in["settings"].(map[string]any)
			settings["discovery"] = mode
			settings["rules"].(map[string]any)["askEvery"] = 1_000_000
		}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
		receive(t, calls, "call").reply <- endpointListJSON(9, false)
		if c := receive(t, calls, "call"); !strings.Contains(c.query, "after=9&") {
			t.Errorf("%s: call %s", mode, c.query)
		} else {
			c.reply <- endpointListJSON(4, false) // it has begun anew
		}
		whole := receive(t, calls, "call for all")
		if whole.query != "/discovery/hosts" {
			t.Errorf("%s: call %s", mode, whole.query)
		}
		whole.reply <- endpointListJSON(5, true, endpointJSON("c1", cache.addr(), "in_service"))
		if c := receive(t, calls, "call"); !strings.Contains(c.query, "after=5&") {
			t.Errorf("%s: call %s", mode, c.query)
		}
		c := dial(t, r.addr)
		c.send(getCommand("r1"))
		receive(t, cache.commands, "command").reply(t, servedReply)
		c.wantLine("value")
	}
}

// TestUnknownVersionIsOutOfStep, and an overbooked discovery is not.
func TestUnknownVersionIsOutOfStep(t *testing.T) {
	for status, want := range map[int]bool{http.StatusGone: true, http.StatusBadRequest: true, http.StatusServiceUnavailable: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		defer srv.Close()
		_, err := newDiscovery(testConfig(t, srv.Listener.Addr().String(), nil)).call(context.Background(), 5)
		if got := errors.Is(err, errOutOfStep); err == nil || got != want {
			t.Errorf("%d: %v", status, err)
		}
	}
}

// TestSilentWatchEnds before its answer and at any place within.
func TestSilentWatchEnds(t *testing.T) {
	body := endpointListJSON(9, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, sent := range []int{0, 12, len(whole) - len(body), len(whole) - 1} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
				return // given up before it was whole
			}
			io.WriteString(nc, whole[:sent])
			io.Copy(io.Discard, nc)
		}()
		d := newDiscovery(testConfig(t, ln.Addr().String(), nil))
		d.wait = -replyAllowance + 50*time.Millisecond
		failed := make(chan error, 1)
		go func() {
			_, err := d.call(context.Background(), 5)
			failed <- err
		}()
		if err := receive(t, failed, "end of the silent watch"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%d bytes: %v", sent, err)
		}
	}
}

// TestSilentWatchIsOpenedAnewInTime: what it misses counts as told 6 s after it fell silent, however long it was
// to wait; by then another watch has to be open, behind the longest pause after one failure.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode })
		d := newDiscovery(cfg)
		pause := time.Duration(watchBackoffBase) * time.Microsecond
		told := time.Duration(policy.NotificationDeadline) * time.Microsecond
		if mode == "subscribe" {
			pause = time.Duration(cfg.Settings.DrainGrace) * time.Microsecond // the module's at most
		}
		if again := d.wait + replyAllowance + pause; again >= told {
			t.Errorf("%s: the next watch is open %v after one that falls silent at once, and is told by %v", mode, again, told)
		}
	}
}

// outage is what discovery does with calls while it is down.
type outage struct {
	name string
	took policy.Time // until a call has failed
}

// TestFirstCallAfterAnOutageIsInTime: whatever became of the calls before, the first one that meets discovery
// back, at whatever moment, is begun early enough to be answered within the time after which changes count as
// told; and the calls of many routers are spread.
func TestFirstCallAfterAnOutageIsInTime(t *testing.T) {
	silence := (polledWatchWait + replyAllowance).Microseconds()
	const room, routers = 500_000, 200 // microseconds that the call may take; seeds
	for _, down := range []outage{{"refusal", 100}, {"silence", silence}, {"lost packets", replyAllowance.Microseconds()}, {"503", 5000}} {
		for _, back := range []policy.Time{1_000_000, 25_000_000, 40_000_000} {
			first := map[policy.Time]int{}
			for seed := range uint64(routers) {
				set := testConfig(t, "127.0.0.1:1", nil).Settings
				set.PollInterval, set.DrainGrace = 10_000_000, 1_500_000
				at := firstCall(t, set, seed, down.took, back+policy.Time(seed)*7919%5_000_000)
				if at > policy.NotificationDeadline-room {
					t.Errorf("%s until %d us: seed %d called %d us after discovery's return", down.name, back, seed, at)
				}
				first[at/100_000]++
			}
			for at, n := range first {
				if n > routers/4 && back > 1_000_000 {
					t.Errorf("%s until %d us: %d of %d first calls came in one tenth of a second, %d", down.name, back, n, routers, at)
				}
			}
		}
	}
}

// firstCall plays a module whose calls for the list fail until discovery is back, a call under way at that moment
// too. It returns how long after that the first call is begun that finds it back.
func firstCall(t *testing.T, set policy.Settings, seed uint64, took, back policy.Time) policy.Time {
	t.Helper()
	m, err := policy.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	const started = policy.Time(1e9)
	timers := &timerHeap{}
	now, called, seq := started, policy.Time(-1), int64(0)
	at := func(t policy.Time, f func()) {
		seq++
		heap.Push(timers, timer{t, seq, f})
	}
	var feed func(ev policy.Event)
	feed = func(ev policy.Event) {
		for _, a := range m.Handle(now, ev) {
			switch a := a.(type) {
			case policy.SetTimer:
				at(a.At, func() { feed(&policy.TimerFired{Token: a.Token}) })
			case policy.Watch:
				if now >= started+back {
					called = now
					return
				}
				at(now+took, func() { feed(&policy.EndpointsUpdate{Kind: policy.UpdateFailed}) })
			}
		}
	}
	feed(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: []policy.Endpoint{{ID: "c1", Weight: 1}}})
	for called < 0 {
		next := heap.Pop(timers).(timer)
		now = next.at
		next.run()
	}
	return called - started - back
}
