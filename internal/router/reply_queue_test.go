package router

import (
	"testing"

	"marlstage/internal/socket"
)

// TestUnqueuedReplyReleasesMemory checks that a reply which cannot be queued, as the client has left
// behind a full reply queue, keeps nothing of the memory budget.
func TestUnqueuedReplyReleasesMemory(t *testing.T) {
	cache := newFakeCache(t)
	router, _ := startScriptedRouter(t, endpointJSON("c1", cache.addr(), "in_service"))
	addr, conns := nonReadingServer(t)
	nc, err := socket.Dial(socket.Linux{}, addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nc.Close)
	receive(t, conns, "connection").Close()
	c := newClientConn(router.srv, nc, 0)
	for range cap(c.replies) {
		c.replies <- newReplySlot(router.srv.memory)
	}
	waitUntil(t, "the end of the client", c.hungUp)
	if state := c.reply([]byte("+PONG\r\n")); state != connGone {
		t.Errorf("state %d, want %d", state, connGone)
	}
	if inUse := router.srv.memory.inUse.Load(); inUse != 0 {
		t.Errorf("%d bytes are still counted", inUse)
	}
}
