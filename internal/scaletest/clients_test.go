package scaletest

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/tidwall/redcon"
)

// startBarrierRouter starts a router that rejects the given number of requests, but none before all of
// them have arrived. Then it closes the channel.
func startBarrierRouter(t *testing.T, requests int) (addr string, allArrived <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrived, all := make(chan struct{}, requests), make(chan struct{})
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go rejectAfter(nc, arrived, all)
		}
	}()
	go func() {
		for range requests {
			<-arrived
		}
		close(all)
	}()
	return listener.Addr().String(), all
}

// rejectAfter reads one request from a connection, reports it on arrived, and rejects it when all is closed.
func rejectAfter(nc net.Conn, arrived chan<- struct{}, all <-chan struct{}) {
	defer nc.Close()
	if cmd, err := redcon.NewReader(nc).ReadCommand(); err == nil && len(cmd.Args) >= 4 {
		arrived <- struct{}{}
		<-all
		_, _ = fmt.Fprint(nc, "-BUSY 10\r\n") // on an error, the client counts the request as failed
	}
}

// TestClientsDoNotWaitForReplies checks that the clients are open-loop: all requests arrive at a router that
// answers none before the last one. Clients that waited for a reply would never send the next request.
func TestClientsDoNotWaitForReplies(t *testing.T) {
	const requests = 20
	addr, allArrived := startBarrierRouter(t, requests)
	clients := NewClients(addr, 5000)
	clients.Run(context.Background(), requests)
	<-allArrived
	if stats := clients.TakeStats(); stats.Due != requests || stats.Rejected+stats.Failed != requests || stats.Served != 0 {
		t.Errorf("%+v", stats)
	}
}
