package router

import (
	"testing"
	"time"

	"marlstage/internal/resp"
	"marlstage/policy"
)

// requestRecorder is an engine that records the requests that are reported to it.
type requestRecorder struct {
	scriptedEngine
	requests []int64 // owned by the event loop
}

func (r *requestRecorder) Handle(now policy.Time, ev policy.Event) []policy.Action {
	if req, ok := ev.(*policy.Request); ok {
		r.requests = append(r.requests, req.ID)
	}
	return r.scriptedEngine.Handle(now, ev)
}

// heldRequestsTest is a router with one client, which has a request that the engine does not answer.
type heldRequestsTest struct {
	t       *testing.T
	client  *testClient
	harness *loopHarness
	engine  *requestRecorder
	conn    *clientConn
}

func newHeldRequestsTest(t *testing.T) *heldRequestsTest {
	t.Helper()
	router, harness := startScriptedRouter(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	h := &heldRequestsTest{t: t, client: dial(t, router.addr), harness: harness, engine: &requestRecorder{}}
	h.client.send(getCommand("first"))
	h.conn = harness.onlyRequest().client
	harness.do(func() { harness.loop.engine = h.engine })
	return h
}

// accept has the loop accept requests with a timeout while a disconnect of the client may be hidden for the given time.
func (h *heldRequestsTest) accept(count int, timeout, hidden time.Duration) (slots []*replySlot) {
	h.t.Helper()
	h.harness.do(func() {
		loop := h.harness.loop
		h.conn.windowShortAt.Store(loop.now + (hidden - windowReopenTime).Microseconds())
		for range count {
			slot := newReplySlot(testMemory())
			loop.acceptRequest(h.conn, slot, resp.Command{Timeout: timeout.Microseconds()}, loop.now)
			slots = append(slots, slot)
		}
		if len(h.engine.requests) > 0 || len(h.conn.held) != count {
			h.t.Errorf("%d requests were reported, %d are held", len(h.engine.requests), len(h.conn.held))
		}
	})
	return slots
}

// TestHeldRequestsAreReportedInOrder checks that requests are reported to the engine once their client is known to be
// connected. It guards against attempts of a client that sends more than the router reads, which took the places of
// others at the caches while they could not start: 46 of 802 requests of others were served.
func TestHeldRequestsAreReportedInOrder(t *testing.T) {
	h := newHeldRequestsTest(t)
	const count = 10
	h.accept(count, longTimeout, 5*windowReopenTime)
	waitUntil(t, "reported requests", func() (reported bool) {
		h.harness.do(func() { reported = len(h.engine.requests) == count })
		return reported
	})
	h.harness.do(func() {
		for i, id := range h.engine.requests[1:] {
			if id <= h.engine.requests[i] {
				t.Errorf("request %d is reported behind %d", id, h.engine.requests[i])
			}
		}
		if len(h.conn.held) > 0 {
			t.Errorf("%d requests are still held", len(h.conn.held))
		}
	})
	if counted := h.harness.loop.statistics.heldRequests.Load(); counted != count {
		t.Errorf("%d requests are counted", counted)
	}
}

// TestHeldRequestsEndWithTheirClient checks that held requests are not reported once the client has disconnected.
func TestHeldRequestsEndWithTheirClient(t *testing.T) {
	h := newHeldRequestsTest(t)
	h.accept(10, longTimeout, testTimeout)
	h.client.close()
	h.harness.waitForOpenRequests(0)
	h.harness.do(func() {
		if len(h.engine.requests) > 0 {
			t.Errorf("%d requests of a disconnected client were reported", len(h.engine.requests))
		}
	})
	waitUntil(t, "no held requests", func() (none bool) {
		h.harness.do(func() { none = len(h.conn.held) == 0 })
		return none
	})
}

// TestHeldRequestsAreAnsweredInTime checks that a request which is held until its deadline is rejected then.
func TestHeldRequestsAreAnsweredInTime(t *testing.T) {
	h := newHeldRequestsTest(t)
	const timeout = 50 * time.Millisecond
	slots := h.accept(10, timeout, testTimeout)
	for _, slot := range slots {
		if reply := receive(t, slot.reply, "reply"); string(reply) != resp.BusyReply {
			t.Errorf("reply %q", reply)
		}
	}
	h.harness.do(func() {
		if h.harness.loop.openRequests != 1 || len(h.engine.requests) > 0 {
			t.Errorf("%d requests are open, %d were reported", h.harness.loop.openRequests, len(h.engine.requests))
		}
	})
}
