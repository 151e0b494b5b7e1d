package router

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlstage/internal/resp"
)

// TestServesRequest checks that a request is forwarded to a cache and its reply to the client.
func TestServesRequest(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	client.send(getCommand("r1"))
	cmd := receive(t, cache.commands, "command")
	if cmd.args[0] != "C.GET" || cmd.args[1] != "k1" || cmd.args[2] != "r1" {
		t.Errorf("the cache was sent %q", cmd.args)
	}
	cmd.reply(t, servedReply)
	client.wantLine("value")
}

// TestRepliesInCommandOrder checks that the replies on a connection are sent in the order of its commands,
// although a later one is available first, and that replies on other connections do not wait.
func TestRepliesInCommandOrder(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1") + getCommand("r2") + encodeCommand("PING"))
	first := receive(t, cache.commands, "command")
	second := receive(t, cache.commands, "command")
	if first.args[2] != "r1" {
		first, second = second, first
	}
	second.reply(t, "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n")
	other := dial(t, router.addr)
	other.send(getCommand("r3"))
	receive(t, cache.commands, "command").reply(t, servedReply)
	other.wantLine("value")
	first.reply(t, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	client.wantLine("one")
	client.wantLine("two")
	client.wantLine("+PONG")
}

// TestPipelinedCommandsAreAcceptedAtOnce checks that commands are read while earlier ones are in flight.
// A command that stays unread would be answered too late, since its client is already waiting.
func TestPipelinedCommandsAreAcceptedAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // does not reply
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(strings.Repeat(getCommand("r"), maxPipelined/2))
	for accepted := 0; accepted < maxPipelined/2; {
		open := make(chan int, 1)
		router.srv.loop.post(func() { open <- router.srv.loop.openRequests })
		accepted = receive(t, open, "number of open requests")
	}
}

// TestClientDisconnectCancelsAttempt checks that an attempt is cancelled when its client disconnects.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	receive(t, cache.commands, "command")
	client.close()
	receive(t, cache.closed, "end of the attempt's connection")
}

// TestSlowReaderDoesNotBlockOthers checks that a client that does not read many large replies does not
// delay the replies to another client.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 4
	}, endpointJSON("c1", cache.addr(), "in_service")))
	largeReply := "*3\r\n$65536\r\n" + strings.Repeat("v", resp.MaxValueSize) + "\r\n$-1\r\n$-1\r\n"
	var largeReplies atomic.Int64
	cache.handleCommands(t, func(cmd fakeCommand) {
		if strings.HasPrefix(cmd.args[2], "slow") {
			largeReplies.Add(1)
			cmd.tryReply(largeReply)
		} else {
			cmd.tryReply(servedReply)
		}
	})
	slow := dial(t, router.addr)
	if err := slow.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	slow.send(strings.Repeat(getCommand("slow"), 64))
	other := dial(t, router.addr)
	for range 50 {
		other.send(getCommand("quick"))
		if got := other.readLine(); got != "value" && !strings.HasPrefix(got, "-") {
			t.Fatalf("reply %q", got)
		}
	}
	if largeReplies.Load() == 0 {
		t.Error("the slow reader was not served at all")
	}
}

// TestPingBeforeAnyEndpointIsKnown checks that a router without caches reports that it is loading and
// rejects requests.
func TestPingBeforeAnyEndpointIsKnown(t *testing.T) {
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil))
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	if got := client.readLine(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("reply %q", got)
	}
	client.send(getCommand("r1")) // without a cache the engine rejects it
	if got := client.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
}

// TestMalformedCommands checks that malformed commands are answered with an error and never forwarded,
// and that the connection ends if the start of the next command is unknown.
func TestMalformedCommands(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	for _, c := range []struct {
		wire   string
		closes bool
	}{
		{encodeCommand("FLUSHALL"), false},
		{encodeCommand("C.GET"), false},
		{encodeCommand("C.GET", "k", "id"), false},
		{encodeCommand("C.GET", "k", "id", "c=read"), false},
		{encodeCommand("C.GET", "k", "id", "d=10"), false},
		{encodeCommand("C.GET", "k", "id", "c=read,d=x"), false},
		{encodeCommand("C.GET", "k", "id", "c=read,d=-1"), false},
		{encodeCommand("C.GET", "k", "id", "c=read,d=1,d=2"), false},
		{encodeCommand("C.GET", "", "id", "c=read,d=10"), false},
		{encodeCommand("C.GET", "k", "id", "c=read,d=10", "value"), false},
		{encodeCommand("C.SET", "k", "id", "c=put,d=10"), false},
		{encodeCommand("C.GET", strings.Repeat("k", resp.MaxArgumentSize+1), "id", "c=read,d=10"), false},
		{"FLUSHALL\r\n", false},
		{"C.GET k id c=read,d=10000\r\n", false}, // not an array of bulk strings
		{encodeCommand("C.GET", "k", "id", "c=other,d=10000"), false},
		{encodeCommand("C.SET", "k", "id", "c=put,d=10000", "value"), false}, // no idempotency key
		{"*1\r\n$-2\r\n", true},
		{"*1\r\n$9223372036854775807\r\n", true},
		{"*x\r\n", true},
		{"*1\r\n!3\r\n", true},
		{"$4 PING\r\n", true},
		{"*2\r\n$5\r\nC.GETXX", true},
		{"*5\r\n$5\r\nC.SET\r\n$70000\r\n" + strings.Repeat("x", 2*resp.MaxCommandSize), true},
	} {
		client := dial(t, router.addr)
		client.send(c.wire)
		if got := client.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: reply %q", c.wire, got)
		}
		if c.closes {
			client.wantClosed()
		} else {
			client.send(encodeCommand("PING"))
			client.wantLine("+PONG")
		}
	}
	select {
	case cmd := <-cache.commands:
		t.Errorf("the cache was sent %q", cmd.args)
	default:
	}
}

// TestSilentPeersTimeOut checks that the connection of a peer ends if the first command, or the rest of a
// partial command, does not arrive in time. A connection that has carried a command may be idle.
func TestSilentPeersTimeOut(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.commandTimeout = time.Second
	idle := dial(t, srv.listener.Addr().String())
	idle.send(encodeCommand("ECHO")) // arrives before the router starts, so that it is not late
	router := startServer(t, srv)
	idle.wantLine("-ERR unknown command")
	silent := map[string]*testClient{}
	for _, partial := range []string{"", "\r\n", "*0\r\n", "PI", "*4\r\n$5\r\nC.GET\r\n$2\r\nk"} {
		silent[partial] = dial(t, router.addr)
		silent[partial].send(partial)
	}
	for partial, client := range silent {
		if partial != "" && !strings.HasSuffix(partial, "\r\n") {
			if got := client.readLine(); !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("%q: reply %q", partial, got)
			}
		}
		client.wantClosed()
	}
	idle.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G") // idle for longer than commandTimeout
	idle.wantLine("+PONG")
	if got := idle.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q", got)
	}
	idle.wantClosed()
}

// TestMaxOpenRequests checks that requests beyond the limit of the settings are rejected before they
// reach the engine.
func TestMaxOpenRequests(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 1
	}, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	cmd := receive(t, cache.commands, "command")
	other := dial(t, router.addr)
	other.send(getCommand("r2"))
	other.wantLine("-BUSY")
	cmd.reply(t, servedReply)
	client.wantLine("value")
}
