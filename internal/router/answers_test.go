package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlstage/policy"
)

// breaks are the ways in which a connection ends under an answer.
var breaks = map[string]func(net.Conn){
	"reset": func(nc net.Conn) {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	},
	"closed": func(nc net.Conn) { nc.Close() },
}

// cutAnswers are beginnings of answers.
var cutAnswers = map[string]string{
	"nothing":                  "",
	"type":                     "*",
	"array header":             "*3\r\n",
	"length":                   "*3\r\n$",
	"value":                    "*3\r\n$5\r\nval",
	"value without its end":    "*3\r\n$5\r\nvalue",
	"half of its end":          "*3\r\n$5\r\nvalue\r",
	"first element":            "*3\r\n$5\r\nvalue\r\n",
	"length of how it went":    "*3\r\n$5\r\nvalue\r\n$3\r\n",
	"null without its end":     "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1",
	"all but the last byte":    servedReply[:len(servedReply)-1],
	"line of an error":         "-ERR fai",
	"refusal without its end":  "-BUSY",
	"refusal with half an end": "-BUSY\r",
	"bulk string":              "$5\r\nval",
	"large value":              "*3\r\n$65536\r\n" + strings.Repeat("v", maxValueSize/2),
}

// TestAnswerThatBreaksOff is a reset of an attempt that may have run, however much of it has come.
func TestAnswerThatBreaksOff(t *testing.T) {
	for how, end := range breaks {
		for name, wire := range cutAnswers {
			t.Run(name+", "+how, func(t *testing.T) {
				cache := newFakeCache(t)
				r := newLoopHarness(t, cache.addr(), nil)
				q := r.newRequest(nil)
				r.sendAttempt(q, long)
				cmd := receive(t, cache.commands, "command")
				cmd.reply(t, wire)
				end(cmd.conn)
				if o := r.wantOutcome(policy.ConnectionLost); o.Final {
					t.Error("the request is over")
				}
				r.do(func() {
					if len(q.slot.reply) > 0 || r.loop.upstreamConns != 0 {
						t.Errorf("%d answers to the client, %d connections", len(q.slot.reply), r.loop.upstreamConns)
					}
				})
			})
		}
	}
}

// TestSafeRequestGoesElsewhere after an answer that broke off, and the client gets one whole answer.
func TestSafeRequestGoesElsewhere(t *testing.T) {
	for how, end := range breaks {
		for name, wire := range cutAnswers {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				caches := []*fakeCache{newFakeCache(t), newFakeCache(t)}
				r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", caches[0].addr(), "in_service"),
					endpointJSON("c2", caches[1].addr(), "in_service")))
				c := dial(t, r.addr)
				c.send(getCommand("r1") + encodeCommand("PING"))
				var first, second fakeCommand
				other := caches[1]
				select {
				case first = <-caches[0].commands:
				case first = <-caches[1].commands:
					other = caches[0]
				case <-time.After(testTimeout):
					t.Fatal("no command came")
				}
				first.reply(t, wire)
				end(first.conn)
				second = receive(t, other.commands, "command at the other cache")
				second.reply(t, otherServedReply)
				c.wantLine("another")
				c.wantLine("+PONG")
			})
		}
	}
}

// brokenDiscovery answers each call with the same bytes and ends the connection.
func brokenDiscovery(t *testing.T, wire string, end func(net.Conn)) (addr string, calls chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls = make(chan string, 1000)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(nc))
			if err == nil {
				io.WriteString(nc, wire)
				calls <- req.URL.String()
			}
			end(nc)
		}
	}()
	return ln.Addr().String(), calls
}

const ok = "HTTP/1.1 200 OK\r\n"

// TestListThatBreaksOff: a list without a length is whole at an orderly end. A reset is no end, also behind what
// could be read as a list, and neither is an end within what was announced.
func TestListThatBreaksOff(t *testing.T) {
	body := endpointListJSON(9, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	length := fmt.Sprintf(ok+"Content-Length: %d\r\n\r\n", len(body))
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	for _, c := range []struct {
		name, wire string
		whole      bool // where the end is orderly
		reset      bool // ... and where it is not: all that was announced has come
	}{
		{"without a length", ok + "Connection: close\r\n\r\n" + body, true, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + body, true, false},
		{"without a length, cut", ok + "Connection: close\r\n\r\n" + body[:len(body)-1], false, false},
		{"without a length, empty", ok + "Connection: close\r\n\r\n", false, false},
		{"chunked, whole", chunked + chunk + "0\r\n\r\n", true, true},
		{"chunked, without its end", chunked + chunk, false, false},
		{"chunked, with half its end", chunked + chunk + "0\r\n", false, false},
		{"chunked, cut", chunked + chunk[:len(chunk)/2], false, false},
		{"with a length, whole", length + body, true, true},
		{"with a length, cut", length + body[:len(body)-1], false, false},
		{"header, cut", length[:len(length)-3], false, false},
	} {
		for how, end := range breaks {
			t.Run(c.name+", "+how, func(t *testing.T) {
				addr, calls := brokenDiscovery(t, c.wire, end)
				h, err := newDiscovery(testConfig(t, addr, nil)).call(context.Background(), 5)
				receive(t, calls, "call")
				switch whole := how == "closed" && c.whole; {
				case whole && (err != nil || h.index != 9):
					t.Errorf("a whole list: %v", err)
				case how == "reset" && c.reset: // the reset may overtake what is still to be read
				case !whole && err == nil:
					t.Errorf("taken: %+v", h)
				}
			})
		}
	}
}

// TestWatchIsOpenedAgainAfterAListThatBroke, for the version that is known, within the pause after one failure.
func TestWatchIsOpenedAgainAfterAListThatBroke(t *testing.T) {
	body := endpointListJSON(9, true, endpointJSON("c2", "127.0.0.1:1", "in_service"))
	for how, end := range breaks {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(how+", "+mode, func(t *testing.T) {
				wire := ok + "Connection: close\r\n\r\n" + body
				if how == "closed" {
					wire = wire[:len(wire)-1]
				}
				addr, calls := brokenDiscovery(t, wire, end)
				cfg := testConfig(t, addr, func(in map[string]any) {
					settings := in["settings"].(map[string]any)
					settings["discovery"] = mode
					settings["rules"].(map[string]any)["askEvery"] = 1_000_000
				}, endpointJSON("c1", "127.0.0.1:1", "in_service"))
				r := startRouter(t, cfg)
				rig := &loopHarness{t: t, loop: r.srv.loop}
				for range 3 {
					if query := receive(t, calls, "call"); !strings.Contains(query, "?after=1&") {
						t.Errorf("call %s", query)
					}
				}
				rig.do(func() {
					if r.srv.loop.endpointsVersion != 1 || r.srv.loop.pools["c2"] != nil {
						t.Errorf("the broken list was taken: version %d", r.srv.loop.endpointsVersion)
					}
				})
			})
		}
	}
}

// lateCache is a cache whose connections come up late: the first try of each has found no room, and up makes some.
func lateCache(t *testing.T) (addr string, up func() *fakeCache) {
	t.Helper()
	addr, fd := fullQueue(t)
	return addr, func() *fakeCache {
		t.Helper()
		if err := syscall.Listen(fd, 1000); err != nil {
			t.Fatal(err)
		}
		dup, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(dup), "listener")
		defer f.Close()
		ln, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		return serveFakeCache(t, ln)
	}
}

func (h *loopHarness) wantDescriptors(n int) {
	h.t.Helper()
	h.do(func() {
		if u := h.loop.pools["c1"]; h.loop.upstreamConns != n || len(u.conns) != n || len(u.idle) != n || u.dialing != 0 {
			h.t.Errorf("%d descriptors, %d connections, %d idle, %d dials; want %d idle", h.loop.upstreamConns, len(u.conns), len(u.idle),
				u.dialing, n)
		}
	})
}

// TestLateConnectionsInTime: all of a burst is served once they are up, and each descriptor is counted once.
func TestLateConnectionsInTime(t *testing.T) {
	addr, up := lateCache(t)
	r := newLoopHarness(t, addr, nil)
	const burst = 50
	for range burst {
		r.sendAttempt(r.newRequest(nil), long)
	}
	r.do(func() {
		if u := r.loop.pools["c1"]; u.dialing != maxDials || len(u.queue) != burst {
			t.Errorf("%d dials, %d attempts wait", u.dialing, len(u.queue))
		}
	})
	cache := up()
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
	waitUntil(t, "an end of the dials", func() (none bool) {
		r.do(func() { none = r.loop.pools["c1"].dialing == 0 })
		return none
	})
	r.do(func() {
		r.loop.perform(policy.CloseIdleConnections{Cache: "c1"})
	})
	for range conns {
		receive(t, cache.closed, "end of an idle connection")
	}
	r.wantDescriptors(0)
}

// TestConnectionsLaterThanTheSettingsAllow: the attempts could not connect, and nothing of them is written when
// the cache has room again.
func TestConnectionsLaterThanTheSettingsAllow(t *testing.T) {
	addr, up := lateCache(t)
	r := newLoopHarness(t, addr, func(c *Config) { c.Transport.DialTimeout = 300_000 })
	const burst = 50
	for range burst {
		r.sendAttempt(r.newRequest(nil), long)
	}
	for range burst {
		r.wantOutcome(policy.ConnectFailed)
	}
	waitUntil(t, "an end of the dials", func() (none bool) {
		r.do(func() { none = r.loop.pools["c1"].dialing == 0 })
		return none
	})
	r.wantDescriptors(0)
	cache := up()
	r.do(func() { r.loop.cfg.Transport.DialTimeout = testTimeout.Microseconds() })
	r.wantNext(func() *fakeCache { return cache })
}

// wantNext wants the next request to be the first that the cache is sent, and one connection to have carried it.
func (h *loopHarness) wantNext(cache func() *fakeCache) {
	h.t.Helper()
	req := h.newRequest(nil)
	h.do(func() { req.command.args[2] = []byte("last") })
	h.sendAttempt(req, long)
	cmd := receive(h.t, cache().commands, "command")
	if cmd.args[2] != "last" {
		h.t.Errorf("the cache was sent %q", cmd.args)
	}
	cmd.reply(h.t, servedReply)
	h.wantOutcome(policy.Served)
	h.wantDescriptors(1)
}

// TestLateConnectionCarriesOnlyWhatStillWaits: what it was opened for is over, and the next request has it.
func TestLateConnectionCarriesOnlyWhatStillWaits(t *testing.T) {
	for name, end := range map[string]func(*loopHarness, *request){
		"time is up": func(_ *loopHarness, q *request) { q.attempts[0].abandon(policy.TimedOut) },
		"not in the window": func(r *loopHarness, q *request) {
			q.attempts[0].startBefore = r.loop.now
			r.loop.pools["c1"].dispatch()
		},
		"cancelled": func(r *loopHarness, q *request) { r.loop.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"refused":   func(r *loopHarness, q *request) { r.loop.perform(policy.Reject{ID: q.id}) },
		"departed":  func(r *loopHarness, q *request) { r.loop.clientGone(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, up := lateCache(t)
			r := newLoopHarness(t, addr, nil)
			q := r.newRequest(nil)
			r.sendAttempt(q, long)
			r.do(func() { end(r, q) })
			r.wantOutcome(policy.NotSent)
			r.wantNext(up)
		})
	}
}

// TestDialThatTookTooLongFailsNoLaterAttempt, which has its own connection coming up and its own time.
func TestDialThatTookTooLongFailsNoLaterAttempt(t *testing.T) {
	addr, up := lateCache(t)
	r := newLoopHarness(t, addr, nil)
	q, later := r.newRequest(nil), r.newRequest(nil)
	r.sendAttempt(q, long)
	r.do(func() {
		u := r.loop.pools["c1"]
		var first *upstreamConn
		for first = range u.conns {
		}
		q.attempts[0].finish(policy.ConnectFailed, nil) // its time to connect is up
		r.loop.perform(policy.Send{ID: later.id, Cache: "c1"})
		u.dialDone(first, nil, nil, os.ErrDeadlineExceeded)
		if later.attempts[0].state != attemptQueued {
			t.Error("the later attempt has ended")
		}
	})
	r.wantOutcome(policy.ConnectFailed)
	receive(t, up().commands, "command").reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestClientsThatWriteSlowly are served where the command is whole in time, and told so where it is not: each
// byte does not begin the time anew.
func TestClientsThatWriteSlowly(t *testing.T) {
	for name, inTime := range map[string]bool{"in time": true, "too late": false} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = testTimeout
			wire := getCommand("r1")
			if !inTime {
				srv.commandTimeout = 300 * time.Millisecond
				wire = encodeCommand("C.GET", strings.Repeat("k", maxArgumentSize), "r1", "c=read,d=20000")
			}
			c := dial(t, startServer(t, srv).addr)
			c.send(encodeCommand("PING"))
			c.wantLine("+PONG")
			pace := time.NewTicker(10 * time.Millisecond) // ten seconds for the long one
			defer pace.Stop()
			go func() {
				for i := range len(wire) {
					if _, err := io.WriteString(c.nc, wire[i:i+1]); err != nil {
						return
					}
					<-pace.C
				}
			}()
			if !inTime {
				if got := c.readLine(); !strings.HasPrefix(got, "-ERR ") {
					t.Errorf("answer %q", got)
				}
				c.wantClosed()
				if len(cache.commands) > 0 {
					t.Error("it was sent on")
				}
				return
			}
			receive(t, cache.commands, "command").reply(t, servedReply)
			c.wantLine("value")
		})
	}
}

// TestRepeatIsWhollyWrittenInTheWindow of its key, or given up: a cache begins a command at its last byte.
func TestRepeatIsWhollyWrittenInTheWindow(t *testing.T) {
	addr, conns := deafCache(t)
	r := newLoopHarness(t, addr, nil)
	q := huge(r)
	r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + 1_000_000}) })
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	if o := r.wantOutcome(policy.NotSent); o.Elapsed < 1_000_000 || o.Elapsed >= 10_000_000 {
		t.Errorf("given up after %d us, with a window of 1 s", o.Elapsed)
	}
	if n, _ := io.Copy(io.Discard, nc); n >= 64<<20 {
		t.Errorf("%d bytes were written", n)
	}
}

// TestRepeatWrittenInTheWindow is waited for beyond it.
func TestRepeatWrittenInTheWindow(t *testing.T) {
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	q := r.newRequest([]byte("v"))
	r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + 1_000_000}) })
	cmd := receive(t, cache.commands, "command")
	waitUntil(t, "an end of the window", func() (over bool) {
		r.do(func() {
			over = r.loop.now > q.attempts[0].startBefore && r.loop.timers[0].at > q.attempts[0].startBefore
		})
		return over
	})
	cmd.reply(t, servedReply)
	r.wantOutcome(policy.Served)
}

// TestRepeatWhoseConnectionIsLate ends with the window, however short, and nothing of it is written later.
func TestRepeatWhoseConnectionIsLate(t *testing.T) {
	for _, window := range []policy.Time{300_000, 1_000_000} {
		addr, up := lateCache(t)
		r := newLoopHarness(t, addr, nil)
		q := r.newRequest([]byte("v"))
		r.do(func() { r.loop.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.loop.now + window}) })
		if o := r.wantOutcome(policy.NotSent); o.Elapsed < window || o.Elapsed >= 10_000_000 {
			t.Errorf("ended after %d us, with a window of %d", o.Elapsed, window)
		}
		q = r.newRequest(nil)
		r.do(func() { q.command.args[2] = []byte("last") })
		r.sendAttempt(q, long)
		cmd := receive(t, up().commands, "command")
		if cmd.args[2] != "last" {
			t.Errorf("the cache was sent %q", cmd.args)
		}
		cmd.reply(t, servedReply)
		r.wantOutcome(policy.Served)
	}
}

// TestLastLookGoesByTheClock: a turn of the loop that takes long, as on a machine that stands still, crosses the
// end of the window or of the attempt's time; what is told to the cache is what is left.
func TestLastLookGoesByTheClock(t *testing.T) {
	for name, send := range map[string]func(r *loopHarness) policy.Send{
		"window": func(r *loopHarness) policy.Send { return policy.Send{StartBefore: r.loop.now + 10_000} },
		"time":   func(r *loopHarness) policy.Send { return policy.Send{Deadline: r.loop.now + 10_000} },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newLoopHarness(t, cache.addr(), nil)
			r.do(func() { r.loop.settleTime = 0 })
			r.sendAttempt(r.newRequest(nil), long)
			receive(t, cache.commands, "command").reply(t, servedReply)
			r.wantOutcome(policy.Served)
			q := r.newRequest([]byte("v"))
			r.do(func() {
				s := send(r)
				s.ID, s.Cache = q.id, "c1"
				late := r.loop.now + 20_000
				waitUntil(t, "a long turn", func() bool { return r.loop.clock() > late })
				r.loop.perform(s)
			})
			r.wantOutcome(policy.NotSent)
		})
	}
	t.Run("told", func(t *testing.T) {
		cache := newFakeCache(t)
		r := newLoopHarness(t, cache.addr(), nil)
		r.do(func() { r.loop.settleTime = 0 })
		r.sendAttempt(r.newRequest(nil), long)
		receive(t, cache.commands, "command").reply(t, servedReply)
		r.wantOutcome(policy.Served)
		q := r.newRequest(nil)
		r.do(func() {
			late := r.loop.now + 500_000
			waitUntil(t, "a long turn", func() bool { return r.loop.clock() > late })
			r.loop.perform(policy.Send{ID: q.id, Cache: "c1", Deadline: late + 5_000_000})
		})
		cmd := receive(t, cache.commands, "command")
		if d, err := strconv.Atoi(strings.TrimPrefix(cmd.args[3], "c=read,d=")); err != nil || d > 5000 {
			t.Errorf("told %q, with less than 5 s left", cmd.args[3])
		}
	})
}

// TestShortWindow: a keyed write that may have run goes again inside its key's window, and not beyond it.
func TestShortWindow(t *testing.T) {
	for _, window := range []time.Duration{300 * time.Millisecond, time.Second} {
		cache := newFakeCache(t)
		r := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
			for _, class := range in["settings"].(map[string]any)["categories"].([]any) {
				class.(map[string]any)["keyTtl"] = window.Microseconds()
			}
		}, endpointJSON("c1", cache.addr(), "in_service"), endpointJSON("c2", cache.addr(), "in_service")))
		c := dial(t, r.addr)
		c.send(encodeCommand("C.SET", "k1", "r1", "c=put,k=ab12,d=20000", "v"))
		first := receive(t, cache.commands, "command")
		over := time.Now().Add(window)
		waitUntil(t, "an end of the window", func() bool { return time.Now().After(over) })
		first.conn.Close()
		if got := c.readLine(); !strings.HasPrefix(got, "-") {
			t.Errorf("window %v: answer %q", window, got)
		}
		if len(cache.commands) > 0 {
			t.Errorf("window %v: it went again", window)
		}
	}
}

// idle makes a rig with a connection that stands idle and may be used at once.
func idle(t *testing.T) (*loopHarness, *fakeCache, fakeCommand) {
	t.Helper()
	cache := newFakeCache(t)
	r := newLoopHarness(t, cache.addr(), nil)
	r.do(func() { r.loop.settleTime = 0 })
	r.sendAttempt(r.newRequest(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, servedReply)
	r.wantOutcome(policy.Served)
	return r, cache, first
}

// TestBytesOnAnIdleConnection, before the next attempt is written: what else comes on it can't be told apart, so
// the attempt has another one, whether the bytes have been read by then or not.
func TestBytesOnAnIdleConnection(t *testing.T) {
	for name, wire := range map[string]string{"half a line": "-ER", "half an answer": "*3\r\n$5\r\nval", "one byte": "*"} {
		t.Run(name, func(t *testing.T) {
			r, cache, first := idle(t)
			q := r.newRequest(nil)
			r.do(func() {
				first.reply(t, wire)
				c := r.loop.pools["c1"].idle[0]
				waitUntil(t, "bytes", func() bool { return !c.isSilent() })
				r.loop.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			second := receive(t, cache.commands, "command")
			if second.conn == first.conn {
				t.Error("it went on the connection that is out of step")
			}
			second.reply(t, otherServedReply)
			r.wantOutcome(policy.Served)
			if got := string(receive(t, q.slot.reply, "answer")); got != "$7\r\nanother\r\n" {
				t.Errorf("the client got %q", got)
			}
			receive(t, cache.closed, "end of the connection that is out of step")
		})
	}
}

// TestEndOfAConnectionThatNobodyHasRead yet: what is written to it would end as a reset that may have run. The
// attempt has another one, or could not connect where the connection has just come up.
func TestEndOfAConnectionThatNobodyHasRead(t *testing.T) {
	for how, end := range breaks {
		for name, fresh := range map[string]bool{"idle": false, "new": true} {
			t.Run(how+", "+name, func(t *testing.T) {
				cache := newFakeCache(t)
				r := newLoopHarness(t, cache.addr(), nil)
				q := r.newRequest(nil)
				addr, conns := deafCache(t)
				nc, raw, err := dialTCP(addr, testTimeout)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c := &upstreamConn{addr: cache.addr(), nc: nc, raw: raw} // without a reader
				end(receive(t, conns, "connection"))
				waitUntil(t, "the end", func() bool { return !c.isSilent() })
				r.do(func() {
					u := r.loop.pools["c1"]
					c.pool, c.connectedAt = u, r.loop.now
					if !fresh {
						u.loop.settleTime = 0
						c.sequence.Add(1)
					}
					r.loop.upstreamConns++
					u.conns[c] = struct{}{}
					u.release(c)
					r.loop.perform(policy.Send{ID: q.id, Cache: "c1"})
				})
				if fresh {
					r.wantOutcome(policy.ConnectFailed)
					r.wantDescriptors(0)
					return
				}
				receive(t, cache.commands, "command on another connection").reply(t, servedReply)
				r.wantOutcome(policy.Served)
			})
		}
	}
}

// wantEnd waits for the router's end of the connection and leaves what came before it unread.
func (c *testClient) wantEnd() {
	c.t.Helper()
	raw, err := c.nc.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	waitUntil(c.t, "the router's end of the connection", func() bool {
		p := []unix.PollFd{{Events: unix.POLLRDHUP}}
		raw.Control(func(fd uintptr) {
			p[0].Fd = int32(fd)
			unix.Poll(p, 0)
		})
		return p[0].Revents != 0
	})
}

// TestRequestThatCrossesTheCloseOfARestingConnection is not sent on, whether the connection is closed as the
// router ends or to make room, and the answer before it, which the client has not read yet, is not lost.
func TestRequestThatCrossesTheCloseOfARestingConnection(t *testing.T) {
	for name, retire := range map[string]func(*clientConn){
		"drain": func(c *clientConn) { c.closeWhenIdle() },
		"room": func(c *clientConn) {
			c.evicting.Store(true)
			c.closeWhenIdle()
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
			c := dial(t, r.addr)
			c.send(getCommand("r1"))
			receive(t, cache.commands, "command").reply(t, servedReply)
			waitUntil(t, "a resting connection", func() bool {
				r.srv.mu.Lock()
				defer r.srv.mu.Unlock()
				for cl := range r.srv.clients {
					if cl.pendingReplies.Load() == 0 && cl.hasCommand.Load() {
						retire(cl)
						return true
					}
				}
				return false
			})
			c.wantEnd()
			c.send(getCommand("r2"))
			c.send(getCommand("r3")[:20]) // on a connection that is not reset
			c.wantLine("value")
			if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v", err)
			}
			next := dial(t, r.addr)
			next.send(getCommand("r4"))
			if cmd := receive(t, cache.commands, "command"); cmd.args[2] != "r4" {
				t.Errorf("what crossed the close was sent on: %q", cmd.args)
			}
		})
	}
}

// TestBytesBehindALongAnswer that the client has hardly begun to read, long after the router has written it: the
// close must not turn into a reset, which costs the rest of it.
func TestBytesBehindALongAnswer(t *testing.T) {
	cache := newFakeCache(t)
	r := startRouter(t, testConfig(t, silentDiscovery(t), nil, endpointJSON("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	if err := c.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	c.send(getCommand("r1"))
	value := strings.Repeat("v", maxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	waitUntil(t, "a resting connection", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		for cl := range r.srv.clients {
			if cl.pendingReplies.Load() == 0 && cl.hasCommand.Load() {
				cl.lastReplyAt.Add(-2 * lingerTime.Microseconds()) // as though it had rested for so long
				cl.closeWhenIdle()
				return true
			}
		}
		return false
	})
	waitUntil(t, "the connection's end", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		for cl := range r.srv.clients {
			return cl.lingering.Load()
		}
		return true
	})
	c.send(getCommand("r2"))
	c.wantLine(value)
}
