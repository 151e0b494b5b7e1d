package router

import (
	"io"
	"strconv"
	"strings"
	"testing"

	"marlstage/internal/resp"
)

// TestClientDisconnectsBehindFullWindow has a client send more commands than the router's machine
// takes while their reader waits, and disconnect. Its end comes behind them.
func TestClientDisconnectsBehindFullWindow(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			command := getCommand("r")
			client.send(strings.Repeat(command, 2*maxPipelined))
			harness.waitForFullReplyQueue()
			client.send(strings.Repeat(command, maxReadAhead*3/4/len(command)))
			disconnect(client)
			harness.waitForOpenRequests(0)
			router.waitForFreeMemory(t)
		})
	}
}

// TestCommandsReadAheadAreAnswered checks that commands are answered in order which were read while
// the queue of replies was full.
func TestCommandsReadAheadAreAnswered(t *testing.T) {
	router, harness := startScriptedRouter(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	client := dial(t, router.addr)
	client.send(strings.Repeat(getCommand("r"), maxPipelined+1))
	harness.waitForFullReplyQueue()
	const pings = maxReadAhead / 16
	go func() {
		for i := range pings {
			if _, err := io.WriteString(client.nc, encodeCommand("PING", strconv.Itoa(i))); err != nil {
				return // the test finds that replies are missing
			}
		}
	}()
	client.waitForReadAhead(router)
	harness.do(func() {
		for id := range harness.loop.requests {
			harness.loop.finishRequest(id, requestFailed, []byte(resp.FailedReply))
		}
	})
	for range maxPipelined + 1 {
		client.wantLine(strings.TrimSpace(resp.FailedReply))
	}
	for i := range pings {
		client.wantLine(strconv.Itoa(i))
	}
	router.waitForFreeMemory(t)
}

// waitForFreeMemory waits until nothing is counted in the memory budget.
func (r *runningRouter) waitForFreeMemory(t *testing.T) {
	t.Helper()
	waitUntil(t, "free memory", func() bool { return r.srv.memory.inUse.Load() == 0 })
}

// waitForReadAhead waits until the only client's reader has read ahead.
func (c *testClient) waitForReadAhead(router *runningRouter) {
	c.t.Helper()
	waitUntil(c.t, "commands read ahead", func() bool {
		router.srv.mu.Lock()
		defer router.srv.mu.Unlock()
		for client := range router.srv.clients {
			return client.aheadCharge.Load() > 0
		}
		return false
	})
}
