package router

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestRetryIsWrittenWithinStartWindow: a server begins a command at its last byte, so a retry that has not been
// completely written by the end of its start window is abandoned.
func TestRetryIsWrittenWithinStartWindow(t *testing.T) {
	addr, conns := nonReadingCache(t)
	r := newLoopHarness(t, addr, nil)
	r.allowSlowWrites()
	q := largeRequest(r)
	r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + 1_000_000}) })
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	if o := r.wantOutcome(policy.NotSent); o.Elapsed < 1_000_000 || o.Elapsed >= 10_000_000 {
		t.Errorf("abandoned after %d us, with a window of 1 s", o.Elapsed)
	}
	if n, _ := io.Copy(io.Discard, nc); n >= 64<<20 {
		t.Errorf("%d bytes were written", n)
	}
}

// TestRetryReplyAfterStartWindow: the reply to a retry that was written within its start window may come later.
func TestRetryReplyAfterStartWindow(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	q := r.newRequest([]byte("v"))
	r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + 1_000_000}) })
	cmd := receive(t, cache.commands, "command")
	waitUntil(t, "the end of the window", func() (over bool) {
		r.do(func() {
			over = r.loop.now > q.attempts[0].startBefore && r.loop.timers[0].at > q.attempts[0].startBefore
		})
		return over
	})
	cmd.reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestRetryIsNotSentAfterStartWindow: a retry without a connection ends with its start window, however short, and
// nothing of it is written later.
func TestRetryIsNotSentAfterStartWindow(t *testing.T) {
	for _, window := range []policy.Time{300_000, 1_000_000} {
		addr, accept := slowAcceptServer(t)
		r := newLoopHarness(t, addr, nil)
		q := r.newRequest([]byte("v"))
		r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + window}) })
		if o := r.wantOutcome(policy.NotSent); o.Elapsed < window || o.Elapsed >= 10_000_000 {
			t.Errorf("ended after %d us, with a window of %d", o.Elapsed, window)
		}
		q = r.newRequest(nil)
		r.do(func() { q.command.Args[resp.IDArgument] = []byte("last") })
		r.sendAttempt(q, longTimeout)
		cmd := receive(t, accept().commands, "command")
		if cmd.args[2] != "last" {
			t.Errorf("the server was sent %q", cmd.args)
		}
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
}

// TestDispatchReadsTheClock: the end of the start window or the deadline may pass during an iteration of the loop that
// takes long, as on a stalled machine. The server is sent the timeout that is left.
func TestDispatchReadsTheClock(t *testing.T) {
	for name, send := range map[string]func(r *loopHarness) policy.Send{
		"start window": func(r *loopHarness) policy.Send { return policy.Send{StartBefore: r.loop.now + 10_000} },
		"deadline":     func(r *loopHarness) policy.Send { return policy.Send{Deadline: r.loop.now + 10_000} },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newLoopHarness(t, cache.addr(), nil)
			r.do(func() { r.loop.settleTime = 0 })
			r.sendAttempt(r.newRequest(nil), longTimeout)
			receive(t, cache.commands, "command").reply(t, servedReply)
			r.wantOutcome(policy.Served)
			q := r.newRequest([]byte("v"))
			r.do(func() {
				s := send(r)
				s.ID, s.Cache = q.id, "c1"
				late := r.loop.now + 20_000
				waitUntil(t, "a long iteration", func() bool { return r.loop.clock() > late })
				r.loop.perform(s)
			})
			r.wantOutcome(policy.NotSent)
		})
	}
	t.Run("forwarded timeout", func(t *testing.T) {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		r.do(func() { r.loop.settleTime = 0 })
		r.sendAttempt(r.newRequest(nil), longTimeout)
		receive(t, cache.commands, "command").reply(t, servedReply)
		r.wantOutcome(policy.Served)
		q := r.newRequest(nil)
		r.do(func() {
			late := r.loop.now + 500_000
			waitUntil(t, "a long iteration", func() bool { return r.loop.clock() > late })
			r.loop.perform(policy.Send{ID: q.id, Cache: "c1", Deadline: late + 5_000_000})
		})
		cmd := receive(t, cache.commands, "command")
		if d, err := strconv.Atoi(strings.TrimPrefix(cmd.args[3], "c=read,d=")); err != nil || d > 5000 {
			t.Errorf("forwarded %q, with less than 5 s left", cmd.args[3])
		}
	})
}

// TestKeyedWriteIsNotRetriedAfterKeyTTL: a write with an idempotency key that may have been executed is retried only
// while its key is valid.
func TestKeyedWriteIsNotRetriedAfterKeyTTL(t *testing.T) {
	for _, keyTTL := range []time.Duration{300 * time.Millisecond, time.Second} {
		cache := newFakeCache(t)
		r := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
			for _, class := range in["settings"].(map[string]any)["categories"].([]any) {
				class.(map[string]any)["keyTtl"] = keyTTL.Microseconds()
			}
		}, endpointJSON("c1", cache.addr(), "in_service"), endpointJSON("c2", cache.addr(), "in_service")))
		c := dial(t, r.addr)
		c.send(encodeCommand("C.SET", "k1", "r1", "c=put,k=ab12,d=20000", "v"))
		first := receive(t, cache.commands, "command")
		over := time.Now().Add(keyTTL)
		waitUntil(t, "the end of the key TTL", func() bool { return time.Now().After(over) })
		first.conn.Close()
		if got := c.readLine(); !strings.HasPrefix(got, "-") {
			t.Errorf("key TTL %v: reply %q", keyTTL, got)
		}
		if len(cache.commands) > 0 {
			t.Errorf("key TTL %v: it was retried", keyTTL)
		}
	}
}
