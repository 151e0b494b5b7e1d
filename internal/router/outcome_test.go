package router

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"marlstage/policy"
)

const long = 20 * time.Second

// TestAnswersAndTheirOutcomes holds the rows of the protocol's table in which an answer comes.
func TestAnswersAndTheirOutcomes(t *testing.T) {
	for _, c := range []struct {
		wire   string
		result policy.Result
		miss   bool
	}{
		{servedReply, policy.Served, false},
		{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$-1\r\n", policy.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$7\r\npending\r\n$22\r\ninflight=7,util=0.61,x\r\n", policy.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", policy.Served, false},
		{"-ERR failed\r\n", policy.ServerError, false},
		{"-BUSY\r\n", policy.Rejected, false},
		{"-SYNTAX\r\n", policy.ServerError, false},
		{"*3\r\n$-1\r\n$-1\r\n$-1\r\n", policy.ServerError, false}, // a value that is null serves nobody
		{"*1\r\n$5\r\nvalue\r\n", policy.ServerError, false},
		{"*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n", policy.ServerError, false},
		{"*4\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n", policy.ServerError, false},
		{"*3\r\n$5\r\nvalue\r\n:1\r\n$-1\r\n", policy.ServerError, false},
		{"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n*0\r\n", policy.ServerError, false},
	} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		q := r.newRequest(nil)
		r.sendAttempt(q, long)
		cmd := receive(t, cache.commands, "command")
		cmd.reply(t, c.wire)
		o := r.wantOutcome(c.result)
		if o.Miss != c.miss || o.Final != (c.result == policy.Served) {
			t.Errorf("%q: miss %v, last %v", c.wire, o.Miss, o.Final)
		}
		if c.result == policy.Served {
			if got := string(receive(t, q.slot.reply, "answer")); got != "$5\r\nvalue\r\n" {
				t.Errorf("%q: the client got %q", c.wire, got)
			}
		}
	}
}

func TestLoadReport(t *testing.T) {
	l := parseLoad("inflight=7,util=0.61,eps=2,queue=NaN")
	if l.Utilization != 0.61 || l.ErrorRate != 2 {
		t.Errorf("load %+v", l)
	}
	if l := parseLoad("util=-1"); l.Utilization != -1 {
		t.Errorf("a bad figure gave %+v", l)
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r := newLoopHarness(t, addr, nil)
	r.sendAttempt(r.newRequest(nil), long)
	r.wantOutcome(policy.ConnectFailed)
}

// unreachable is an address at which connections never come up: its queue is full.
func unreachable(t *testing.T) string {
	t.Helper()
	addr, _ := fullQueue(t)
	return addr
}

// fullQueue is a socket that listens and has no room for connections.
func fullQueue(t *testing.T) (addr string, fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 20 {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return addr, fd
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("the queue does not fill")
	return "", 0
}

func TestConnectionThatNeverComesUpNeverRan(t *testing.T) {
	r := newLoopHarness(t, unreachable(t), func(c *Config) { c.Transport.DialTimeout = 50_000 })
	r.sendAttempt(r.newRequest(nil), long)
	r.wantOutcome(policy.ConnectFailed)
}

// TestDrainAgainstPendingDial: what waits for a connection is not sent once the drain is known.
func TestDrainAgainstPendingDial(t *testing.T) {
	addr := unreachable(t)
	r := newLoopHarness(t, addr, nil)
	r.sendAttempt(r.newRequest(nil), long)
	r.do(func() {
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c1", addr, "terminating"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.kind())
	})
	r.wantOutcome(policy.NotSent)
}

// busyPool makes a rig whose connections to the cache are all in use.
func busyPool(t *testing.T) (*loopHarness, *fakeCache, []fakeCommand) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
	var busy []fakeCommand
	for range minConns {
		r.sendAttempt(r.newRequest(nil), long)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	return r, cache, busy
}

// freed ends what holds the connections and has one more request served: had anything else
// been sent on before it, the cache would have it by then.
func freed(t *testing.T, r *loopHarness, cache *fakeCache, busy []fakeCommand) {
	t.Helper()
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := parseCommand(args, 100)
	if err != nil {
		t.Fatal(err)
	}
	r.sendAttempt(r.acceptCommand(cmd), long)
	if got := receive(t, cache.commands, "command"); got.args[2] != "last" {
		t.Errorf("the cache was sent %q", got.args)
	}
}

// TestWaitingAttemptIsNotSentWhenItsRequestIsOver holds the last look before the first byte.
func TestWaitingAttemptIsNotSentWhenItsRequestIsOver(t *testing.T) {
	for name, end := range map[string]func(*loopHarness, *request){
		"refused":   func(r *loopHarness, q *request) { r.loop.perform(policy.Reject{ID: q.id}) },
		"failed":    func(r *loopHarness, q *request) { r.loop.perform(policy.Fail{ID: q.id}) },
		"cancelled": func(r *loopHarness, q *request) { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"departed":  func(r *loopHarness, q *request) { r.loop.clientGone(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			r, cache, busy := busyPool(t)
			q := r.newRequest(nil)
			r.sendAttempt(q, long)
			r.do(func() { end(r, q) })
			r.wantOutcome(policy.NotSent)
			freed(t, r, cache, busy)
		})
	}
}

func TestWaitingAttemptIsNotSentAfterItsTime(t *testing.T) {
	r, cache, busy := busyPool(t)
	r.sendAttempt(r.newRequest(nil), time.Millisecond)
	r.wantOutcome(policy.NotSent)
	freed(t, r, cache, busy)
}

func TestFullPoolCountsAsNoConnection(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
	for range minConns {
		r.sendAttempt(r.newRequest(nil), long)
		receive(t, cache.commands, "command")
	}
	r.do(func() { r.loop.cfg.Transport.DialTimeout = 1000 })
	r.sendAttempt(r.newRequest(nil), long)
	r.wantOutcome(policy.ConnectFailed)
}

// TestBurstDoesNotDialForEach: connections stay under the bound, and all is served in turn.
func TestBurstDoesNotDialForEach(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *Config) { c.Settings.Routers = 12 })
	const burst = 100
	for range burst {
		r.sendAttempt(r.newRequest(nil), long)
	}
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	if most := maxFleetConns / 12; len(conns) > most {
		t.Errorf("%d connections for %d requests, want %d at most", len(conns), burst, most)
	}
}

func TestBreakAfterTheLastByteMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, cache.commands, "command").conn.Close()
	r.wantOutcome(policy.ConnectionLost)
}

func TestBreakOnAReusedConnectionMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.sendAttempt(r.newRequest(nil), long)
	second := receive(t, cache.commands, "command")
	if second.conn != first.conn {
		t.Error("the idle connection was not used again")
	}
	second.conn.Close()
	r.wantOutcome(policy.ConnectionLost)
}

// deafCache takes connections and reads nothing.
func deafCache(t *testing.T) (addr string, conns chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = make(chan net.Conn, 10)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			conns <- nc
		}
	}()
	return ln.Addr().String(), conns
}

// huge makes a request that no socket takes at once.
func huge(r *loopHarness) *request {
	q := r.newRequest([]byte("v"))
	r.do(func() { q.command.args[optionsArgument+1] = bytes.Repeat([]byte("v"), 64<<20) })
	return q
}

func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := deafCache(t)
	r := newLoopHarness(t, addr, nil)
	r.sendAttempt(huge(r), long)
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	nc.Close() // with bytes unread: a reset
	r.wantOutcome(policy.ConnectFailed)
}

func TestGivingUpBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := deafCache(t)
	r := newLoopHarness(t, addr, nil)
	q := huge(r)
	r.sendAttempt(q, long)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	r.do(func() { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) })
	r.wantOutcome(policy.NotSent)
}

func TestNoAnswerInTimeMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), 3*time.Second)
	receive(t, cache.commands, "command")
	r.wantOutcome(policy.TimedOut)
	receive(t, cache.closed, "end of the connection")
}

func TestCancelClosesTheConnectionAndMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	q := r.newRequest(nil)
	r.sendAttempt(q, long)
	receive(t, cache.commands, "command")
	r.do(func() { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) })
	r.wantOutcome(policy.Cancelled)
	receive(t, cache.closed, "end of the connection")
}

// TestMalformedAnswers: a cache gone mad neither ends the router nor keeps it waiting.
func TestMalformedAnswers(t *testing.T) {
	for _, wire := range []string{"garbage\r\n", "$-5\r\n", "$9223372036854775807\r\n", "*9223372036854775807\r\n",
		"*3\r\n$5\r\nvalueXX$3\r\nhit\r\n", "*1\r\n$x\r\n", "*-7\r\n", "$3\r\nabcdef\r\n",
		"+" + strings.Repeat("x", 4*maxLineLength), "*2\r\n$1\r\na\r\n!\r\n", servedReply + "trailing"} {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		r.sendAttempt(r.newRequest(nil), long)
		receive(t, cache.commands, "command").reply(t, wire)
		if strings.HasPrefix(wire, servedReply) {
			r.wantOutcome(policy.Served)
			receive(t, cache.closed, "end of the connection that is out of step")
		} else if o := receive(t, r.outcomes, "outcome"); o.Result.NeverRan() || o.Result == policy.Served || o.Result == policy.TimedOut {
			t.Errorf("%.40q: outcome %d", wire, o.Result)
		}
	}
}

func TestAnswerInPieces(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	value := strings.Repeat("v", maxValueSize)
	q := r.newRequest(nil)
	r.sendAttempt(q, long)
	cmd := receive(t, cache.commands, "command")
	for _, part := range []string{"*", "3\r", "\n$6553", "6\r\n" + value[:1000], value[1000:], "\r", "\n$3\r\nhit", "\r\n$-1\r\n"} {
		cmd.reply(t, part)
	}
	r.wantOutcome(policy.Served)
	if got := receive(t, q.slot.reply, "answer"); string(got) != "$65536\r\n"+value+"\r\n" {
		t.Errorf("the client got %d bytes", len(got))
	}
}

func TestIdleConnectionsAreClosedOnRequest(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.do(func() { r.loop.perform(policy.CloseIdleConnections{Cache: "c1"}) })
	receive(t, cache.closed, "end of the idle connection")
}

func TestIdleConnectionsAreClosedBeforeTheCacheDoes(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *Config) { c.Transport.Keepalive = 1000 })
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
	receive(t, cache.closed, "end of the idle connection")
}

// TestWhatGoesOn: everything but d goes on as it came.
func TestWhatGoesOn(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	cmd, err := parseCommand([][]byte{[]byte("C.SET"), []byte("key"), []byte("id"),
		[]byte("c=put,t=acme,d=20000,k=5c0f,size=12"), []byte("\x00\r\nVALUE")}, 100)
	if err != nil {
		t.Fatal(err)
	}
	r.sendAttempt(r.acceptCommand(cmd), 10*time.Second)
	got := receive(t, cache.commands, "command").args
	if got[0] != "C.SET" || got[1] != "key" || got[2] != "id" || got[4] != "\x00\r\nVALUE" {
		t.Errorf("the cache was sent %q", got)
	}
	meta := strings.Split(got[3], ",")
	d, err := strconv.Atoi(strings.TrimPrefix(meta[2], "d="))
	meta[2] = "d"
	if strings.Join(meta, ",") != "c=put,t=acme,d,k=5c0f,size=12" || err != nil || d < 1 || d > 10_000 {
		t.Errorf("names and values %q", got[3])
	}
}

// TestFinalAnswerStopsAHalfWrittenAttempt: no more of it goes out, and it never ran.
func TestFinalAnswerStopsAHalfWrittenAttempt(t *testing.T) {
	addr, conns := deafCache(t)
	r := newLoopHarness(t, addr, nil)
	q := huge(r)
	r.sendAttempt(q, long)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.do(func() { r.loop.perform(policy.Reject{ID: q.id}) })
	r.wantOutcome(policy.NotSent)
	if got := string(receive(t, q.slot.reply, "answer")); got != busyReply {
		t.Errorf("the client got %q", got)
	}
}

// TestCacheThatMoves: connections to its old address are not used for new work.
func TestCacheThatMoves(t *testing.T) {
	old, moved := newFakeCache(t), newFakeCache(t)
	r := newLoopHarness(t, old.addr(), nil)
	r.sendAttempt(r.newRequest(nil), long)
	cmd := receive(t, old.commands, "command")
	r.do(func() {
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c1", moved.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.kind())
	})
	cmd.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, moved.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestClaimedPatienceIsBounded by what the settings say of any client.
func TestClaimedPatienceIsBounded(t *testing.T) {
	r := newLoopHarness(t, "127.0.0.1:1", nil)
	cmd, err := parseCommand([][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte("c=read,d=2000000000")}, 60)
	if err != nil {
		t.Fatal(err)
	}
	q := r.acceptCommand(cmd)
	r.do(func() {
		if q.deadline > r.loop.now+20_000_000 {
			t.Errorf("deadline %d at %d", q.deadline, r.loop.now)
		}
	})
}

// TestNoDescriptorSaysNothingOfTheCache: where the router had none left to ask it with, it did not fail.
func TestNoDescriptorSaysNothingOfTheCache(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() {
		r.loop.descriptors.maxUpstreamConns = 1
		h, err := parseHosts([]byte(endpointListJSON(2, false, endpointJSON("c2", cache.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.loop.applyEndpoints(h, h.kind())
	})
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, cache.commands, "command")
	q := r.newRequest(nil)
	r.do(func() {
		r.loop.cfg.Transport.DialTimeout = 1000
		r.loop.perform(policy.Send{ID: q.id, Cache: "c2", Deadline: q.deadline})
	})
	r.wantOutcome(policy.NotSent)
}

// TestGoneCachesAreForgotten, lest memory grow with every machine that ever was.
func TestGoneCachesAreForgotten(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() {
		for i := range 100 {
			h, err := parseHosts([]byte(endpointListJSON(i+2, true, endpointJSON("c1", cache.addr(), "in_service"),
				endpointJSON(fmt.Sprint("new", i), cache.addr(), "in_service"))))
			if err != nil {
				t.Error(err)
			}
			r.loop.applyEndpoints(h, h.kind())
			r.loop.sweepIdle()
		}
		if n := len(r.loop.pools); n != 2 {
			t.Errorf("%d caches are known, of which 2 are listed", n)
		}
	})
	r.sendAttempt(r.newRequest(nil), long)
	receive(t, cache.commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}
