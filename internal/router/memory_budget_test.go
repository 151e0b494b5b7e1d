package router

import (
	"bytes"
	"strings"
	"testing"

	"marlstage/internal/config"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// TestBudgetFitsIntoTheMemory checks that the budget and what is reserved beside it fit into the memory limit, from the
// least limits that the operators name.
func TestBudgetFitsIntoTheMemory(t *testing.T) {
	for _, limits := range []config.Limits{
		{MemoryMB: 32, Sockets: 256}, {MemoryMB: 32, Sockets: 1024}, {MemoryMB: 48, Sockets: 512}, {MemoryMB: 192, Sockets: 1024},
	} {
		descriptors := newDescriptorBudget(limits.Sockets)
		budget := newMemoryBudget(limits).limit.Load()
		connections := descriptors.maxClientConns*clientConnMemory + int64(descriptors.maxUpstreamConns)*upstreamConnMemory
		heap := engineMemory + int64(limits.MaxTrackedKeys())*config.TrackedKeyBytes + connections + budget*budgetDenominator/budgetNumerator
		if heap > limits.HeapLimit() || budget < 4*mebibyte {
			t.Errorf("%+v: budget %d, %d bytes with all else, of %d", limits, budget, heap, limits.HeapLimit())
		}
	}
}

// TestNoUseTakesAllMemory checks that partial commands, whole commands and replies leave memory to the others.
func TestNoUseTakesAllMemory(t *testing.T) {
	const step = 1 << 10
	budget := newMemoryBudget(config.Limits{MemoryMB: 32, Sockets: 1024})
	fill := func(use memoryUse) (held int64) {
		for budget.tryAcquire(use, step) {
			held += step
		}
		return held
	}
	limit := budget.limit.Load()
	for _, use := range []memoryUse{memoryPartialCommands, memoryWholeCommands, memoryQueuedReplies} {
		if held := fill(use); held > limit/groupDivisor || held < limit/groupDivisor-step {
			t.Errorf("%v: %d of %d bytes", use, held, limit)
		}
	}
	for _, use := range []memoryUse{memoryReadAhead, memoryUpstreamReplies} { // their groups are full
		if held := fill(use); held != 0 {
			t.Errorf("%v: %d bytes", use, held)
		}
	}
	if held := fill(memoryRequests); held < limit/groupDivisor-4*step {
		t.Errorf("%d bytes were left to requests", held)
	}
	budget.reserve(10 * limit)
	if got := budget.limit.Load(); got != limit/2 {
		t.Errorf("many caches leave %d of %d bytes", got, limit)
	}
}

// TestHoldsMoveAndEnd checks that memory is counted once while it moves from one purpose to another, and that only the
// first release has an effect.
func TestHoldsMoveAndEnd(t *testing.T) {
	budget := testMemory()
	from := &memoryHold{budget: budget, use: memoryPartialCommands}
	to := &memoryHold{budget: budget, use: memoryRequests}
	from.grow(1000)
	part := from.split(400)
	from.moveTo(to)
	if got := budget.uses[memoryRequests].Load(); got != 600 || budget.inUse.Load() != 1000 {
		t.Errorf("%d bytes moved, %d in use", got, budget.inUse.Load())
	}
	for range 2 {
		part.release()
		to.release()
		from.release()
	}
	if got := budget.inUse.Load(); got != 0 {
		t.Errorf("%d bytes in use at the end", got)
	}
}

// TestReadBufferHandsOver checks that a large command takes over the buffer and its memory, that a small one is copied, and
// that the bytes behind either stay.
func TestReadBufferHandsOver(t *testing.T) {
	for _, size := range []int{10, minReadBuffer, 3 * minReadBuffer, 20 * minReadBuffer} {
		budget := testMemory()
		buffer := newReadBuffer(budget)
		content := append(bytes.Repeat([]byte("c"), size), "rest"...)
		for sent := 0; sent < len(content); {
			if !buffer.makeRoom(len(content)-sent, false) {
				t.Fatalf("%d bytes: no room", size)
			}
			n := copy(buffer.free(buffer.space()), content[sent:])
			buffer.received(n)
			sent += n
		}
		held := buffer.hold.bytes.Load()
		handsOver := buffer.handsOver(size)
		request := &memoryHold{budget: budget, use: memoryRequests}
		taken := buffer.take(size, request)
		if string(taken) != string(content[:size]) || string(buffer.unread()) != "rest" {
			t.Errorf("%d bytes: took %d, left %q", size, len(taken), buffer.unread())
		}
		if handsOver && request.bytes.Load() != held || !handsOver && request.bytes.Load() != 0 {
			t.Errorf("%d bytes: %d of %d bytes moved", size, request.bytes.Load(), held)
		}
		buffer.drop()
		request.release()
		if got := budget.inUse.Load(); got != 0 {
			t.Errorf("%d bytes: %d in use at the end", size, got)
		}
	}
}

// TestAnsweredCommandIsNotKept guards against commands in the memory budget whose replies wait for those before them: with
// large arguments they would take the memory for the commands of others.
func TestAnsweredCommandIsNotKept(t *testing.T) {
	argument := strings.Repeat("x", 60_000)
	for name, wire := range map[string]string{
		"unknown command":        encodeCommand("SUBSCRIBE", argument),
		"PING with a short text": encodeCommand("PING", "text", argument),
	} {
		t.Run(name, func(t *testing.T) {
			router, harness := startScriptedRouter(t)
			client := dial(t, router.addr)
			client.send(strings.Repeat(getCommand("r"), maxPipelined+1))
			harness.waitForFullReplyQueue()
			client.send(wire)
			conn := harness.onlyClientConn()
			waitUntil(t, "a reply without space", conn.awaitsQueueSpace.Load)
			if held := conn.reader.buf.hold.bytes.Load() + conn.reader.buf.wholeHold.bytes.Load(); held != 0 {
				t.Errorf("%d bytes of commands are held", held)
			}
		})
	}
}

// TestAnsweredRequestIsNotKept guards against requests that timers keep in memory until their time is up: after the reply,
// neither the loop nor its timers hold anything of the request.
func TestAnsweredRequestIsNotKept(t *testing.T) {
	cache := newFakeCache(t)
	harness := newLoopHarness(t, cache.addr(), nil)
	req := harness.newRequest(nil)
	harness.sendAttempt(req, longTimeout)
	receive(t, cache.commands, "command").reply(t, servedReply)
	harness.wantOutcome(policy.Served)
	harness.do(func() {
		for _, a := range req.attempts {
			for _, timer := range a.timers {
				if timer.run != nil {
					t.Errorf("a timer due at %d keeps the attempt", timer.at)
				}
			}
		}
		before := len(harness.loop.timers)
		harness.loop.pruneTimers()
		if after := len(harness.loop.timers); after >= before {
			t.Errorf("%d timers of %d are left", after, before)
		}
	})
}

// TestPartialCommandsAreGivenUpWithoutMemory checks that clients which stop in the middle of large commands are told -BUSY
// once memory is short, and that a command of another client that has been received completely is served meanwhile.
func TestPartialCommandsAreGivenUpWithoutMemory(t *testing.T) {
	srv, harness := newScriptedServer(t, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	srv.memory.total = groupDivisor * 3 * resp.MaxValueSize
	router := startServer(t, srv)
	large := encodeCommand("C.SET", "k1", "r1", "c=put,k=a,d=20000", strings.Repeat("v", resp.MaxValueSize))
	partial := large[:len(large)-3]
	var peers []*testClient
	for range 6 {
		peer := dial(t, router.addr)
		peer.send(partial)
		peers = append(peers, peer)
	}
	waitUntil(t, "a partial command that is given up", func() bool {
		return srv.loop.statistics.clientEnds[closedGivenUp].Load() > 0
	})
	dial(t, router.addr).send(large)
	harness.waitForOpenRequests(1)
	if held := srv.memory.groups[groupReceiving].Load(); held > srv.memory.limit.Load()/groupDivisor {
		t.Errorf("partial commands hold %d bytes", held)
	}
	refused := 0
	for _, peer := range peers {
		if peer.readLine() == strings.TrimSpace(resp.BusyReply) {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no client of a partial command was told -BUSY")
	}
}
