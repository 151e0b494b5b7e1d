package router

import (
	"fmt"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// TestRequestsSurviveLocalDialErrors checks, with the real policy engine and two caches, that requests that
// arrive while the router's own host can't open connections are served once it can.
func TestRequestsSurviveLocalDialErrors(t *testing.T) {
	for _, err := range []error{unix.ENFILE, unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		t.Run(err.Error(), func(t *testing.T) {
			t.Parallel()
			cache := newFakeCache(t)
			cache.handleCommands(t, func(cmd fakeCommand) { cmd.tryReply(servedReply) })
			srv, newErr := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service"),
				endpointJSON("c2", cache.addr(), "in_service")))
			if newErr != nil {
				t.Fatal(newErr)
			}
			system := useFaultySystem(srv)
			var recovered atomic.Bool
			system.decide = func(call systemCall, _ int) *fault {
				if call == callDial && !recovered.Load() {
					return &fault{err: err}
				}
				return nil
			}
			router := startServer(t, srv)
			const requests = 20
			var clients []*testClient
			for i := range requests {
				client := dial(t, router.addr)
				client.send(encodeCommand("C.GET", fmt.Sprint("k", i), fmt.Sprint("r", i), "c=read,d=20000"))
				clients = append(clients, client)
			}
			waitUntil(t, "several dials", func() bool { return system.callCount(callDial) > 3*maxDials })
			recovered.Store(true)
			for _, client := range clients {
				client.wantLine("value")
			}
		})
	}
}
