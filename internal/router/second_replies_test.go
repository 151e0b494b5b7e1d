package router

import (
	"slices"
	"testing"
	"time"

	"marlstage/policy"
)

// TestSettleTimeFollowsLateReplies checks how long a connection rests after second replies.
func TestSettleTimeFollowsLateReplies(t *testing.T) {
	const usual = 10_000
	for name, c := range map[string]struct {
		lateness []policy.Time // one second after the other
		asked    policy.Time   // after the last of them
		want     policy.Time
	}{
		"none":                      {nil, 0, usual},
		"soon after the reply":      {[]policy.Time{1_000}, 0, usual},
		"beyond the usual":          {[]policy.Time{15_000}, 0, 60_000},
		"the longest counts":        {[]policy.Time{15_000, 5_000}, 0, 60_000},
		"bounded":                   {[]policy.Time{900_000}, 0, maxSettleTime},
		"too late for a second one": {[]policy.Time{maxSecondReplyLateness + 1}, 0, usual},
		"forgotten":                 {[]policy.Time{15_000}, secondReplyRetention, usual},
		"not forgotten yet":         {[]policy.Time{15_000}, secondReplyRetention - 1, 60_000},
		"the longest is forgotten":  {append([]policy.Time{15_000}, slices.Repeat([]policy.Time{2_000_000}, 60)...), 0, usual},
	} {
		t.Run(name, func(t *testing.T) {
			var late secondReplies
			now := policy.Time(1_000_000)
			for _, lateness := range c.lateness {
				now += 1_000_000
				late.note(now, lateness)
			}
			if got := late.settleTime(now+c.asked, usual); got != c.want {
				t.Errorf("settle time %d, want %d", got, c.want)
			}
		})
	}
}

// TestLateSecondReplyLengthensRest checks that the connections to a server rest longer once one of them
// has received a second reply, and that others are dialed meanwhile.
func TestLateSecondReplyLengthensRest(t *testing.T) {
	cache := newFakeCache(t)
	h := newLoopHarness(t, cache.addr(), nil)
	served := h.serveRequest(cache)
	time.Sleep(2 * defaultSettleTime * time.Microsecond) // the time between the two replies
	served.reply(t, otherServedReply)
	receive(t, cache.closed, "end of the connection out of step")
	h.serveRequest(cache) // on a new connection
	h.do(func() {
		p := h.loop.pools["c1"]
		rest := p.settleTime()
		if rest < 2*settleTimePerLateness*defaultSettleTime && rest != maxSettleTime {
			t.Errorf("settle time %d", rest)
		}
		resting := p.idle[0]
		for _, c := range []struct {
			now     policy.Time
			settled bool
			soon    bool
		}{
			{resting.idleSince + defaultSettleTime, false, false},
			{resting.idleSince + rest - defaultSettleTime, false, true},
			{resting.idleSince + rest, true, true},
		} {
			h.loop.now = c.now
			conn := p.takeSettledConn()
			if conn != nil {
				p.returnUnused(conn)
			}
			if settled := conn != nil; settled != c.settled || p.settlesSoon(resting) != c.soon {
				t.Errorf("after %d us: settled %t, soon %t", c.now-resting.idleSince, settled, p.settlesSoon(resting))
			}
		}
	})
}

// TestRestartForgetsLateReplies checks that a new incarnation of a server is not held to the faults of
// the one before.
func TestRestartForgetsLateReplies(t *testing.T) {
	h := newLoopHarness(t, "127.0.0.1:1", nil)
	h.do(func() {
		p := h.loop.pools["c1"]
		p.secondReplies.note(h.loop.now, 15_000)
		p.update(p.addr, h.loop.now, true)
		if got := p.settleTime(); got != defaultSettleTime {
			t.Errorf("settle time %d", got)
		}
	})
}
