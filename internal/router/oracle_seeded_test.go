package router

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlstage/internal/resp"
)

// seededRouter is a fake router with a deliberate (seeded) fault. A script tells how it serves its one
// client connection.
type seededRouter struct {
	t      *testing.T
	oracle *oracle
	client net.Conn
	cache  string
	buf    []byte
	skew   *atomic.Int64 // nanoseconds by which the oracle's clock is ahead
	left   chan struct{} // closed when the client has left and the oracle has recorded it
}

// next returns the next command of the client.
func (r *seededRouter) next() resp.Command {
	for {
		args, size, err := resp.NextCommand(r.buf)
		if err != nil {
			r.t.Errorf("seeded router: %v", err)
			return resp.Command{}
		}
		if size > 0 {
			cmd, err := resp.ParseCommand(args, size)
			if err != nil {
				r.t.Errorf("seeded router: %v", err)
			}
			r.buf = r.buf[size:]
			return cmd
		}
		received := make([]byte, 4096)
		n, err := r.client.Read(received)
		if err != nil {
			r.t.Errorf("seeded router: %v", err)
			return resp.Command{}
		}
		r.oracle.routerRead(r.client.RemoteAddr().String(), n)
		r.buf = append(r.buf, received[:n]...)
	}
}

// forward sends a command to the cache, with extra added to its timeout, and returns the reply.
func (r *seededRouter) forward(cmd resp.Command, extra time.Duration) string {
	nc, err := net.Dial("tcp", r.cache)
	if err != nil {
		r.t.Errorf("seeded router: %v", err)
		return ""
	}
	defer nc.Close()
	if _, err := nc.Write(cmd.Encode(cmd.Timeout + extra.Microseconds())); err != nil {
		r.t.Errorf("seeded router: %v", err)
	}
	reply, _, err := resp.ReadReply(nc, nil)
	if err != nil {
		r.t.Errorf("seeded router: %v", err)
		return ""
	}
	return string(reply.Value)
}

func (r *seededRouter) write(wire string) { _, _ = io.WriteString(r.client, wire) }

// serveNext serves the next command without a fault.
func (r *seededRouter) serveNext() { r.write(r.forward(r.next(), 0)) }

// awaitClientEnd waits until the client has closed the connection.
func (r *seededRouter) awaitClientEnd() { _, _ = io.Copy(io.Discard, r.client) }

// advanceClock sets the oracle's clock forward.
func (r *seededRouter) advanceClock(by time.Duration) { r.skew.Add(int64(by)) }

// seededFault is a fault of a router and the violation that the oracle must report for it.
type seededFault struct {
	name           string
	class          string // of the two requests that the client sends at once
	serve          func(*seededRouter)
	leaves         bool   // the client closes as soon as both are written
	halfCloseAfter int    // if positive, the client half-closes after so many answers; not reported to the oracle
	staysOpen      bool   // the router leaves the connection open
	want           string // text in a reported violation; empty if there must be none
}

// seededFaults serve two requests, "r0" and "r1".
var seededFaults = []seededFault{
	{name: "no fault", serve: func(r *seededRouter) {
		r.serveNext()
		r.serveNext()
	}},
	{name: "error lines are answers", serve: func(r *seededRouter) {
		r.next()
		r.write("-BUSY\r\n")
		r.next()
		r.write(resp.FailedReply)
	}},
	{name: "dropped answer", want: "r1: lost: the router has read it", serve: func(r *seededRouter) {
		r.serveNext()
		r.next()
	}},
	{name: "forwarded and dropped", want: "r1: lost: the router has read it", serve: func(r *seededRouter) {
		r.serveNext()
		r.forward(r.next(), 0)
	}},
	{name: "never answered", halfCloseAfter: 1, staysOpen: true, want: "r1: lost: no answer in time", serve: func(r *seededRouter) {
		r.serveNext()
		r.next()
		r.awaitClientEnd()
	}},
	{name: "swapped answers", want: `r0: wrong answer "value-of-r1"`, serve: func(r *seededRouter) {
		first := r.forward(r.next(), 0)
		r.serveNext()
		r.write(first)
	}},
	{name: "answer of another request", want: `r1: wrong answer "value-of-r0"`, serve: func(r *seededRouter) {
		first := r.forward(r.next(), 0)
		r.next()
		r.write(first + first)
	}},
	{name: "half an answer", want: "r1: lost: the answer ends after", serve: func(r *seededRouter) {
		r.serveNext()
		second := r.forward(r.next(), 0)
		r.write(second[:len(second)-4])
	}},
	{name: "two answers", want: "3 answers to 2 requests", serve: func(r *seededRouter) {
		r.serveNext()
		second := r.forward(r.next(), 0)
		r.write(second + second)
	}},
	{name: "protocol error", want: `r1: wrong answer "-ERR Protocol error`, serve: func(r *seededRouter) {
		r.serveNext()
		r.next()
		r.write("-ERR Protocol error: too big a command\r\n")
	}},
	{name: "late answer", want: "r1: late answer", serve: func(r *seededRouter) {
		r.serveNext()
		second := r.forward(r.next(), 0)
		r.advanceClock(seededTimeout + lateReplyAllowance)
		r.write(second)
	}},
	{name: "forwarded after the client's end", leaves: true, want: "r0: an attempt began", serve: func(r *seededRouter) {
		cmd := r.next()
		<-r.left
		r.advanceClock(disconnectGrace)
		r.forward(cmd, -disconnectGrace)
	}},
	{name: "forwarded after the answer", halfCloseAfter: 2, want: "after the final answer", serve: func(r *seededRouter) {
		cmd := r.next()
		r.write(r.forward(cmd, 0))
		r.serveNext()
		r.awaitClientEnd()
		r.forward(cmd, 0)
	}},
	{name: "forwarded after the deadline", want: "r1: an attempt began", serve: func(r *seededRouter) {
		r.serveNext()
		cmd := r.next()
		r.write("-BUSY\r\n")
		r.advanceClock(seededTimeout + timeoutAllowance)
		r.forward(cmd, -seededTimeout)
	}},
	{name: "too long a timeout", want: "r1: a cache was told a timeout", serve: func(r *seededRouter) {
		r.serveNext()
		r.write(r.forward(r.next(), timeoutAllowance+time.Second))
	}},
	{name: "the whole timeout for a retry", want: "r1: a cache was told a timeout", serve: func(r *seededRouter) {
		r.serveNext()
		cmd := r.next()
		r.forward(cmd, 0)
		r.advanceClock(timeoutAllowance)
		r.write(r.forward(cmd, 0))
	}},
	{name: "retry", serve: func(r *seededRouter) {
		r.serveNext()
		cmd := r.next()
		r.forward(cmd, 0)
		r.write(r.forward(cmd, 0))
	}},
	{name: "retry of what must not run twice", class: classOnce, want: "r1: sent again", serve: func(r *seededRouter) {
		r.serveNext()
		cmd := r.next()
		r.forward(cmd, 0)
		r.write(r.forward(cmd, 0))
	}},
	{name: "forwarded to a draining cache", want: "r1: an attempt began at draining cache c1", serve: func(r *seededRouter) {
		r.serveNext()
		r.oracle.cacheDraining("c1")
		r.serveNext()
	}},
	{name: "closed after a part was read", want: "r0: lost: the router has read it", serve: func(r *seededRouter) {
		part := make([]byte, 1)
		if _, err := io.ReadFull(r.client, part); err != nil {
			r.t.Error(err)
		}
		r.oracle.routerRead(r.client.RemoteAddr().String(), len(part))
	}},
	{name: "closed unread", serve: func(r *seededRouter) {
		r.oracle.routerRead(r.client.RemoteAddr().String(), 0)
	}},
}

const seededTimeout = 5 * time.Second

// TestOracleReportsSeededFaults checks that the oracle reports each seeded fault, and nothing for a router
// without one. An oracle that misses faults would let the fault matrix pass.
func TestOracleReportsSeededFaults(t *testing.T) {
	for _, seeded := range seededFaults {
		t.Run(seeded.name, func(t *testing.T) { testSeededFault(t, seeded) })
	}
}

func testSeededFault(t *testing.T, seeded seededFault) {
	var skew atomic.Int64
	o := newOracle(oracleSlack{})
	o.now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	cache := newOracleCache(t, o, "c1", func(id string, _ int) cacheAnswer { return cacheAnswer{wire: servedWire(id)} })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	client, err := dialOracle(o, ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	class := seeded.class
	if class == "" {
		class = classRead
	}
	client.send([]*oracleRequest{
		{id: "r0", class: class, timeout: seededTimeout},
		{id: "r1", class: class, timeout: seededTimeout},
	}, nil)
	router := &seededRouter{t: t, oracle: o, client: nc, cache: cache.addr(), skew: &skew, left: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		seeded.serve(router)
	}()
	if seeded.leaves {
		client.close()
		close(router.left)
	}
	if n := seeded.halfCloseAfter; n > 0 {
		client.awaitAnswers(n, testTimeout)
		_ = client.nc.CloseWrite() // fails only if the connection has ended, which the violations show
	}
	receive(t, served, "end of the seeded router")
	if !seeded.staysOpen {
		_ = nc.Close()
		receive(t, client.ended, "end of the connection")
	}
	violations := o.violations()
	_ = nc.Close()
	wantViolations(t, violations, seeded.want)
}

// wantViolations checks that at least one violation contains the wanted text, or that there is none if the
// text is empty.
func wantViolations(t *testing.T, got []string, want string) {
	t.Helper()
	if want == "" && len(got) > 0 || want != "" && len(got) == 0 {
		t.Errorf("violations %q, want %q", got, want)
	}
	reported := want == ""
	for _, violation := range got {
		reported = reported || strings.Contains(violation, want)
	}
	if !reported {
		t.Errorf("violations %q, want %q", got, want)
	}
}
