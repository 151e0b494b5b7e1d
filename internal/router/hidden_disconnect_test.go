package router

import (
	"strings"
	"testing"

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
		t.Error("an attempt started although a disconnect of its client may be hidden")
	}
	close(reading.resume)
	if cmd := receive(t, d.cache.commands, "command"); cmd.args[2] != "hidden" {
		t.Errorf("the cache was sent %q", cmd.args)
	}
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
