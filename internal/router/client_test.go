package router

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlstage/policy"
)

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

// TestRepliesInCommandOrder: a quick answer waits for those before it on its connection, and
// only there.
func TestRepliesInCommandOrder(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1") + getCommand("r2") + encodeCommand("PING"))
	first, second := receive(t, cache.commands, "command"), receive(t, cache.commands, "command")
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

// TestPipelinedCommandsAreAcceptedAtOnce. The danger: a command left unread behind others that
// are slow is taken long after its client began to wait, and is answered too late.
func TestPipelinedCommandsAreAcceptedAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // answers nothing
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(strings.Repeat(getCommand("r"), maxPipelined/2))
	for taken := 0; taken < maxPipelined/2; {
		turn := make(chan int, 1)
		router.srv.loop.post(func() { turn <- router.srv.loop.openRequests })
		taken = receive(t, turn, "turn of the loop")
	}
}

// TestClientDisconnectCancelsAttempt: nobody waits for the answer any more, so the attempt is stopped.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	client := dial(t, router.addr)
	client.send(getCommand("r1"))
	receive(t, cache.commands, "command")
	client.nc.Close()
	receive(t, cache.closed, "end of the attempt's connection")
}

// TestSlowReaderDoesNotBlockOthers: one client reads nothing of many large answers.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 4
	}, endpointJSON("c1", cache.addr(), "in_service")))
	over := make(chan struct{})
	defer close(over)
	large := "*3\r\n$65536\r\n" + strings.Repeat("v", maxValueSize) + "\r\n$-1\r\n$-1\r\n"
	var large64 atomic.Int64
	go func() {
		for {
			select {
			case cmd := <-cache.commands:
				if strings.HasPrefix(cmd.args[2], "slow") {
					large64.Add(1)
					cmd.conn.Write([]byte(large))
				} else {
					cmd.conn.Write([]byte(servedReply))
				}
			case <-over:
				return
			}
		}
	}()
	slow := dial(t, router.addr)
	slow.nc.SetReadBuffer(4096)
	slow.send(strings.Repeat(getCommand("slow"), 64))
	other := dial(t, router.addr)
	for range 50 {
		other.send(getCommand("quick"))
		if got := other.readLine(); got != "value" && !strings.HasPrefix(got, "-") {
			t.Fatalf("answer %q", got)
		}
	}
	if large64.Load() == 0 {
		t.Error("the slow reader was not served at all")
	}
}

func TestPingBeforeAnyEndpointIsKnown(t *testing.T) {
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil))
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	if got := client.readLine(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("answer %q", got)
	}
	client.send(getCommand("r1")) // no cache: the module refuses
	if got := client.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestMalformedCommands: what is wrong is answered and never sent on; where the bytes can't be
// told apart any more, the connection ends.
func TestMalformedCommands(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	for _, c := range []struct {
		wire string
		ends bool
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
		{encodeCommand("C.GET", strings.Repeat("k", maxArgumentSize+1), "id", "c=read,d=10"), false},
		{"FLUSHALL\r\n", false},
		{"C.GET k id c=read,d=10000\r\n", false}, // not an array of bulk strings
		{encodeCommand("C.GET", "k", "id", "c=other,d=10000"), false},
		{encodeCommand("C.SET", "k", "id", "c=put,d=10000", "value"), false}, // a keyed write without its key
		{"*1\r\n$-2\r\n", true},
		{"*1\r\n$9223372036854775807\r\n", true},
		{"*x\r\n", true},
		{"*1\r\n!3\r\n", true},
		{"$4 PING\r\n", true},
		{"*2\r\n$5\r\nC.GETXX", true},
		{"*5\r\n$5\r\nC.SET\r\n$70000\r\n" + strings.Repeat("x", 2*maxCommandSize), true},
	} {
		cl := dial(t, router.addr)
		cl.send(c.wire)
		if got := cl.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: answer %q", c.wire, got)
		}
		if c.ends {
			cl.wantClosed()
		} else {
			cl.send(encodeCommand("PING"))
			cl.wantLine("+PONG")
		}
	}
	select {
	case cmd := <-cache.commands:
		t.Errorf("the cache was sent %q", cmd.args)
	default:
	}
}

// TestSilentPeersTimeOut: a peer owes its first command, and the rest of any that it has begun,
// within a time. One that has said something proper may stay idle.
func TestSilentPeersTimeOut(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.commandTimeout = time.Second
	idle := dial(t, srv.listener.Addr().String())
	idle.send(encodeCommand("ECHO")) // there before anybody waits for it
	router := startServer(t, srv)
	idle.wantLine("-ERR unknown command")
	late := map[string]*testClient{}
	for _, begun := range []string{"", "\r\n", "*0\r\n", "PI", "*4\r\n$5\r\nC.GET\r\n$2\r\nk"} {
		late[begun] = dial(t, router.addr)
		late[begun].send(begun)
	}
	for begun, c := range late {
		if begun != "" && !strings.HasSuffix(begun, "\r\n") {
			if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("%q: answer %q", begun, got)
			}
		}
		c.wantClosed()
	}
	idle.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G") // idle for longer than the others were
	idle.wantLine("+PONG")
	if got := idle.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("answer %q", got)
	}
	idle.wantClosed()
}

func TestRetryAfterRoundsUp(t *testing.T) {
	for wait, want := range map[policy.Time]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 1000: "-BUSY 1\r\n", 1001: "-BUSY 2\r\n", 600_000: "-BUSY 600\r\n"} {
		if got := string(appendBusy(nil, wait)); got != want {
			t.Errorf("%d: %q, want %q", wait, got, want)
		}
	}
}

// TestMaxOpenRequests: what is over the settings' bound is refused before it reaches the module.
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
