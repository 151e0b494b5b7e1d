package router

import (
	"bytes"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/resp"
	"marlstage/policy"
)

// longTimeout is a deadline that no attempt of a test is meant to reach.
const longTimeout = 20 * time.Second

// unreachableAddr returns an address at which no connection is ever established, as its accept queue is full.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	addr, _ := listenWithFullAcceptQueue(t)
	return addr
}

// listenWithFullAcceptQueue returns a listening socket whose accept queue is full.
func listenWithFullAcceptQueue(t *testing.T) (addr string, fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
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
	t.Fatal("the accept queue does not fill")
	return "", 0
}

// newHarnessWithExhaustedPool returns a rig whose connections to the server are all in use, by the commands it returns.
func newHarnessWithExhaustedPool(t *testing.T) (*loopHarness, *fakeCache, []fakeCommand) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), func(c *config.Config) { c.Settings.Routers = 1000 })
	var busy []fakeCommand
	for range minConnsPerRouter {
		r.sendAttempt(r.newRequest(nil), longTimeout)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	return r, cache, busy
}

// wantNothingForwarded replies to the commands that use the connections and has one more request served: had anything
// else been forwarded before it, the server would have received that by then.
func wantNothingForwarded(t *testing.T, r *loopHarness, cache *fakeCache, busy []fakeCommand) {
	t.Helper()
	for _, cmd := range busy {
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := resp.ParseCommand(args, 100)
	if err != nil {
		t.Fatal(err)
	}
	r.sendAttempt(r.acceptCommand(cmd), longTimeout)
	if got := receive(t, cache.commands, "command"); got.args[2] != "last" {
		t.Errorf("the server was sent %q", got.args)
	}
}

// nonReadingCache accepts connections and reads nothing from them.
func nonReadingCache(t *testing.T) (addr string, conns chan net.Conn) {
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

// largeRequest returns a request that no socket takes at once.
func largeRequest(r *loopHarness) *request {
	q := r.newRequest([]byte("v"))
	r.do(func() { q.command.Args[resp.ValueArgument] = bytes.Repeat([]byte("v"), 64<<20) })
	return q
}
