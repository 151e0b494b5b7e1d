package router

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/internal/resp"
)

// System calls on a client's connection that fail for a moment, or transfer less than they were asked
// to, lose nothing.

// repeatFault lists a fault several times.
func repeatFault(f fault, count int) (faults []fault) {
	for range count {
		faults = append(faults, f)
	}
	return faults
}

// transientFaults are what may happen to reads and writes of a connection that is in order.
var transientFaults = map[string][]fault{
	"ENOBUFS":            repeatFault(fault{err: unix.ENOBUFS}, 3),
	"ENOMEM":             repeatFault(fault{err: unix.ENOMEM}, 3),
	"EINTR":              repeatFault(fault{err: unix.EINTR}, 3),
	"short counts":       repeatFault(fault{maxBytes: 1}, 200),
	"ENOBUFS in between": {{maxBytes: 10}, {err: unix.ENOBUFS}, {maxBytes: 10}, {err: unix.ENOMEM}},
	"many interrupts":    repeatFault(fault{err: unix.EINTR}, 500),
}

// startFaultyRouter runs a router whose client is connected and whose system calls may be made to fail.
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

// TestTransientFaultsOfClientReads checks that a command is served although reads of it fail for a moment.
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

// TestTransientFaultsOfClientWrites checks that a reply arrives whole although writes of it fail for a moment.
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

// TestWriteRefusedWithRoomLeft checks that a write is repeated which Linux refuses for want of memory
// while the send buffer has room. No event tells when it has memory again.
func TestWriteRefusedWithRoomLeft(t *testing.T) {
	_, system, client := startFaultyRouter(t)
	system.injectError(callWrite, unix.EAGAIN, 2)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
}

// TestBrokenClientWrites checks that a client whose connection is broken is taken for gone.
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

// TestLastingWriteFault checks that a write which keeps failing neither spins nor outlasts its time.
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
		t.Errorf("%d writes", writes)
	}
}
