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

// TestRetryIsWrittenWithinStartWindow checks that a retry that has not been written completely by the end of
// its start window is abandoned. A cache begins to execute a command at its last byte.
func TestRetryIsWrittenWithinStartWindow(t *testing.T) {
	addr, conns := nonReadingCache(t)
	harness := newLoopHarness(t, addr, nil)
	harness.allowSlowWrites()
	req := largeRequest(harness)
	harness.do(func() {
		harness.loop.perform(policy.Send{ID: req.id, Cache: "c1", StartBefore: harness.loop.now + 1_000_000})
	})
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	if o := harness.wantOutcome(policy.NotSent); o.Elapsed < 1_000_000 || o.Elapsed >= 10_000_000 {
		t.Errorf("abandoned after %d us, with a window of 1 s", o.Elapsed)
	}
	if n, _ := io.Copy(io.Discard, nc); n >= 64<<20 {
		t.Errorf("%d bytes were written", n)
	}
}

// TestRetryReplyAfterStartWindow checks that the reply to a retry that was written within its start window
// may arrive after the window.
func TestRetryReplyAfterStartWindow(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	req := harness.newRequest([]byte("v"))
	harness.do(func() {
		harness.loop.perform(policy.Send{ID: req.id, Cache: "c1", StartBefore: harness.loop.now + 1_000_000})
	})
	cmd := receive(t, cache.commands, "command")
	waitUntil(t, "the end of the window", func() (passed bool) {
		harness.do(func() {
			passed = harness.loop.now > req.attempts[0].startBefore && harness.loop.timers[0].at > req.attempts[0].startBefore
		})
		return passed
	})
	cmd.reply(t, servedReply)
	harness.wantOutcome(policy.Served)
}

// TestRetryIsNotSentAfterStartWindow checks that a retry that has no connection ends with its start window,
// however short that is, and that nothing of it is written later.
func TestRetryIsNotSentAfterStartWindow(t *testing.T) {
	for _, window := range []policy.Time{300_000, 1_000_000} {
		addr, accept := slowAcceptServer(t)
		harness := newLoopHarness(t, addr, nil)
		req := harness.newRequest([]byte("v"))
		harness.do(func() {
			harness.loop.perform(policy.Send{ID: req.id, Cache: "c1", StartBefore: harness.loop.now + window})
		})
		if o := harness.wantOutcome(policy.NotSent); o.Elapsed < window || o.Elapsed >= 10_000_000 {
			t.Errorf("ended after %d us, with a window of %d", o.Elapsed, window)
		}
		req = harness.newRequest(nil)
		harness.do(func() { req.command.Args[resp.IDArgument] = []byte("last") })
		harness.sendAttempt(req, longTimeout)
		cmd := receive(t, accept().commands, "command")
		if cmd.args[2] != "last" {
			t.Errorf("the cache was sent %q", cmd.args)
		}
		cmd.reply(t, servedReply)
		harness.wantOutcome(policy.Served)
	}
}

// TestDispatchReadsTheClock checks that an attempt is not sent if its start window or deadline passes during
// a long iteration of the loop, as on a stalled machine, and that the timeout sent to the cache is the
// remaining one.
func TestDispatchReadsTheClock(t *testing.T) {
	for name, send := range map[string]func(harness *loopHarness) policy.Send{
		"start window": func(harness *loopHarness) policy.Send { return policy.Send{StartBefore: harness.loop.now + 10_000} },
		"deadline":     func(harness *loopHarness) policy.Send { return policy.Send{Deadline: harness.loop.now + 10_000} },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			harness := newLoopHarness(t, cache.addr(), nil)
			harness.do(func() { harness.loop.settleTime = 0 })
			harness.sendAttempt(harness.newRequest(nil), longTimeout)
			receive(t, cache.commands, "command").reply(t, servedReply)
			harness.wantOutcome(policy.Served)
			req := harness.newRequest([]byte("v"))
			harness.do(func() {
				s := send(harness)
				s.ID, s.Cache = req.id, "c1"
				late := harness.loop.now + 20_000
				waitUntil(t, "a long iteration", func() bool { return harness.loop.clock() > late })
				harness.loop.perform(s)
			})
			harness.wantOutcome(policy.NotSent)
		})
	}
	t.Run("forwarded timeout", func(t *testing.T) {
		cache := newFakeCache(t)
		harness := newLoopHarness(t, cache.addr(), nil)
		harness.do(func() { harness.loop.settleTime = 0 })
		harness.sendAttempt(harness.newRequest(nil), longTimeout)
		receive(t, cache.commands, "command").reply(t, servedReply)
		harness.wantOutcome(policy.Served)
		req := harness.newRequest(nil)
		harness.do(func() {
			late := harness.loop.now + 500_000
			waitUntil(t, "a long iteration", func() bool { return harness.loop.clock() > late })
			harness.loop.perform(policy.Send{ID: req.id, Cache: "c1", Deadline: late + 5_000_000})
		})
		cmd := receive(t, cache.commands, "command")
		if d, err := strconv.Atoi(strings.TrimPrefix(cmd.args[3], "c=read,d=")); err != nil || d > 5000 {
			t.Errorf("forwarded %q, although at most 5 s are left", cmd.args[3])
		}
	})
}

// TestKeyedWriteIsNotRetriedAfterKeyTTL checks that a write that may have been executed is not retried once
// its idempotency key has expired.
func TestKeyedWriteIsNotRetriedAfterKeyTTL(t *testing.T) {
	for _, keyTTL := range []time.Duration{300 * time.Millisecond, time.Second} {
		cache := newFakeCache(t)
		router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
			for _, class := range in["settings"].(map[string]any)["categories"].([]any) {
				class.(map[string]any)["keyTtl"] = keyTTL.Microseconds()
			}
		}, endpointJSON("c1", cache.addr(), "in_service"), endpointJSON("c2", cache.addr(), "in_service")))
		client := dial(t, router.addr)
		client.send(encodeCommand("C.SET", "k1", "r1", "c=put,k=ab12,d=20000", "v"))
		first := receive(t, cache.commands, "command")
		expiry := time.Now().Add(keyTTL)
		waitUntil(t, "the end of the key TTL", func() bool { return time.Now().After(expiry) })
		first.conn.Close()
		if got := client.readLine(); !strings.HasPrefix(got, "-") {
			t.Errorf("key TTL %v: reply %q", keyTTL, got)
		}
		if len(cache.commands) > 0 {
			t.Errorf("key TTL %v: the write was retried", keyTTL)
		}
	}
}
