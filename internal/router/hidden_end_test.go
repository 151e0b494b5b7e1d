package router

import (
	"strings"
	"testing"

	"marlstage/policy"
)

// A client's end can't be seen behind bytes that its machine could not deliver yet, or that nobody reads.

// TestAttemptWaitsForHiddenEnd checks that an attempt waits while so much of its client is unread that the
// client's end may be hidden behind that, that attempts for others do not wait for it, and that it starts
// once the client has been read.
func TestAttemptWaitsForHiddenEnd(t *testing.T) {
	d := newDisconnectTest(t, 2)
	client := d.dial()
	client.send(getCommand("hidden"))
	req := d.harness.onlyRequest()
	reading := fault{reached: make(chan struct{}), resume: make(chan struct{})}
	d.system.inject(callRead, reading)
	const lines = "\r\n"
	client.send(lines)
	receive(t, reading.reached, "read")
	client.send(strings.Repeat(lines, minUnreadHidingDisconnect))
	waitUntil(t, "unread bytes", func() bool { _, err := req.client.checkHangup(); return err != nil })
	d.do(func() { d.perform(req, "c1") })
	d.harness.sendAttempt(d.harness.newRequest(nil), longTimeout)
	if other := receive(t, d.cache.commands, "command"); other.args[2] == "hidden" {
		t.Error("an attempt started although the client's end may be hidden")
	}
	close(reading.resume)
	if cmd := receive(t, d.cache.commands, "command"); cmd.args[2] != "hidden" {
		t.Errorf("the cache was sent %q", cmd.args)
	}
}

// TestNoAttemptStartsBehindUnreadBytes checks that no attempt starts for a client that sends on where the
// router reads no more, so that its end can't be seen.
func TestNoAttemptStartsBehindUnreadBytes(t *testing.T) {
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
