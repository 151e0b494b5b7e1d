package scaletest

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// patience is how long a test waits for what has to come; only a failing test waits so long.
const patience = 30 * time.Second

func startCaches(t *testing.T, s CachesSpec) *Caches {
	t.Helper()
	c, err := StartCaches(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func startAgent(t *testing.T, addrs [][]string, views int) *Agent {
	t.Helper()
	a, err := StartAgent(addrs, views)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// ask calls discovery and returns the list, or nil where the answer is not one.
func ask(t *testing.T, a *Agent, view int, query string) *list {
	t.Helper()
	resp, err := http.Get("http://" + a.Addrs[view] + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	l, err := (&Fleet{}).parse(body)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestAgentTellsListsAndChanges(t *testing.T) {
	a := startAgent(t, [][]string{{"127.0.0.1:1", "127.0.0.1:2"}, {"127.0.0.1:3", "127.0.0.1:4"}, {"127.0.0.1:5", "127.0.0.1:6"}}, 2)
	want := func(view int, query string, whole bool, index int64, lines int) *list {
		t.Helper()
		l := ask(t, a, view, query)
		if l == nil || l.Snapshot != whole || l.Index != index || len(l.Entries) != lines {
			t.Fatalf("%q: got %+v, want whole %v, version %d, %d lines", query, l, whole, index, lines)
		}
		return l
	}
	for view, port := range []string{":3", ":4"} {
		if l := want(view, "", true, 1, 3); !strings.HasSuffix(l.Endpoints[1].Address, port) {
			t.Errorf("view %d is told %s", view, l.Endpoints[1].Address)
		}
	}
	want(0, "?after=1&wait_ms=1", false, 1, 0)
	told := make(chan *list, 1)
	go func() { told <- ask(t, a, 0, "?after=1&wait_ms=60000") }()
	a.Renew() // before or behind the call: it tells the same
	if l := <-told; l.Snapshot || l.Index != 2 || len(l.Entries) != 3 {
		t.Errorf("a watch was told %+v", l)
	}
	a.Set(1, "terminated", 0)
	if l := want(0, "?after=2&wait_ms=60000", false, 3, 1); l.Endpoints[0].Status != "terminated" {
		t.Errorf("a change: %+v", l.Endpoints)
	}
	want(0, "?after=1&wait_ms=60000", true, 3, 2)
	for _, bad := range []string{"?after=x&wait_ms=1", "?after=1", "?after=-1&wait_ms=1", "?after=1&wait_ms=-1"} {
		if l := ask(t, a, 1, bad); l != nil {
			t.Errorf("%q was answered", bad)
		}
	}
	if c := a.Count(); c[0].Calls != 5 || c[0].Lines != 3+0+3+1+2 || c[1].Calls != 5 || c[1].Lines != 3 || c[0].BytesOut <= c[1].BytesOut {
		t.Errorf("counts %+v", c)
	}
}

func TestAgentIsSilentWhileDown(t *testing.T) {
	a := startAgent(t, [][]string{{"127.0.0.1:1"}}, 1)
	a.SetDown(true)
	c := http.Client{Timeout: 50 * time.Millisecond}
	if resp, err := c.Get("http://" + a.Addrs[0] + "/discovery/hosts"); err == nil {
		t.Errorf("it said %s while down", resp.Status)
	}
	told := make(chan *list, 1)
	go func() { told <- ask(t, a, 0, "?after=1&wait_ms=0") }()
	a.SetDown(false)
	if l := <-told; l == nil || len(l.Entries) != 0 {
		t.Errorf("at its return it told %+v", l)
	}
}

func dialCache(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience))
	return nc
}

// exchange sends a command and returns the answer as it is on the wire.
func exchange(t *testing.T, nc net.Conn, msg []byte) redcon.RESP {
	t.Helper()
	if _, err := nc.Write(msg); err != nil {
		t.Fatal(err)
	}
	rep, err := readReply(nc, make([]byte, replySize))
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

func TestCachesAnswerAndCount(t *testing.T) {
	c := startCaches(t, CachesSpec{First: 249, Count: 2, Views: 2, MostConns: 2, Idle: time.Minute})
	if a, b := c.Addrs[0][0], c.Addrs[1][0]; !strings.HasPrefix(a, "127.77.0.250:") || !strings.HasPrefix(b, "127.77.1.1:") {
		t.Errorf("addresses %s and %s", a, b)
	}
	first, second := dialCache(t, c.Addrs[0][0]), dialCache(t, c.Addrs[0][1])
	bytes := 0
	for _, write := range []bool{false, true} {
		msg := requestOf(write, 1, 2, 1000)
		rep := exchange(t, first, msg)
		if bytes += len(msg) + len(rep.Raw); rep.Type != redcon.Array || rep.Count != 3 {
			t.Errorf("write %v: %q", write, rep.Raw)
		}
	}
	for _, nc := range []net.Conn{first, second} {
		if rep := exchange(t, nc, command("PING")); string(rep.Raw) != "+PONG\r\n" {
			t.Errorf("PING: %q", rep.Raw)
		}
	}
	if rep := exchange(t, second, command("C.GET", "k")); string(rep.Raw) != "-SYNTAX\r\n" {
		t.Errorf("half a command: %q", rep.Raw)
	}
	if n, err := dialCache(t, c.Addrs[0][0]).Read(make([]byte, 1)); err == nil {
		t.Errorf("one connection too many read %d bytes", n)
	}
	got := c.Count()
	if want := (CacheCount{Probes: 1, Attempts: 2, Handshakes: 1, TurnedAway: 1, ProbeBytes: 21, AttemptBytes: int64(bytes), Conns: 1}); got[0][0] != want {
		t.Errorf("first view %+v, want %+v", got[0][0], want)
	}
	if v := got[0][1]; v.Probes != 1 || v.Attempts != 1 || v.Handshakes != 1 || got[1][0] != (CacheCount{}) {
		t.Errorf("second view %+v, other cache %+v", v, got[1][0])
	}
	first.Close()
	second.Close()
	c.Wait()
	if n := c.Count()[0]; n[0].Conns+n[1].Conns != 0 {
		t.Errorf("connections that have ended count: %+v", n)
	}
}

func TestCacheClosesIdleConnections(t *testing.T) {
	c := startCaches(t, CachesSpec{Count: 1, Views: 1, MostConns: 1, Idle: time.Millisecond})
	if n, err := dialCache(t, c.Addrs[0][0]).Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// TestFleetIsCountedAlikeAtBothEnds: what hollow routers send, by their count, is what arrives.
func TestFleetIsCountedAlikeAtBothEnds(t *testing.T) {
	const caches, working, others, watching, renewals = 4, 3, 2, 2, 3
	c := startCaches(t, CachesSpec{Count: caches, Views: 1, MostConns: 1000, Idle: time.Minute})
	a := startAgent(t, c.Addrs, 1)
	listed := make(chan int64, 1000)
	f, err := StartFleet(FleetSpec{Working: []int{others, others, others}, Watching: watching, Rate: 2000, Requests: 300, Probes: 2 * caches,
		Open: []int{0, 2}, Sockets: 1024, Discovery: a.Addrs[0], Known: a.Known(0),
		Settings: Settings{Routers: working * (1 + others), Probes: true, DrainGrace: 20 * time.Millisecond, Dial: patience}.JSON(),
		Listed:   func(v int64) { listed <- v }})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	bytes := 0
	for v := int64(2); v < 2+renewals; v++ {
		a.Renew()
		bytes += len(a.changes[0].body) * (working + watching)
		for n := 0; n < working+watching; {
			select {
			case got := <-listed:
				if got == v { // else an answer without changes
					n++
				}
			case <-time.After(patience):
				t.Fatalf("version %d was not told to all", v)
			}
		}
	}
	select {
	case <-f.Done:
	case <-time.After(patience):
		t.Fatalf("the routers are not done: %+v", f.Count())
	}
	f.Drain()
	c.Wait()
	n, opened := f.Count(), CacheCount{}
	for i, views := range c.Count() {
		got, tally := views[0], n.Caches[i]
		if tally.Probes < working || tally.Attempts == 0 || tally.Handshakes == 0 || tally.Conns != 0 {
			t.Errorf("cache %d: tally %+v", i, tally)
		}
		if i%2 != 0 {
			if got != (CacheCount{}) {
				t.Errorf("cache %d is not to be opened and got %+v", i, got)
			}
			continue
		}
		want := CacheCount{Probes: tally.Probes * (1 + others), Attempts: tally.Attempts * (1 + others), Handshakes: tally.Handshakes * (1 + others)}
		if want.ProbeBytes, want.AttemptBytes = 21*want.Probes, got.AttemptBytes; got != want || got.AttemptBytes == 0 {
			t.Errorf("cache %d got %+v, want %+v", i, got, want)
		}
		want.ProbeBytes, want.AttemptBytes = 0, 0 // these are not counted at the fleet
		opened.add(want)
	}
	if opened != n.Sockets || n.Lost != 0 {
		t.Errorf("the caches got %+v, the fleet sent %+v and lost %d", opened, n.Sockets, n.Lost)
	}
	if n.Requests < 300*working || n.Served == 0 || n.Timers < n.Requests {
		t.Errorf("requests %d, served %d, timers %d", n.Requests, n.Served, n.Timers)
	}
	lists, lines := a.Count()[0], int64(caches*renewals*(working+watching))
	if lists.Lines != lines || n.Lines != lines || lists.BytesOut < n.BytesIn || n.BytesIn < int64(bytes) {
		t.Errorf("discovery told %d lines in %d bytes, the fleet got %d in %d; want %d in %d or more", lists.Lines, lists.BytesOut, n.Lines, n.BytesIn, lines, bytes)
	}
}

// TestClientsDoNotWaitForAnswers: all requests arrive at a router that answers none before the last.
func TestClientsDoNotWaitForAnswers(t *testing.T) {
	const requests = 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	arrived, all := make(chan struct{}, requests), make(chan struct{})
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				if cmd, err := redcon.NewReader(nc).ReadCommand(); err == nil && len(cmd.Args) >= 4 {
					arrived <- struct{}{}
					<-all
					fmt.Fprint(nc, "-BUSY 10\r\n")
				}
			}()
		}
	}()
	go func() {
		for range requests {
			<-arrived
		}
		close(all)
	}()
	c := NewClients(ln.Addr().String(), 5000)
	c.Run(context.Background(), requests)
	<-all
	if n := c.Take(); n.Due != requests || n.Refused+n.Failed != requests || n.Served != 0 {
		t.Errorf("%+v", n)
	}
}

func TestSlopes(t *testing.T) {
	var points []*Result
	for i, y := range []float64{3, 5, 7, 13} {
		r := &Result{Caches: i + 1, Routers: 10}
		r.add("router loaded", "probes", "1/s", y, measured)
		points = append(points, r)
	}
	for _, s := range Slopes(points) {
		if s.Over == "router" {
			t.Errorf("a slope over routers, whose number is always the same: %+v", s)
		}
		if s.Role != "router loaded" || s.Name != "probes" {
			continue
		}
		// By hand: 16/5, from -1; squares of what is left sum up to 4.8.
		if math.Abs(s.Slope-3.2) > 1e-9 || math.Abs(s.Intercept+1) > 1e-9 || math.Abs(s.Scatter-math.Sqrt(4.8/2/5)) > 1e-9 || s.Unit != "1/s" {
			t.Errorf("%+v", s)
		}
	}
	if s := Slopes(points[:2]); len(s) != 0 {
		t.Errorf("slopes of two points: %+v", s)
	}
}

func TestParts(t *testing.T) {
	sum := 0
	for i := range 28 {
		n := part(2772, 28, i)
		if sum += n; n != 99 {
			t.Errorf("part %d is %d", i, n)
		}
	}
	for i := range 3 {
		sum += part(10, 3, i)
	}
	if sum != 2782 {
		t.Errorf("the parts make %d", sum)
	}
}
