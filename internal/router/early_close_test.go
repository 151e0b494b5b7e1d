package router

import (
	"strings"
	"testing"
)

// These tests cover clients that have gone before their connection is accepted.

// admitNext admits the next connection and waits until it has been accepted and started, or closed.
func (d *disconnectTest) admitNext() {
	d.t.Helper()
	accepts := d.system.callCount(callAccept)
	d.listener.admit <- struct{}{}
	waitUntil(d.t, "an accepted connection", func() bool { return d.system.callCount(callAccept) > accepts })
}

// clientCount returns the number of the router's connections to clients.
func (d *disconnectTest) clientCount() int {
	d.router.srv.mu.Lock()
	defer d.router.srv.mu.Unlock()
	return len(d.router.srv.clients)
}

// TestResetConnectionIsNotRead guards against the commands of clients that have reset their connections before these
// were accepted. Clients that did so again and again, each time behind 50 requests, took all of a core.
func TestResetConnectionIsNotRead(t *testing.T) {
	d := newDisconnectTest(t, 1)
	client := dial(t, d.router.addr)
	client.send(strings.Repeat(getCommand("r1"), 50))
	client.reset()
	reads := d.system.callCount(callRead)
	d.admitNext()
	if made := d.system.callCount(callRead) - reads; made > 0 || d.clientCount() > 0 {
		t.Errorf("%d reads, %d connections", made, d.clientCount())
	}
	if counted := d.harness.loop.statistics.resetEarly.Load(); counted != 1 {
		t.Errorf("%d connections are counted", counted)
	}
	d.dial().send(encodeCommand("PING")) // its descriptor can be used again
	waitUntil(t, "a new connection", func() bool { return d.clientCount() == 1 })
	d.wantNothingSent()
}

// TestRequestsBehindEarlyCloseAreRejected guards against requests that take the event loop's time although their client
// had closed its side before the connection was accepted. Clients that did so again and again, each time behind 50
// requests, made others wait for 1.4 s.
func TestRequestsBehindEarlyCloseAreRejected(t *testing.T) {
	d := newDisconnectTest(t, 1)
	client := dial(t, d.router.addr)
	client.send(getCommand("r1") + encodeCommand("PING") + getCommand("r2"))
	client.closeWrite()
	d.admitNext()
	for _, want := range []string{"-BUSY", "+PONG", "-BUSY"} {
		client.wantLine(want)
	}
	client.wantClosed()
	if rejected := d.harness.loop.statistics.rejects[rejectDisconnected].Load(); rejected != 2 {
		t.Errorf("%d requests were rejected", rejected)
	}
	d.wantNothingSent()
}

// TestFloodBehindEarlyCloseIsNotRead checks that not all commands of a client are read that had closed its side before
// the connection was accepted.
func TestFloodBehindEarlyCloseIsNotRead(t *testing.T) {
	d := newDisconnectTest(t, 1)
	client := dial(t, d.router.addr)
	const requests = 10 * newWorkBurst
	client.send(strings.Repeat(getCommand("r1"), requests))
	client.closeWrite()
	d.admitNext()
	waitUntil(t, "the end of the connection", func() bool { return d.clientCount() == 0 })
	if rejected := d.harness.loop.statistics.rejects[rejectDisconnected].Load(); rejected == 0 || rejected > 2*newWorkBurst {
		t.Errorf("%d of %d requests were read", rejected, requests)
	}
	d.wantNothingSent()
}
