package router

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestReplyResults covers the rows of the protocol's table in which a reply arrives.
func TestReplyResults(t *testing.T) {
	for _, c := range []struct {
		wire   string
		result policy.Result
		miss   bool
	}{
		{servedReply, policy.Served, false},
		{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$-1\r\n", policy.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$7\r\npending\r\n$22\r\ninflight=7,util=0.61,x\r\n", policy.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", policy.Served, false},
		{"-ERR failed\r\n", policy.ServerError, false},
		{"-BUSY\r\n", policy.Rejected, false},
		{"-SYNTAX\r\n", policy.ServerError, false},
		{"*3\r\n$-1\r\n$-1\r\n$-1\r\n", policy.ServerError, false}, // a null value serves no request
		{"*1\r\n$5\r\nvalue\r\n", policy.ServerError, false},
		{"*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n", policy.ServerError, false},
		{"*4\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n", policy.ServerError, false},
		{"*3\r\n$5\r\nvalue\r\n:1\r\n$-1\r\n", policy.ServerError, false},
		{"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n*0\r\n", policy.ServerError, false},
	} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		q := r.newRequest(nil)
		r.sendAttempt(q, longTimeout)
		cmd := receive(t, cache.commands, "command")
		cmd.reply(t, c.wire)
		o := r.wantOutcome(c.result)
		if o.Miss != c.miss || o.Final != (c.result == policy.Served) {
			t.Errorf("%q: miss %v, final %v", c.wire, o.Miss, o.Final)
		}
		if c.result == policy.Served {
			if got := string(receive(t, q.slot.reply, "reply")); got != "$5\r\nvalue\r\n" {
				t.Errorf("%q: the client got %q", c.wire, got)
			}
		}
	}
}

// TestQueuedAttemptIsNotSentAfterFinalReply covers the check before the first byte is written.
func TestQueuedAttemptIsNotSentAfterFinalReply(t *testing.T) {
	for name, end := range map[string]func(*loopHarness, *request){
		"rejected":    func(r *loopHarness, q *request) { r.loop.perform(policy.Reject{ID: q.id}) },
		"failed":      func(r *loopHarness, q *request) { r.loop.perform(policy.Fail{ID: q.id}) },
		"cancelled":   func(r *loopHarness, q *request) { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"client gone": func(r *loopHarness, q *request) { r.loop.clientDisconnected(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			r, cache, busy := newHarnessWithExhaustedPool(t)
			q := r.newRequest(nil)
			r.sendAttempt(q, longTimeout)
			r.do(func() { end(r, q) })
			r.wantOutcome(policy.NotSent)
			wantNothingForwarded(t, r, cache, busy)
		})
	}
}

func TestQueuedAttemptIsNotSentAfterDeadline(t *testing.T) {
	r, cache, busy := newHarnessWithExhaustedPool(t)
	r.sendAttempt(r.newRequest(nil), time.Millisecond)
	r.wantOutcome(policy.NotSent)
	wantNothingForwarded(t, r, cache, busy)
}

func TestExhaustedPoolIsConnectFailed(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *config.Config) { c.Settings.Routers = 1000 })
	for range minConnsPerRouter {
		r.sendAttempt(r.newRequest(nil), longTimeout)
		receive(t, cache.commands, "command")
	}
	r.do(func() { r.loop.cfg.Transport.DialTimeout = 1000 })
	r.sendAttempt(r.newRequest(nil), longTimeout)
	r.wantOutcome(policy.ConnectFailed)
}

func TestCloseAfterWriteIsConnectionLost(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").conn.Close()
	r.wantOutcome(policy.ConnectionLost)
}

func TestCloseOfReusedConnectionIsConnectionLost(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	second := receive(t, cache.commands, "command")
	if second.conn != first.conn {
		t.Error("the idle connection was not reused")
	}
	second.conn.Close()
	r.wantOutcome(policy.ConnectionLost)
}

func TestResetDuringWriteIsConnectFailed(t *testing.T) {
	addr, conns := nonReadingCache(t)
	r := newLoopHarness(t, addr, nil)
	r.allowSlowWrites()
	r.sendAttempt(largeRequest(r), longTimeout)
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	nc.Close() // with bytes unread: a reset
	r.wantOutcome(policy.ConnectFailed)
}

func TestCancelDuringWriteIsNotSent(t *testing.T) {
	addr, conns := nonReadingCache(t)
	r := newLoopHarness(t, addr, nil)
	r.allowSlowWrites()
	q := largeRequest(r)
	r.sendAttempt(q, longTimeout)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	r.do(func() { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) })
	r.wantOutcome(policy.NotSent)
}

func TestMissingReplyIsTimedOut(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), 3*time.Second)
	receive(t, cache.commands, "command")
	r.wantOutcome(policy.TimedOut)
	receive(t, cache.closed, "end of the connection")
}

func TestCancelAfterWriteClosesConnection(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	q := r.newRequest(nil)
	r.sendAttempt(q, longTimeout)
	receive(t, cache.commands, "command")
	r.do(func() { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) })
	r.wantOutcome(policy.Cancelled)
	receive(t, cache.closed, "end of the connection")
}

// TestMalformedReplies: a faulty server neither ends the router nor keeps it waiting.
func TestMalformedReplies(t *testing.T) {
	for _, wire := range []string{"garbage\r\n", "$-5\r\n", "$9223372036854775807\r\n", "*9223372036854775807\r\n",
		"*3\r\n$5\r\nvalueXX$3\r\nhit\r\n", "*1\r\n$x\r\n", "*-7\r\n", "$3\r\nabcdef\r\n",
		"+" + strings.Repeat("x", 4*resp.MaxLineLength), "*2\r\n$1\r\na\r\n!\r\n", servedReply + "trailing"} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		r.sendAttempt(r.newRequest(nil), longTimeout)
		receive(t, cache.commands, "command").reply(t, wire)
		if strings.HasPrefix(wire, servedReply) {
			r.wantOutcome(policy.Served)
			receive(t, cache.closed, "end of the connection that is out of step")
		} else if o := receive(t, r.outcomes, "outcome"); o.Result.NeverRan() || o.Result == policy.Served || o.Result == policy.TimedOut {
			t.Errorf("%.40q: outcome %d", wire, o.Result)
		}
	}
}

func TestFragmentedReply(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	value := strings.Repeat("v", resp.MaxValueSize)
	q := r.newRequest(nil)
	r.sendAttempt(q, longTimeout)
	cmd := receive(t, cache.commands, "command")
	for _, part := range []string{"*", "3\r", "\n$6553", "6\r\n" + value[:1000], value[1000:], "\r", "\n$3\r\nhit", "\r\n$-1\r\n"} {
		cmd.reply(t, part)
	}
	r.wantOutcome(policy.Served)
	if got := receive(t, q.slot.reply, "reply"); string(got) != "$65536\r\n"+value+"\r\n" {
		t.Errorf("the client got %d bytes", len(got))
	}
}

// TestForwardedCommand: everything but the timeout is forwarded as it arrived.
func TestForwardedCommand(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	cmd, err := resp.ParseCommand([][]byte{[]byte("C.SET"), []byte("key"), []byte("id"),
		[]byte("c=put,t=acme,d=20000,k=5c0f,size=12"), []byte("\x00\r\nVALUE")}, 100)
	if err != nil {
		t.Fatal(err)
	}
	r.sendAttempt(r.acceptCommand(cmd), 10*time.Second)
	got := receive(t, cache.commands, "command").args
	if got[0] != "C.SET" || got[1] != "key" || got[2] != "id" || got[4] != "\x00\r\nVALUE" {
		t.Errorf("the server was sent %q", got)
	}
	meta := strings.Split(got[3], ",")
	d, err := strconv.Atoi(strings.TrimPrefix(meta[2], "d="))
	meta[2] = "d"
	if strings.Join(meta, ",") != "c=put,t=acme,d,k=5c0f,size=12" || err != nil || d < 1 || d > 10_000 {
		t.Errorf("options %q", got[3])
	}
}

// TestFinalReplyStopsPartialWrite: no more of the attempt is written, and it was not executed.
func TestFinalReplyStopsPartialWrite(t *testing.T) {
	addr, conns := nonReadingCache(t)
	r := newLoopHarness(t, addr, nil)
	r.allowSlowWrites()
	q := largeRequest(r)
	r.sendAttempt(q, longTimeout)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.do(func() { r.loop.perform(policy.Reject{ID: q.id}) })
	r.wantOutcome(policy.NotSent)
	if got := string(receive(t, q.slot.reply, "reply")); got != resp.BusyReply {
		t.Errorf("the client got %q", got)
	}
}

// TestAddressChange: connections to a server's old address are not used for new requests.
func TestAddressChange(t *testing.T) {
	old, moved := newFakeCache(t), newFakeCache(t)
	r := newLoopHarness(t, old.addr(), nil)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	cmd := receive(t, old.commands, "command")
	r.do(func() {
		h, err := discovery.ParseEndpointList([]byte(endpointListJSON(2, false, endpointJSON("c1", moved.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.Kind())
	})
	cmd.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, moved.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestClientTimeoutIsBounded by the longest timeout in the settings.
func TestClientTimeoutIsBounded(t *testing.T) {
	r := newLoopHarness(t, "127.0.0.1:1", nil)
	cmd, err := resp.ParseCommand([][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte("c=read,d=2000000000")}, 60)
	if err != nil {
		t.Fatal(err)
	}
	q := r.acceptCommand(cmd)
	r.do(func() {
		if q.deadline > r.loop.now+20_000_000 {
			t.Errorf("deadline %d at %d", q.deadline, r.loop.now)
		}
	})
}

// TestDescriptorShortageIsNotSent: a server has not failed if the router had no descriptor left to dial it with.
func TestDescriptorShortageIsNotSent(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() {
		r.loop.descriptors.maxUpstreamConns = 1
		h, err := discovery.ParseEndpointList([]byte(endpointListJSON(2, false, endpointJSON("c2", cache.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.Kind())
	})
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command")
	q := r.newRequest(nil)
	r.do(func() {
		r.loop.cfg.Transport.DialTimeout = 1000
		r.loop.perform(policy.Send{ID: q.id, Cache: "c2", Deadline: q.deadline})
	})
	r.wantOutcome(policy.NotSent)
}

// TestRemovedServersAreForgotten, so that memory doesn't grow with every server there ever was.
func TestRemovedServersAreForgotten(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() {
		for i := range 100 {
			h, err := discovery.ParseEndpointList([]byte(endpointListJSON(i+2, true, endpointJSON("c1", cache.addr(), "in_service"),
				endpointJSON(fmt.Sprint("new", i), cache.addr(), "in_service"))))
			if err != nil {
				t.Error(err)
			}
			r.loop.applyEndpoints(h, h.Kind())
			r.loop.sweepIdle()
		}
		if n := len(r.loop.pools); n != 2 {
			t.Errorf("%d pools for 2 servers on the list", n)
		}
	})
	r.sendAttempt(r.newRequest(nil), longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestHealthCheckResults checks that only the reply to PING passes a health check: a value is the
// reply to some request.
func TestHealthCheckResults(t *testing.T) {
	for wire, want := range map[string]policy.Result{
		resp.PongReply: policy.Served,
		servedReply:    policy.ServerError,
		"+OK\r\n":      policy.ServerError,
		"-ERR no\r\n":  policy.ServerError,
		resp.BusyReply: policy.Rejected,
	} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		engine := &healthCheckEngine{results: make(chan policy.Result, 1)}
		r.do(func() {
			r.loop.engine = engine
			r.loop.perform(policy.HealthCheck{Cache: "c1"})
		})
		receive(t, cache.commands, "PING").reply(t, wire)
		if got := receive(t, engine.results, "result"); got != want {
			t.Errorf("%q: result %d, want %d", wire, got, want)
		}
	}
}

// healthCheckEngine records the results of health checks.
type healthCheckEngine struct{ results chan policy.Result }

func (e *healthCheckEngine) Handle(_ policy.Time, ev policy.Event) []policy.Action {
	if done, ok := ev.(*policy.HealthCheckDone); ok {
		e.results <- done.Result
	}
	return nil
}

// TestReplyOfWrongKindEndsConnection checks that a connection is not used any more after a reply that
// can't belong to its command: the proper one may still come, and would be taken for the next one's.
func TestReplyOfWrongKindEndsConnection(t *testing.T) {
	for _, wire := range []string{resp.PongReply, "$5\r\nvalue\r\n", ":1\r\n", "*0\r\n", "*1\r\n$5\r\nvalue\r\n"} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		r.do(func() { r.loop.settleTime = 0 })
		r.sendAttempt(r.newRequest(nil), longTimeout)
		first := receive(t, cache.commands, "command")
		first.reply(t, wire)
		r.wantOutcome(policy.ServerError)
		next := r.newRequest(nil)
		r.sendAttempt(next, longTimeout)
		second := receive(t, cache.commands, "next command")
		first.tryReply(otherServedReply)
		if second.conn == first.conn {
			t.Errorf("%q: the connection is used again", wire)
			continue
		}
		second.reply(t, servedReply)
		r.wantOutcome(policy.Served)
		if got := string(receive(t, next.slot.reply, "reply")); got != "$5\r\nvalue\r\n" {
			t.Errorf("%q: the next client got %q", wire, got)
		}
	}
}
