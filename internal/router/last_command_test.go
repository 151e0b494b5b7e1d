package router

import (
	"strings"
	"testing"
	"time"

	"marlstage/internal/resp"
)

// The router stops reading a connection at the end of a command. It answers each command that it has read in part
// or in full and leaves the bytes after it unread, so that the client may send them again.

// lastCommandTest is a router whose engine fails each request at once, with one client.
type lastCommandTest struct {
	t      *testing.T
	router *runningRouter
	system *faultySystem
	client *testClient
}

func newLastCommandTest(t *testing.T, edit func(*Server)) *lastCommandTest {
	t.Helper()
	srv := newServerWithCache(t)
	srv.loop.engine = &failingEngine{}
	if edit != nil {
		edit(srv)
	}
	system := useFaultySystem(srv)
	router := startServer(t, srv)
	client := dial(t, router.addr)
	client.send(encodeCommand("PING"))
	client.wantLine("+PONG")
	system.bytesRead.Store(0)
	return &lastCommandTest{t, router, system, client}
}

// waitForBytes waits until the router has read n bytes and the next read has found nothing. A read that is
// still to be made would take what the client sends next, up to the size of its buffer.
func (l *lastCommandTest) waitForBytes(n int) {
	l.t.Helper()
	waitUntil(l.t, "an empty read after the bytes", func() bool { return l.system.bytesReadAtEmptyRead.Load() == int64(n) })
}

// wantEnd checks that the router closes the connection and has read exactly bytesRead bytes, whatever else
// the client has sent.
func (l *lastCommandTest) wantEnd(bytesRead int) {
	l.t.Helper()
	l.client.wantClosed()
	l.client.close()
	l.router.waitForNoClients(l.t)
	if got := l.system.bytesRead.Load(); got != int64(bytesRead) {
		l.t.Errorf("%d bytes were read, want %d", got, bytesRead)
	}
}

// TestDrainReadsCommandToItsEnd checks that a command of which a part was read before the last replies of a
// drain were due is read to its end and answered, and that nothing after it is read.
func TestDrainReadsCommandToItsEnd(t *testing.T) {
	for name, command := range map[string]string{
		"get": getCommand("r1"),
		"set": encodeCommand("C.SET", "k", "r1", "c=put,d=20000,k=1", strings.Repeat("v", 30_000)),
	} {
		for _, part := range []int{1, 10, len(command) / 2, len(command) - 1} {
			t.Run(name, func(t *testing.T) {
				l := newLastCommandTest(t, nil)
				l.client.send(command[:part])
				l.waitForBytes(part)
				l.router.srv.stopNewCommands()
				l.client.send(command[part:] + strings.Repeat(command, 3))
				l.client.wantLine("-ERR failed") // the loop does not know of the drain and passes the request to the engine
				l.wantEnd(len(command))
			})
		}
	}
}

// TestDrainEndsWithinPipeline checks that a pipeline that has been read only in part when the last replies
// are due is answered up to and including the command in which reading stops.
func TestDrainEndsWithinPipeline(t *testing.T) {
	l := newLastCommandTest(t, nil)
	command := getCommand("r1")
	const commands = 5
	stalled := fault{reached: make(chan struct{}), resume: make(chan struct{}), maxBytes: commands*len(command) - 7}
	l.system.inject(callRead, stalled)
	l.client.send(strings.Repeat(command, 2*commands)) // the pending read takes only a part of it
	receive(t, stalled.reached, "read")
	l.router.srv.stopNewCommands() // before the pending read returns
	close(stalled.resume)
	for range commands {
		l.client.wantLine("-ERR failed")
	}
	l.wantEnd(commands * len(command))
}

// TestNothingIsReadAfterIncompleteCommand checks that the router reads nothing after its reply to an
// incomplete command: neither the rest of the command nor later commands of a client that was only slow.
func TestNothingIsReadAfterIncompleteCommand(t *testing.T) {
	const shortTimeout = 50 * time.Millisecond
	for name, c := range map[string]struct {
		edit func(*Server)
		end  func(*Server)
		want string
	}{
		"command timeout": {
			edit: func(srv *Server) { srv.commandTimeout = shortTimeout },
			end:  func(*Server) {},
			want: "-ERR Protocol error: " + errCommandTimeout.Error(),
		},
		"eviction": {
			end: func(srv *Server) {
				srv.mu.Lock()
				defer srv.mu.Unlock()
				for c := range srv.clients {
					c.evicting.Store(true)
					c.closeWhenIdle()
				}
			},
			want: "-BUSY",
		},
		"drain": {end: (*Server).stopNewCommands, want: "-BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLastCommandTest(t, c.edit)
			command := getCommand("r1")
			part := len(command) / 2
			l.client.send(command[:part])
			l.waitForBytes(part)
			c.end(l.router.srv)
			l.client.wantLine(c.want)
			l.client.send(command[part:] + strings.Repeat(command, 3))
			l.wantEnd(part)
		})
	}
}

// TestCommandsBehindQuitAreAnswered checks that commands that are read together with a QUIT in front of them
// are answered.
func TestCommandsBehindQuitAreAnswered(t *testing.T) {
	l := newLastCommandTest(t, nil)
	command := getCommand("r1")
	quit := encodeCommand("QUIT")
	l.client.send(quit + command + command[:5])
	l.client.wantLine("+OK")
	l.client.wantLine("-ERR failed")
	l.client.send(command[5:] + command)
	l.client.wantLine("-ERR failed")
	l.wantEnd(len(quit) + 2*len(command))
}

// TestGarbageEndsConnectionWithFewReads checks that the router does not read byte by byte in search of the
// end of a command in garbage when the last replies of a drain are due.
func TestGarbageEndsConnectionWithFewReads(t *testing.T) {
	for name, garbage := range map[string]string{
		"inline":         strings.Repeat("x", resp.MaxCommandSize/2),
		"endless length": "*" + strings.Repeat("1", resp.MaxCommandSize/2),
	} {
		t.Run(name, func(t *testing.T) {
			l := newLastCommandTest(t, nil)
			stalled := fault{reached: make(chan struct{}), resume: make(chan struct{}), maxBytes: 1}
			l.system.inject(callRead, stalled)
			l.client.send(garbage)
			receive(t, stalled.reached, "read")
			l.router.srv.stopNewCommands()
			close(stalled.resume)
			if reply := l.client.readLine(); reply != "-BUSY" && !strings.HasPrefix(reply, "-ERR Protocol error") {
				t.Errorf("reply %q", reply)
			}
			l.client.wantClosed()
			if reads := l.system.callCount(callRead); reads > 2*maxLastReads {
				t.Errorf("%d reads, want %d at most", reads, 2*maxLastReads)
			}
		})
	}
}
