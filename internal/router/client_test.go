package router

import (
	"log"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
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

// TestDrainWithRequestsInFlight: after SIGTERM, connections and requests are still taken, all that was
// taken is answered, and then the router ends.
func TestDrainWithRequestsInFlight(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.lateAcceptTime = 5 * time.Second // a slow machine must not miss it
	router := startServer(t, srv)
	idle, busy := dial(t, router.addr), dial(t, router.addr)
	idle.send(encodeCommand("PING"))
	idle.wantLine("+PONG")
	busy.send(getCommand("r1"))
	first := receive(t, cache.commands, "command")
	router.stop()
	late := dial(t, router.addr)
	late.send(getCommand("r2"))
	second := receive(t, cache.commands, "command")
	idle.wantClosed()
	first.reply(t, servedReply)
	second.reply(t, servedReply)
	busy.wantLine("value")
	busy.wantClosed()
	late.wantLine("value")
	late.wantClosed()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainTimeout: what can't be answered holds the router up no longer than the longest
// deadline allows, and so does a command that never becomes whole.
func TestDrainTimeout(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.engine = &scriptedEngine{} // answers nothing
	srv.loop.maxTimeout = 1000
	router := startServer(t, srv)
	stuck, half := dial(t, router.addr), dial(t, router.addr)
	stuck.send(encodeCommand("PING") + getCommand("r1"))
	stuck.readLine() // not ready: no cache is known
	half.send(encodeCommand("PING") + "*4\r\n$5\r\nC.G")
	half.readLine()
	router.stop()
	if err := receive(t, router.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestIdleClientsAreEvicted: clients that hold connections without using them don't shut out others.
func TestIdleClientsAreEvicted(t *testing.T) {
	cache := newFakeCache(t)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, endpointJSON("c1", cache.addr(), "in_service")))
	busy := dial(t, router.addr)
	busy.send(getCommand("r1"))
	cmd := receive(t, cache.commands, "command")
	var all []*testClient
	for range 4 * int(router.srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(encodeCommand("PING"))
		client.wantLine("+PONG")
		all = append(all, client)
	}
	all[0].wantClosed()
	cmd.reply(t, servedReply) // one with work in hand is left alone
	busy.wantLine("value")
}

// TestFreedDescriptorIsReusedAtOnce: a descriptor that comes free lets the next client in, with no pause.
func TestFreedDescriptorIsReusedAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, endpointJSON("c1", "127.0.0.1:1", "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.acceptBackoff = 2 * testTimeout
	router := startServer(t, srv)
	for range 4 * int(srv.descriptors.maxClientConns) {
		client := dial(t, router.addr)
		client.send(encodeCommand("PING"))
		client.readLine()
	}
}

// exhaustedListener is a listener that has no descriptors for a while.
type exhaustedListener struct {
	net.Listener
	failuresLeft atomic.Int64
}

func (e *exhaustedListener) Accept() (net.Conn, error) {
	if e.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

// TestOutOfDescriptors: EMFILE does not end the accept loop.
func TestOutOfDescriptors(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	ln := &exhaustedListener{Listener: srv.listener}
	ln.failuresLeft.Store(3)
	srv.listener = ln
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	if left := ln.failuresLeft.Load(); left > 0 {
		t.Errorf("%d failures to come", left)
	}
}

// TestUpstreamDescriptorLimit: where the caches' descriptors are used up, an attempt waits for one,
// and an idle connection to another cache makes room.
func TestUpstreamDescriptorLimit(t *testing.T) {
	cache, other := newFakeCache(t), newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	harness.do(func() {
		harness.loop.descriptors.maxUpstreamConns = 1
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c2", other.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		harness.loop.applyEndpoints(h, h.kind())
	})
	harness.sendAttempt(harness.newRequest(nil), long)
	cmd := receive(t, cache.commands, "command")
	req := harness.newRequest(nil)
	harness.do(func() { harness.loop.perform(policy.Send{ID: req.id, Cache: "c2", Deadline: req.deadline}) })
	harness.do(func() {
		if harness.loop.upstreamConns != 1 || !harness.loop.descriptorStarved {
			t.Errorf("%d connections, starved %v", harness.loop.upstreamConns, harness.loop.descriptorStarved)
		}
	})
	cmd.conn.Close()
	harness.wantOutcome(policy.ConnectionLost)
	receive(t, other.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.sendAttempt(harness.newRequest(nil), long) // the other cache's connection is idle now
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	receive(t, other.closed, "end of the idle connection")
}

// blockedWriter takes nothing until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestBlockedLogDoesNotBlockEventLoop does not hold the loop up.
func TestBlockedLogDoesNotBlockEventLoop(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	stuck := blockedWriter{make(chan struct{})}
	defer log.SetOutput(log.Writer())
	defer close(stuck.release)
	log.SetOutput(stuck)
	harness.do(func() {
		for range 4 * logQueueSize {
			harness.loop.perform(policy.Log{Text: "line"})
		}
	})
}
