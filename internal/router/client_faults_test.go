package router

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// These tests check that no data is lost if system calls on a client connection fail temporarily or transfer
// fewer bytes than requested.

// repeatFault returns a list that contains a fault count times.
func repeatFault(f fault, count int) (faults []fault) {
	for range count {
		faults = append(faults, f)
	}
	return faults
}

// transientFaults are faults that reads and writes of an intact connection may have.
var transientFaults = map[string][]fault{
	"ENOBUFS":            repeatFault(fault{err: unix.ENOBUFS}, 3),
	"ENOMEM":             repeatFault(fault{err: unix.ENOMEM}, 3),
	"EINTR":              repeatFault(fault{err: unix.EINTR}, 3),
	"short counts":       repeatFault(fault{maxBytes: 1}, 200),
	"ENOBUFS in between": {{maxBytes: 10}, {err: unix.ENOBUFS}, {maxBytes: 10}, {err: unix.ENOMEM}},
	"many interrupts":    repeatFault(fault{err: unix.EINTR}, 500),
}

// startFaultyRouter runs a router on a faulty system, and connects a client to it.
func startFaultyRouter(t *testing.T) (*runningRouter, *faultySystem, *testClient) {
	t.Helper()
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	system := useFaultySystem(srv)
	router := startServer(t, srv)
	client := dial(t, router.addr)
	waitUntil(t, "a waiting reader", func() bool { return system.callCount(callRead) == 1 })
	return router, system, client
}

// TestTransientFaultsOfClientReads checks that a command is answered although reads of it fail temporarily.
func TestTransientFaultsOfClientReads(t *testing.T) {
	for name, faults := range transientFaults {
		t.Run(name, func(t *testing.T) {
			_, system, client := startFaultyRouter(t)
			system.inject(callRead, faults...)
			value := strings.Repeat("v", 1000)
			client.send(encodeCommand("PING", value))
			client.wantLine(value)
		})
	}
}

// TestTransientFaultsOfClientWrites checks that a reply arrives complete although writes of it fail
// temporarily.
func TestTransientFaultsOfClientWrites(t *testing.T) {
	for name, faults := range transientFaults {
		t.Run(name, func(t *testing.T) {
			_, system, client := startFaultyRouter(t)
			system.inject(callWrite, faults...)
			value := strings.Repeat("v", resp.MaxValueSize)
			client.send(encodeCommand("PING", value) + encodeCommand("PING"))
			client.wantLine(value)
			client.wantLine("+PONG")
		})
	}
}

// TestWriteRefusedWithRoomLeft checks that a write is repeated if Linux refuses it for lack of memory
// although the send buffer has space. No event reports that memory is available again.
func TestWriteRefusedWithRoomLeft(t *testing.T) {
	_, system, client := startFaultyRouter(t)
	system.injectError(callWrite, unix.EAGAIN, 2)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
}

// TestBrokenClientWrites checks that a client counts as disconnected if a write to it fails for good.
func TestBrokenClientWrites(t *testing.T) {
	for _, failure := range []error{unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH} {
		t.Run(failure.Error(), func(t *testing.T) {
			router, system, client := startFaultyRouter(t)
			system.injectError(callWrite, failure, 1)
			client.send(encodeCommand("PING"))
			client.wantClosed()
			router.waitForNoClients(t)
		})
	}
}

// TestLastingWriteFault checks that a write that keeps failing neither spins nor continues after its timeout.
func TestLastingWriteFault(t *testing.T) {
	router, system, client := startFaultyRouter(t)
	system.setDecide(func(call systemCall, _ int) *fault {
		if call == callWrite {
			return &fault{err: unix.ENOBUFS}
		}
		return nil
	})
	begun := time.Now()
	client.send(encodeCommand("PING"))
	client.wantClosed()
	router.waitForNoClients(t)
	if took := time.Since(begun); took > 2*writeTimeout {
		t.Errorf("the write was given up after %v", took)
	}
	if writes := system.callCount(callWrite); writes < 10 || writes > 1000 {
		t.Errorf("%d writes, want 10 to 1000", writes)
	}
}
