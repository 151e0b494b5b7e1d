package router

import (
	"strings"
	"testing"
	"time"

	"marlstage/policy"
)

// These tests cover disconnects of a client that the router can't detect: those behind bytes that the
// client's host could not deliver yet because the receive window is full, and those behind bytes that the
// router will not read.

// TestAttemptWaitsForHiddenDisconnect checks that an attempt waits while its client has so many unread bytes
// that they may hide a disconnect, that attempts for other clients do not wait for it, and that it starts
// once these bytes have been read.
func TestAttemptWaitsForHiddenDisconnect(t *testing.T) {
	d := newDisconnectTest(t, 2)
	req, resume := d.requestOfHiddenClient()
	d.do(func() { d.perform(req, "c1") })
	d.harness.sendAttempt(d.harness.newRequest(nil), longTimeout)
	if other := receive(t, d.cache.commands, "command"); other.args[2] == "hidden" {
		t.Error("an attempt started although a disconnect of its client may be hidden")
	}
	resume()
	if cmd := receive(t, d.cache.commands, "command"); cmd.args[2] != "hidden" {
		t.Errorf("the cache was sent %q", cmd.args)
	}
}

// requestOfHiddenClient returns a request of a client whose disconnect could not be detected until resume is called:
// the client has sent many bytes that the router has not read.
func (d *disconnectTest) requestOfHiddenClient() (req *request, resume func()) {
	d.t.Helper()
	client := d.dial()
	client.send(getCommand("hidden"))
	req = d.harness.onlyRequest()
	reading := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	d.system.inject(callRead, reading)
	const lines = "\r\n"
	client.send(lines)
	receive(d.t, reading.reached, "read")
	client.send(strings.Repeat(lines, minUnreadHidingDisconnect))
	waitUntil(d.t, "unread bytes", func() bool { _, err := req.client.checkHangup(); return err != nil })
	return req, func() { close(reading.resume) }
}

// TestHiddenDisconnectIsNoFaultOfCache guards against caches that count as unreachable because an attempt waited for
// its client: while some clients sent more than the router read, nearly all requests of others were rejected.
func TestHiddenDisconnectIsNoFaultOfCache(t *testing.T) {
	d := newDisconnectTest(t, 1)
	req, resume := d.requestOfHiddenClient()
	defer resume()
	d.do(func() {
		d.harness.loop.cfg.Transport.DialTimeout = 50_000 // microseconds
		d.perform(req, "c1")
	})
	d.harness.wantOutcome(policy.NotSent)
	d.wantNothingSent()
}

// TestAttemptWaitsWhileReceiveWindowIsClosed guards against attempts for a client that has closed its connection while
// the router was behind with reading. The system keeps the receive window closed until much of the receive buffer is
// free, so that the FIN can be hidden behind a few unread bytes.
func TestAttemptWaitsWhileReceiveWindowIsClosed(t *testing.T) {
	d := newDisconnectTest(t, 1)
	client := d.dial()
	client.send(getCommand("hidden"))
	req := d.harness.onlyRequest()
	reading := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	d.system.inject(callRead, reading)
	client.send("\r\n")
	receive(t, reading.reached, "read")
	client.fillReceiveWindow()
	client.close()
	req.client.readUntilFewUnread(t)
	d.do(func() { d.perform(req, "c1") })
	d.wantNothingSent()
	close(reading.resume)
	waitUntil(t, "the end of the connection", req.client.hungUp)
	d.wantNothingSent()
}

// fillReceiveWindow writes empty lines until the router's receive buffer and the send buffer are full.
func (c *testClient) fillReceiveWindow() {
	const writeTime = 50 * time.Millisecond
	lines := []byte(strings.Repeat("\r\n", 32<<10))
	for {
		if err := c.nc.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
			c.t.Fatal(err)
		}
		if _, err := c.nc.Write(lines); err != nil {
			return
		}
	}
}

// readUntilFewUnread reads from a client that has disconnected until there are so few unread bytes that they do not
// hide the disconnect by their number alone.
func (c *clientConn) readUntilFewUnread(t *testing.T) {
	t.Helper()
	buf := make([]byte, minUnreadHidingDisconnect/4)
	for !c.hungUp() {
		unread, err := c.nc.UnreadBytes()
		if err != nil {
			t.Fatal(err)
		}
		if 0 < unread && unread < minUnreadHidingDisconnect {
			return
		}
		if _, err := c.nc.ReadAvailable(buf); err != nil {
			t.Fatal(err)
		}
	}
	t.Fatal("there were never few unread bytes before the disconnect was detected")
}

// TestAttemptIsNotSentWithUnreadBytes checks that no attempt starts for a client that keeps sending after
// the router has stopped reading from it, so that its disconnect can't be detected.
func TestAttemptIsNotSentWithUnreadBytes(t *testing.T) {
	d := newDisconnectTest(t, 1)
	client := d.dial()
	client.send(getCommand("r1") + encodeCommand("QUIT"))
	req := d.harness.onlyRequest()
	waitUntil(t, "the end of the reading", req.client.readingStopped.Load)
	client.send("\r\n")
	waitUntil(t, "unread bytes", func() bool { _, err := req.client.checkHangup(); return err != nil })
	d.do(func() { d.perform(req, "c1") })
	d.harness.wantOutcome(policy.NotSent)
	d.wantNothingSent()
}
