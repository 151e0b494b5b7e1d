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

	"marlstage/internal/resp"
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
	"all but the last byte":    served[:len(served)-1],
	"line of an error":         "-ERR fai",
	"refusal without its end":  "-BUSY",
	"refusal with half an end": "-BUSY\r",
	"bulk string":              "$5\r\nval",
	"large value":              "*3\r\n$65536\r\n" + strings.Repeat("v", resp.MaxValueSize/2),
}

// TestAnswerThatBreaksOff is a reset of an attempt that may have run, however much of it has come.
func TestAnswerThatBreaksOff(t *testing.T) {
	for how, end := range breaks {
		for name, wire := range cutAnswers {
			t.Run(name+", "+how, func(t *testing.T) {
				cache := newFakeCache(t)
				r := newRig(t, cache.addr(), nil)
				q := r.request(nil)
				r.send(q, long)
				cmd := receive(t, cache.commands, "command")
				cmd.reply(t, wire)
				end(cmd.conn)
				if o := r.want(policy.ConnectionLost); o.Final {
					t.Error("the request is over")
				}
				r.do(func() {
					if len(q.slot.reply) > 0 || r.l.upstreamConns != 0 {
						t.Errorf("%d answers to the client, %d connections", len(q.slot.reply), r.l.upstreamConns)
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
				r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", caches[0].addr(), "in_service"),
					host("c2", caches[1].addr(), "in_service")))
				c := dial(t, r.addr)
				c.send(get("r1") + words("PING"))
				var first, second fakeCommand
				other := caches[1]
				select {
				case first = <-caches[0].commands:
				case first = <-caches[1].commands:
					other = caches[0]
				case <-time.After(patience):
					t.Fatal("no command came")
				}
				first.reply(t, wire)
				end(first.conn)
				second = receive(t, other.commands, "command at the other cache")
				second.reply(t, another)
				c.want("another")
				c.want("+PONG")
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
	body := hosts(9, true, host("c1", "127.0.0.1:1", "in_service"))
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
	body := hosts(9, true, host("c2", "127.0.0.1:1", "in_service"))
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
				}, host("c1", "127.0.0.1:1", "in_service"))
				r := start(t, cfg)
				rig := &rig{t: t, l: r.srv.loop}
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
		return fakeCacheOn(t, ln)
	}
}

func (r *rig) wantDescriptors(n int) {
	r.t.Helper()
	r.do(func() {
		if u := r.l.pools["c1"]; r.l.upstreamConns != n || len(u.conns) != n || len(u.idle) != n || u.dialing != 0 {
			r.t.Errorf("%d descriptors, %d connections, %d idle, %d dials; want %d idle", r.l.upstreamConns, len(u.conns), len(u.idle),
				u.dialing, n)
		}
	})
}

// TestLateConnectionsInTime: all of a burst is served once they are up, and each descriptor is counted once.
func TestLateConnectionsInTime(t *testing.T) {
	addr, up := lateCache(t)
	r := newRig(t, addr, nil)
	const burst = 50
	for range burst {
		r.send(r.request(nil), long)
	}
	r.do(func() {
		if u := r.l.pools["c1"]; u.dialing != maxDials || len(u.queue) != burst {
			t.Errorf("%d dials, %d attempts wait", u.dialing, len(u.queue))
		}
	})
	cache := up()
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, served)
		r.want(policy.Served)
	}
	await(t, "an end of the dials", func() (none bool) {
		r.do(func() { none = r.l.pools["c1"].dialing == 0 })
		return none
	})
	r.do(func() {
		r.l.perform(policy.CloseIdleConnections{Cache: "c1"})
	})
	for range conns {
		receive(t, cache.ended, "end of an idle connection")
	}
	r.wantDescriptors(0)
}

// TestConnectionsLaterThanTheSettingsAllow: the attempts could not connect, and nothing of them is written when
// the cache has room again.
func TestConnectionsLaterThanTheSettingsAllow(t *testing.T) {
	addr, up := lateCache(t)
	r := newRig(t, addr, func(c *Config) { c.Transport.DialTimeout = 300_000 })
	const burst = 50
	for range burst {
		r.send(r.request(nil), long)
	}
	for range burst {
		r.want(policy.ConnectFailed)
	}
	await(t, "an end of the dials", func() (none bool) {
		r.do(func() { none = r.l.pools["c1"].dialing == 0 })
		return none
	})
	r.wantDescriptors(0)
	cache := up()
	r.do(func() { r.l.cfg.Transport.DialTimeout = patience.Microseconds() })
	r.wantNext(func() *fakeCache { return cache })
}

// wantNext wants the next request to be the first that the cache is sent, and one connection to have carried it.
func (r *rig) wantNext(cache func() *fakeCache) {
	r.t.Helper()
	q := r.request(nil)
	r.do(func() { q.command.Args[resp.IDArgument] = []byte("last") })
	r.send(q, long)
	cmd := receive(r.t, cache().commands, "command")
	if cmd.args[2] != "last" {
		r.t.Errorf("the cache was sent %q", cmd.args)
	}
	cmd.reply(r.t, served)
	r.want(policy.Served)
	r.wantDescriptors(1)
}

// TestLateConnectionCarriesOnlyWhatStillWaits: what it was opened for is over, and the next request has it.
func TestLateConnectionCarriesOnlyWhatStillWaits(t *testing.T) {
	for name, end := range map[string]func(*rig, *request){
		"time is up": func(_ *rig, q *request) { q.attempts[0].abandon(policy.TimedOut) },
		"not in the window": func(r *rig, q *request) {
			q.attempts[0].startBefore = r.l.now
			r.l.pools["c1"].dispatch()
		},
		"cancelled": func(r *rig, q *request) { r.l.perform(policy.Cancel{ID: q.id, Attempt: 0}) },
		"refused":   func(r *rig, q *request) { r.l.perform(policy.Reject{ID: q.id}) },
		"departed":  func(r *rig, q *request) { r.l.clientGone(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, up := lateCache(t)
			r := newRig(t, addr, nil)
			q := r.request(nil)
			r.send(q, long)
			r.do(func() { end(r, q) })
			r.want(policy.NotSent)
			r.wantNext(up)
		})
	}
}

// TestDialThatTookTooLongFailsNoLaterAttempt, which has its own connection coming up and its own time.
func TestDialThatTookTooLongFailsNoLaterAttempt(t *testing.T) {
	addr, up := lateCache(t)
	r := newRig(t, addr, nil)
	q, later := r.request(nil), r.request(nil)
	r.send(q, long)
	r.do(func() {
		u := r.l.pools["c1"]
		var first *upstreamConn
		for first = range u.conns {
		}
		q.attempts[0].finish(policy.ConnectFailed, nil) // its time to connect is up
		r.l.perform(policy.Send{ID: later.id, Cache: "c1"})
		u.dialDone(first, nil, nil, os.ErrDeadlineExceeded)
		if later.attempts[0].state != attemptQueued {
			t.Error("the later attempt has ended")
		}
	})
	r.want(policy.ConnectFailed)
	receive(t, up().commands, "command").reply(t, served)
	r.want(policy.Served)
}

// TestClientsThatWriteSlowly are served where the command is whole in time, and told so where it is not: each
// byte does not begin the time anew.
func TestClientsThatWriteSlowly(t *testing.T) {
	for name, inTime := range map[string]bool{"in time": true, "too late": false} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.commandTimeout = patience
			wire := get("r1")
			if !inTime {
				srv.commandTimeout = 300 * time.Millisecond
				wire = words("C.GET", strings.Repeat("k", resp.MaxArgumentSize), "r1", "c=read,d=20000")
			}
			c := dial(t, startServer(t, srv).addr)
			c.send(words("PING"))
			c.want("+PONG")
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
				if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
					t.Errorf("answer %q", got)
				}
				c.wantClosed()
				if len(cache.commands) > 0 {
					t.Error("it was sent on")
				}
				return
			}
			receive(t, cache.commands, "command").reply(t, served)
			c.want("value")
		})
	}
}

// TestRepeatIsWhollyWrittenInTheWindow of its key, or given up: a cache begins a command at its last byte.
func TestRepeatIsWhollyWrittenInTheWindow(t *testing.T) {
	addr, conns := deafCache(t)
	r := newRig(t, addr, nil)
	q := huge(r)
	r.do(func() { r.l.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.l.now + 1_000_000}) })
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	if o := r.want(policy.NotSent); o.Elapsed < 1_000_000 || o.Elapsed >= 10_000_000 {
		t.Errorf("given up after %d us, with a window of 1 s", o.Elapsed)
	}
	if n, _ := io.Copy(io.Discard, nc); n >= 64<<20 {
		t.Errorf("%d bytes were written", n)
	}
}

// TestRepeatWrittenInTheWindow is waited for beyond it.
func TestRepeatWrittenInTheWindow(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	q := r.request([]byte("v"))
	r.do(func() { r.l.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.l.now + 1_000_000}) })
	cmd := receive(t, cache.commands, "command")
	await(t, "an end of the window", func() (over bool) {
		r.do(func() { over = r.l.now > q.attempts[0].startBefore && r.l.timers[0].at > q.attempts[0].startBefore })
		return over
	})
	cmd.reply(t, served)
	r.want(policy.Served)
}

// TestRepeatWhoseConnectionIsLate ends with the window, however short, and nothing of it is written later.
func TestRepeatWhoseConnectionIsLate(t *testing.T) {
	for _, window := range []policy.Time{300_000, 1_000_000} {
		addr, up := lateCache(t)
		r := newRig(t, addr, nil)
		q := r.request([]byte("v"))
		r.do(func() { r.l.perform(policy.Send{ID: q.id, Cache: "c1", StartBefore: r.l.now + window}) })
		if o := r.want(policy.NotSent); o.Elapsed < window || o.Elapsed >= 10_000_000 {
			t.Errorf("ended after %d us, with a window of %d", o.Elapsed, window)
		}
		q = r.request(nil)
		r.do(func() { q.command.Args[resp.IDArgument] = []byte("last") })
		r.send(q, long)
		cmd := receive(t, up().commands, "command")
		if cmd.args[2] != "last" {
			t.Errorf("the cache was sent %q", cmd.args)
		}
		cmd.reply(t, served)
		r.want(policy.Served)
	}
}

// TestLastLookGoesByTheClock: a turn of the loop that takes long, as on a machine that stands still, crosses the
// end of the window or of the attempt's time; what is told to the cache is what is left.
func TestLastLookGoesByTheClock(t *testing.T) {
	for name, send := range map[string]func(r *rig) policy.Send{
		"window": func(r *rig) policy.Send { return policy.Send{StartBefore: r.l.now + 10_000} },
		"time":   func(r *rig) policy.Send { return policy.Send{Deadline: r.l.now + 10_000} },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newRig(t, cache.addr(), nil)
			r.do(func() { r.l.settleTime = 0 })
			r.send(r.request(nil), long)
			receive(t, cache.commands, "command").reply(t, served)
			r.want(policy.Served)
			q := r.request([]byte("v"))
			r.do(func() {
				s := send(r)
				s.ID, s.Cache = q.id, "c1"
				late := r.l.now + 20_000
				await(t, "a long turn", func() bool { return r.l.clock() > late })
				r.l.perform(s)
			})
			r.want(policy.NotSent)
		})
	}
	t.Run("told", func(t *testing.T) {
		cache := newFakeCache(t)
		r := newRig(t, cache.addr(), nil)
		r.do(func() { r.l.settleTime = 0 })
		r.send(r.request(nil), long)
		receive(t, cache.commands, "command").reply(t, served)
		r.want(policy.Served)
		q := r.request(nil)
		r.do(func() {
			late := r.l.now + 500_000
			await(t, "a long turn", func() bool { return r.l.clock() > late })
			r.l.perform(policy.Send{ID: q.id, Cache: "c1", Deadline: late + 5_000_000})
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
		r := start(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
			for _, class := range in["settings"].(map[string]any)["categories"].([]any) {
				class.(map[string]any)["keyTtl"] = window.Microseconds()
			}
		}, host("c1", cache.addr(), "in_service"), host("c2", cache.addr(), "in_service")))
		c := dial(t, r.addr)
		c.send(words("C.SET", "k1", "r1", "c=put,k=ab12,d=20000", "v"))
		first := receive(t, cache.commands, "command")
		over := time.Now().Add(window)
		await(t, "an end of the window", func() bool { return time.Now().After(over) })
		first.conn.Close()
		if got := c.line(); !strings.HasPrefix(got, "-") {
			t.Errorf("window %v: answer %q", window, got)
		}
		if len(cache.commands) > 0 {
			t.Errorf("window %v: it went again", window)
		}
	}
}

// idle makes a rig with a connection that stands idle and may be used at once.
func idle(t *testing.T) (*rig, *fakeCache, fakeCommand) {
	t.Helper()
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.settleTime = 0 })
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(policy.Served)
	return r, cache, first
}

// TestBytesOnAnIdleConnection, before the next attempt is written: what else comes on it can't be told apart, so
// the attempt has another one, whether the bytes have been read by then or not.
func TestBytesOnAnIdleConnection(t *testing.T) {
	for name, wire := range map[string]string{"half a line": "-ER", "half an answer": "*3\r\n$5\r\nval", "one byte": "*"} {
		t.Run(name, func(t *testing.T) {
			r, cache, first := idle(t)
			q := r.request(nil)
			r.do(func() {
				first.reply(t, wire)
				c := r.l.pools["c1"].idle[0]
				await(t, "bytes", func() bool { return !c.isSilent() })
				r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
			})
			second := receive(t, cache.commands, "command")
			if second.conn == first.conn {
				t.Error("it went on the connection that is out of step")
			}
			second.reply(t, another)
			r.want(policy.Served)
			if got := string(receive(t, q.slot.reply, "answer")); got != "$7\r\nanother\r\n" {
				t.Errorf("the client got %q", got)
			}
			receive(t, cache.ended, "end of the connection that is out of step")
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
				r := newRig(t, cache.addr(), nil)
				q := r.request(nil)
				addr, conns := deafCache(t)
				nc, raw, err := dialTCP(addr, patience)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { nc.Close() })
				c := &upstreamConn{addr: cache.addr(), nc: nc, raw: raw} // without a reader
				end(receive(t, conns, "connection"))
				await(t, "the end", func() bool { return !c.isSilent() })
				r.do(func() {
					u := r.l.pools["c1"]
					c.pool, c.connectedAt = u, r.l.now
					if !fresh {
						u.loop.settleTime = 0
						c.sequence.Add(1)
					}
					r.l.upstreamConns++
					u.conns[c] = struct{}{}
					u.release(c)
					r.l.perform(policy.Send{ID: q.id, Cache: "c1"})
				})
				if fresh {
					r.want(policy.ConnectFailed)
					r.wantDescriptors(0)
					return
				}
				receive(t, cache.commands, "command on another connection").reply(t, served)
				r.want(policy.Served)
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
	await(c.t, "the router's end of the connection", func() bool {
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
			r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
			c := dial(t, r.addr)
			c.send(get("r1"))
			receive(t, cache.commands, "command").reply(t, served)
			await(t, "a resting connection", func() bool {
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
			c.send(get("r2"))
			c.send(get("r3")[:20]) // on a connection that is not reset
			c.want("value")
			if _, err := c.r.ReadByte(); err != io.EOF {
				t.Errorf("the connection ended with %v", err)
			}
			next := dial(t, r.addr)
			next.send(get("r4"))
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
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	if err := c.nc.SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	c.send(get("r1"))
	value := strings.Repeat("v", resp.MaxValueSize)
	receive(t, cache.commands, "command").reply(t, "*3\r\n$65536\r\n"+value+"\r\n$3\r\nhit\r\n$-1\r\n")
	await(t, "a resting connection", func() bool {
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
	await(t, "the connection's end", func() bool {
		r.srv.mu.Lock()
		defer r.srv.mu.Unlock()
		for cl := range r.srv.clients {
			return cl.lingering.Load()
		}
		return true
	})
	c.send(get("r2"))
	c.want(value)
}
