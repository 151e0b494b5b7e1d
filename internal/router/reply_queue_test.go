package router

import (
	"testing"

	"marlstage/internal/socket"
)

// TestReplyQueueMergesRejections checks that slots are returned in order, that consecutive rejections share a
// slot, and that the number of commands that await their replies is bounded.
func TestReplyQueueMergesRejections(t *testing.T) {
	q := newReplyQueue()
	slots := make([]*replySlot, 0, maxPipelined+1)
	add := func() bool {
		slots = append(slots, newReplySlot(testMemory()))
		return q.tryAdd(slots[len(slots)-1])
	}
	for add() {
	}
	slots = slots[:len(slots)-1]
	if len(slots) != maxPipelined {
		t.Fatalf("%d commands may await their replies, want %d", len(slots), maxPipelined)
	}
	q.addRejected()
	q.addRejected()
	if q.next() != slots[0] || !add() {
		t.Fatal("the first slot was not returned, or its removal left no room")
	}
	q.addRejected()
	q.close()
	for i, want := range slots[1:] {
		if i == maxPipelined-1 {
			wantRejections(t, q.next(), 2)
		}
		if got := q.next(); got != want {
			t.Fatalf("slot %d is %v", i+1, got)
		}
	}
	wantRejections(t, q.next(), 1)
	if q.next() != nil {
		t.Error("a closed queue returned a slot after the last one")
	}
}

func wantRejections(t *testing.T, slot *replySlot, want int) {
	t.Helper()
	if slot.rejected != want {
		t.Errorf("%d rejections, want %d", slot.rejected, want)
	}
}

// TestUnqueuedReplyReleasesMemory checks that a reply that cannot be queued, because the client has
// disconnected while the reply queue was full, releases its memory.
func TestUnqueuedReplyReleasesMemory(t *testing.T) {
	cache := newFakeCache(t)
	router, _ := startScriptedRouter(t, endpointJSON("c1", cache.addr(), "in_service"))
	addr, conns := nonReadingCache(t)
	nc, err := socket.Dial(socket.Linux{}, addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nc.Close)
	receive(t, conns, "connection").Close()
	c := newClientConn(router.srv, nc, 0)
	for c.replies.tryAdd(newReplySlot(router.srv.memory)) {
	}
	waitUntil(t, "the end of the client", c.hungUp)
	queued := router.srv.memory.inUse.Load()
	if state := c.reply([]byte("+PONG\r\n")); state != connDisconnected {
		t.Errorf("state %d, want %d", state, connDisconnected)
	}
	if inUse := router.srv.memory.inUse.Load(); inUse != queued {
		t.Errorf("%d bytes are still counted in the memory budget, %d of queued slots", inUse, queued)
	}
	for c.replies.pending > 0 {
		c.replies.next().release()
	}
	if inUse := router.srv.memory.inUse.Load(); inUse != 0 {
		t.Errorf("%d bytes are still counted in the memory budget", inUse)
	}
}
