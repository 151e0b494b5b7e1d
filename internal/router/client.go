package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"starlingwinch/decide"
)

const (
	mostValue    = 64 << 10                // bytes of a value
	mostWord     = 1 << 10                 // ... of a key, an id or the list of names and values
	mostCommand  = mostValue + 4<<10       // ... of a whole command
	requestRoom  = 1 << 10                 // ... of what is kept for a request beside its bytes
	keptBuffer   = 8 << 10                 // bytes of room that a connection keeps between commands
	pipelined    = 512                     // commands of one connection that may await their answers
	writeTimeout = 5 * time.Second         // for an answer to a client that does not read
	lingerTime   = time.Second             // for a client to read why its connection is closed
	acceptPause  = 10 * time.Millisecond   // before another try where no descriptor was free
	lastArrivals = 500 * time.Millisecond  // new connections may still come so long after SIGTERM
	commandWait  = 2200 * time.Millisecond // for a connection's first command, and for the rest of any that has begun
	commandGrace = 100 * time.Millisecond  // for the rest of a command that has begun where its connection has to make room
	firstWait    = 100 * time.Millisecond  // for a connection's first command where room is wanted: it is under way
	leftLook     = 100 * time.Millisecond  // between looks whether a client has left whose bytes are not read
	lastLook     = 20 * time.Millisecond   // for a connection that queues as the router ends
	drainSlack   = 650 * time.Millisecond  // beyond the longest deadline, for the drain after SIGTERM: SIGKILL may follow 50 ms later
	drainLongest = 3 * time.Second         // ... which counts as no longer than this until SIGKILL
	drainAnswers = 100 * time.Millisecond  // before that, when the last answers are given
	metaArg      = 3                       // place of the names and values in a command
)

// command is a client's request as it came.
type command struct {
	args     [][]byte // verb, key, id, names and values, and the value to set if there is one
	size     int      // bytes on the wire
	waitFrom int      // place of d's figure in the names and values
	waitTo   int
	class    string
	tenant   string
	hash     uint64      // of the key
	wait     decide.Time // how long the client waits
	cost     decide.Time
	write    bool
	keyed    bool // it carries an idempotency key
}

// parseCommand reads a C.GET or C.SET. It keeps args.
func parseCommand(args [][]byte, size int) (command, error) {
	c := command{args: args, size: size, write: strings.EqualFold(string(args[0]), "C.SET")}
	want := metaArg + 1
	if c.write {
		want++
	}
	if len(args) != want {
		return c, fmt.Errorf("wrong number of arguments for %s", args[0])
	}
	for _, a := range args[:metaArg+1] {
		if len(a) == 0 || len(a) > mostWord {
			return c, errors.New("an argument is empty or too long")
		}
	}
	if c.write && len(args[want-1]) > mostValue {
		return c, errors.New("the value is too long")
	}
	h := fnv.New64a()
	h.Write(args[1])
	c.hash = h.Sum64()
	meta := string(args[metaArg])
	for from := 0; from < len(meta); {
		to := from + len(meta[from:])
		if i := strings.IndexByte(meta[from:], ','); i >= 0 {
			to = from + i
		}
		name, value, _ := strings.Cut(meta[from:to], "=")
		switch name {
		case "c":
			c.class = value
		case "t":
			c.tenant = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 32)
			if err != nil || ms < 0 || c.waitTo > 0 {
				return c, errors.New("d is not a number of milliseconds")
			}
			c.wait, c.waitFrom, c.waitTo = ms*1000, to-len(value), to
		case "k":
			c.keyed = value != ""
		case "h":
			if us, err := strconv.ParseInt(value, 10, 64); err == nil && us > 0 {
				c.cost = us
			}
		}
		from = to + 1
	}
	if c.class == "" || c.waitTo == 0 {
		return c, errors.New("c and d are needed")
	}
	return c, nil
}

// appendBusy words a refusal. The wait is rounded up: a client must not come back early.
func appendBusy(b []byte, wait decide.Time) []byte {
	b = append(b, "-BUSY"...)
	if wait > 0 {
		b = strconv.AppendInt(append(b, ' '), (wait+999)/1000, 10)
	}
	return append(b, "\r\n"...)
}

// Server is the router: its listener and its clients' connections round a loop.
type Server struct {
	cfg     *Config
	ln      net.Listener
	loop    *loop
	sockets *sockets
	memory  *memory

	mu       sync.Mutex
	clients  map[*client]struct{}
	wg       sync.WaitGroup // clients' goroutines
	closing  chan struct{}  // closed when none but the connections that queue are taken any more
	ended    chan struct{}  // closed when no more are taken at all
	arrivals time.Duration  // how long connections are still taken after SIGTERM

	commandWait time.Duration // how long a peer may take over a command
	acceptPause time.Duration // before another try where no descriptor was free
	firstWait   time.Duration // before a connection without a command makes room for others
	lingerTime  time.Duration // for a client to read why its connection is closed
}

// New makes a router and opens its listener.
func New(cfg *Config) (*Server, error) {
	s := &Server{cfg: cfg, sockets: newSockets(cfg.Limits.Sockets), memory: newMemory(cfg.Limits.MemoryMB),
		clients: map[*client]struct{}{}, closing: make(chan struct{}), ended: make(chan struct{}),
		arrivals: lastArrivals, commandWait: commandWait,
		acceptPause: acceptPause, firstWait: firstWait, lingerTime: lingerTime}
	var err error
	if s.loop, err = newLoop(cfg, s.sockets); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if s.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Run serves until ctx ends, then answers what has come in and returns.
func (s *Server) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		<-s.loop.done
	}()
	go s.loop.run(loopCtx)
	log.Printf("serving on %s", s.ln.Addr())
	failed := make(chan error, 1)
	go func() { failed <- s.acceptAll() }()
	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	log.Print("draining")
	limit := time.After(time.Duration(s.loop.longest)*time.Microsecond + drainSlack)
	begun := s.loop.clock()
	time.Sleep(s.arrivals)
	s.loop.post(func() { s.loop.drain(begun) })
	close(s.closing)
	s.drain() // idle clients make room for those that queue
	s.deadline(time.Now())
	select {
	case <-failed:
	case <-limit:
		close(s.ended)
		return nil
	}
	s.ln.Close() // no client is added any more
	s.drain()
	gone := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(gone)
	}()
	select {
	case <-gone:
	case <-limit:
	}
	return nil
}

// deadline calls Accept back at the given time; a listener that knows of none is closed.
func (s *Server) deadline(t time.Time) {
	if ln, ok := s.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(t)
	} else {
		s.ln.Close()
	}
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// MoveDiscovery has the router ask at another address from now on. What it knows stays.
func (s *Server) MoveDiscovery(addr string) {
	moved := *s.cfg
	moved.Discovery = addr
	s.loop.post(func() { s.loop.moveDiscovery(&moved) })
}

// acceptAll takes connections until the router closes, and then those that queue. The danger: the kernel has
// accepted them, and with them requests that count as taken; closing the listener resets them.
func (s *Server) acceptAll() error {
	for {
		if !s.room() {
			return net.ErrClosed
		}
		last := s.isClosing()
		if last {
			s.deadline(time.Now().Add(lastLook))
		}
		nc, err := s.ln.Accept()
		if err != nil {
			s.sockets.giveClient()
			late := errors.Is(err, os.ErrDeadlineExceeded)
			switch {
			case errors.Is(err, net.ErrClosed), late && last:
				return err
			case late:
				continue // called back as the router closes
			}
			// Out of descriptors, or a connection that was reset while it queued: neither may
			// end the router. Those in the queue wait.
			time.Sleep(s.acceptPause)
			continue
		}
		c := &client{srv: s, nc: nc.(*net.TCPConn), open: map[int64]*request{}, queue: make(chan *slot, pipelined),
			readEnded: make(chan struct{})}
		c.lastUsed.Store(s.loop.clock())
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(2)
		go c.read()
		go c.write()
	}
}

// room waits for a descriptor for one more client; it reports false once the router ends. The
// danger: clients that hold connections they do not use shut out all others. The one idle for
// longest makes room, as the protocol allows between requests.
func (s *Server) room() bool {
	for !s.sockets.takeClient() {
		if c := s.longestIdle(); c != nil {
			c.hurried.Store(true)
			c.retire()
		}
		select {
		case <-s.ended:
			return false
		case <-s.sockets.freed: // the danger: polling alone lets in a few a second, and a crowd queues
		case <-time.After(s.acceptPause): // by now another may be idle
		}
	}
	return true
}

func (s *Server) longestIdle() *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *client
	fresh := s.loop.clock() - s.firstWait.Microseconds()
	for c := range s.clients {
		// The danger: a connection that has just come is closed as its first request comes in.
		if c.due.Load() == 0 && !c.retired.Load() && (c.used.Load() || c.lastUsed.Load() < fresh) &&
			(longest == nil || c.lastUsed.Load() < longest.lastUsed.Load()) {
			longest = c
		}
	}
	return longest
}

// drain has each client's connection closed as soon as it is between requests.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.retire()
	}
}

// client is a connection of a client.
type client struct {
	srv      *Server
	nc       *net.TCPConn
	open     map[int64]*request // requests without a final answer; the loop's
	queue    chan *slot         // answers due, in the order of the commands
	retired  atomic.Bool        // to be closed between requests
	hurried  atomic.Bool        // ... to make room, so that it can't wait for half a command
	due      atomic.Int64       // commands whose answer is not written
	used     atomic.Bool        // a command has come
	lastUsed atomic.Int64       // when the last answer was written

	lingering atomic.Bool   // all answers are written, and the client is to read the last one
	readEnded chan struct{} // closed when nothing more is read
}

// retire has the connection closed as soon as it is between requests.
func (c *client) retire() {
	if !c.retired.Swap(true) {
		c.nc.SetReadDeadline(time.Now())
	}
}

// slot is the place of an answer in its connection's order.
type slot struct {
	memory *memory
	charge int64 // bytes held for it
	wire   chan []byte
}

func newSlot(m *memory) *slot { return &slot{memory: m, wire: make(chan []byte, 1)} }

// answer fills the slot; nil stands for no answer. It does not block and is called once.
func (s *slot) answer(b []byte) {
	switch n := int64(len(b)); {
	case len(b) <= len(failedReply):
		s.memory.force(n) // nothing smaller could stand for it
	case !s.memory.take(n):
		b = []byte(failedReply) // many answers wait for readers that are slow
		s.memory.force(int64(len(b)))
	}
	s.wire <- b
}

// read takes commands until the connection ends or takes no more, and then reads on.
func (c *client) read() {
	defer c.srv.wg.Done()
	defer close(c.readEnded)
	reads := c.commands()
	close(c.queue)
	if reads {
		c.discard()
	} else {
		c.srv.loop.post(func() { c.srv.loop.depart(c) })
	}
}

// commands takes commands. It reports whether the client may still be there when no more are taken.
func (c *client) commands() bool {
	var buf []byte
	// The danger: a peer that says nothing, or half a command, holds a descriptor for ever.
	until := time.Now().Add(c.srv.commandWait) // when the first command is due, or the rest of any that has begun
	for cut := false; ; {
		complete, args, used, err := nextCommand(buf)
		if err != nil {
			return c.say(redcon.AppendError(nil, "ERR Protocol error: "+err.Error()))
		}
		if complete {
			if goesOn, there := c.command(args, buf[:used]); !goesOn {
				return there
			}
			if len(args) > 0 {
				c.used.Store(true)
				until, cut = time.Time{}, false
			}
			if rest := buf[used:]; cap(buf) > keptBuffer && len(rest) <= keptBuffer {
				buf = bytes.Clone(rest) // many clients with a large command once must not keep its room
			} else {
				buf = append(buf[:0], rest...)
			}
			continue
		}
		if len(buf) >= mostCommand {
			return c.say([]byte("-ERR Protocol error: too big a command\r\n"))
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, max(1024, 2*cap(buf))), buf...)
		}
		if until.IsZero() && len(buf) > 0 {
			until = time.Now().Add(c.srv.commandWait)
		}
		if grace := time.Now().Add(commandGrace); len(buf) > 0 && !cut && c.hurried.Load() && grace.Before(until) {
			until, cut = grace, true
		}
		if !c.await(len(buf) > 0, until) {
			return true
		}
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case until.IsZero() || time.Now().Before(until): // called back to see whether the connection is to be closed
		case len(buf) > 0:
			return c.say([]byte("-ERR Protocol error: the command did not come whole in time\r\n"))
		default:
			return true
		}
	}
}

// await has the next read end at the given time, if there is one. It reports false where the connection is
// to be closed and is between requests. The danger: one with work in hand is read on, as a command behind it
// counts as taken.
func (c *client) await(begun bool, until time.Time) bool {
	c.nc.SetReadDeadline(until)
	return !c.retired.Load() || begun || c.due.Load() > 0 || c.unread()
}

// discard reads what nobody takes any more, for as long as answers are due and the client may read them. The
// danger: a client that leaves meanwhile goes unnoticed, and its requests are sent on.
func (c *client) discard() {
	buf := make([]byte, 4096)
	for total := 0; total < 4*mostCommand; {
		n, err := c.nc.Read(buf)
		total += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.srv.loop.post(func() { c.srv.loop.depart(c) })
			return
		case c.lingering.Load():
			return
		default: // of a command, or of a connection that was to be closed
			c.nc.SetReadDeadline(time.Time{})
			if c.lingering.Load() {
				c.nc.SetReadDeadline(time.Now().Add(c.lingerTime()))
			}
		}
	}
}

// unread reports whether bytes have come that were not read yet.
func (c *client) unread() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// unsent reports whether the client's machine has not confirmed all of the answers yet.
func (c *client) unsent() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && n > 0
}

// hungUp reports whether the client has closed its side or reset the connection, also behind bytes that are
// not read yet.
func (c *client) hungUp() bool {
	if c.nc == nil {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		gone = err == nil && n > 0 && p[0].Revents&unix.POLLRDHUP != 0
	})
	return gone || err != nil
}

// enqueue gives an answer its place. It reports false where the client has left. The danger: while its many
// commands wait for their answers nobody reads on to where it left.
func (c *client) enqueue(s *slot) bool {
	c.due.Add(1)
	for {
		select {
		case c.queue <- s:
			return true
		default:
		}
		select {
		case c.queue <- s:
			return true
		case <-time.After(leftLook):
			if c.hungUp() {
				return false
			}
		}
	}
}

// say queues an answer of the router's own. It reports whether the client is still there.
func (c *client) say(answer []byte) bool {
	s := newSlot(c.srv.memory)
	s.answer(answer)
	return c.enqueue(s)
}

// command carries out one command. It reports whether the connection goes on, and whether the client is there.
func (c *client) command(args [][]byte, raw []byte) (goesOn, there bool) {
	said := func(answer []byte) (goesOn, there bool) {
		there = c.say(answer)
		return there, there
	}
	if len(args) == 0 {
		return true, true
	}
	read := c.srv.loop.clock()
	verb := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	switch verb {
	case "PING":
		switch {
		case !c.srv.loop.serving.Load():
			return said([]byte("-LOADING no caches are known yet\r\n"))
		case len(args) > 1:
			return said(redcon.AppendBulk(nil, args[1]))
		}
		return said([]byte("+PONG\r\n"))
	case "QUIT":
		return false, c.say([]byte("+OK\r\n"))
	case "C.GET", "C.SET":
	default:
		return said([]byte("-ERR unknown command\r\n"))
	}
	// The command outlives the buffer.
	_, args, _, err := nextCommand(bytes.Clone(raw))
	if err != nil {
		return false, true
	}
	cmd, err := parseCommand(args, len(raw))
	if err == nil {
		err = c.srv.proper(raw, cmd)
	}
	if err != nil {
		return said(redcon.AppendError(nil, "ERR "+err.Error()))
	}
	s := newSlot(c.srv.memory)
	// The danger: a flood of short commands takes many times the room of its bytes.
	charge := int64(len(raw) + requestRoom)
	if !s.memory.take(charge) {
		return said([]byte(busyReply))
	}
	s.charge = charge
	if !c.enqueue(s) {
		s.memory.give(s.charge)
		return false, false
	}
	c.srv.loop.post(func() { c.srv.loop.accept(c, s, cmd, read) })
	return true, true
}

// proper reports what is wrong with a command that can be read, but that no client sends. The
// danger: sent on, it is served as though it were a client's, or repeated with no key to drop it.
func (s *Server) proper(raw []byte, cmd command) error {
	if raw[0] != redcon.Array {
		return errors.New("a command is an array of bulk strings")
	}
	for _, class := range s.cfg.Settings.Classes {
		if class.Name == cmd.class {
			if class.Effect == decide.Keyed && cmd.write && !cmd.keyed {
				return errors.New("k is needed")
			}
			return nil
		}
	}
	return errors.New("c names no class")
}

// write sends the answers in the order of the commands.
func (c *client) write() {
	defer c.srv.wg.Done()
	gone, answered := false, false
	for s := range c.queue {
		var b []byte
		select {
		case b = <-s.wire:
		case <-c.srv.loop.done:
		}
		if !gone {
			if b == nil {
				gone = true
			} else {
				c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
				_, err := c.nc.Write(b)
				gone, answered = err != nil, true
			}
			if gone {
				c.nc.Close() // its reader notes that the client is gone
			}
		}
		s.memory.give(s.charge + int64(len(b)))
		c.lastUsed.Store(c.srv.loop.clock())
		if c.due.Add(-1) == 0 && c.retired.Load() {
			c.nc.SetReadDeadline(time.Now())
		}
	}
	// The danger: idle connections that were never answered hold their descriptors while others queue.
	if !gone && (answered || c.unread()) {
		c.linger()
	}
	c.nc.Close()
	c.srv.mu.Lock()
	delete(c.srv.clients, c)
	c.srv.mu.Unlock()
	c.srv.sockets.giveClient()
}

// linger lets the client read the last answer. The danger: closing while bytes still come, of an oversized
// command or of a request that crosses the close, resets the connection, and the answer is lost with it.
func (c *client) linger() {
	rested := c.srv.loop.clock()-c.lastUsed.Load() > c.srv.lingerTime.Microseconds()
	if rested && !c.unread() && !c.unsent() || c.nc.CloseWrite() != nil {
		return
	}
	c.lingering.Store(true)
	c.nc.SetReadDeadline(time.Now().Add(c.lingerTime()))
	<-c.readEnded
}

// lingerTime is short where others wait for room. The danger: a crowd that does not heed the router's end of
// its connections shuts out the PING that tells whether the router is ready.
func (c *client) lingerTime() time.Duration {
	if c.hurried.Load() {
		return min(commandGrace, c.srv.lingerTime)
	}
	return c.srv.lingerTime
}

// nextCommand takes one command off b. The danger: the codec panics on lengths out of range.
func nextCommand(b []byte) (complete bool, args [][]byte, used int, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("invalid length")
		}
	}()
	complete, args, kind, rest, err := redcon.ReadNextCommand(b, nil)
	if err == nil && kind == redcon.Tile38 {
		err = errors.New("expected '*'")
	}
	return complete, args, len(b) - len(rest), err
}
