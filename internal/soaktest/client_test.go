package soaktest

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"marlstage/internal/faulttest"
	"marlstage/internal/resp"
)

const (
	maxPipeline        = 60                     // requests in a batch
	maxOutstanding     = 400                    // requests of a client that sends without waiting for answers
	slowOutstanding    = 40                     // the same for slow readers; with more they would read past SIGKILL
	maxPause           = 150 * time.Millisecond // between the batches of a client
	maxSplitPause      = 200 * time.Millisecond // in the middle of a command, for all splits of a batch together
	setValueSize       = 3000                   // of a value that is stored
	largeSetValueSize  = 60_000                 // of a few values that are stored
	largeShare         = 0.02                   // of the stored values that are large
	slowWriteShare     = 0.05                   // of the batches that are written in many parts
	slowWriteSplits    = 20                     // splits of such a batch
	keyCount           = 50
	answerWait         = 2 * time.Second       // after the last timeout, in which answers are awaited
	redialInterval     = 5 * time.Millisecond  // after a failed attempt to connect
	unreadPollInterval = 30 * time.Millisecond // between queries of what a router has left unread
	hangupPollTimeout  = 20 * time.Millisecond // of each wait for the end of a connection
	unreadPolls        = 3
	slowReadTime       = time.Millisecond // pause of a slow client after each answer
	slowShare          = 0.2              // of the clients that read slowly
	disconnectShare    = 0.05             // of the batches after which a client disconnects without waiting
	splitShare         = 0.3              // of the batches that are written in parts, including slowWriteShare
	shortTimeoutShare  = 0.05             // of the requests with a short timeout
	maxShortTimeout    = 60 * time.Millisecond
	writeClassShare    = 0.3 // of the requests that are writes
)

// client sends requests to a router, over one connection at a time, until the router terminates.
type client struct {
	checker      *checker
	rng          *rand.Rand
	name         string
	router       int
	addr         string
	maxTimeout   time.Duration
	routerExited <-chan struct{} // closed when the router was sent SIGKILL
	terminated   <-chan struct{} // closed connectWindow after SIGTERM; no more connections are opened then
	slow         bool            // it reads slowly
	floodShare   float64         // share of the batches that are preceded by a flood, see floodAndDisconnect
	sent         int
}

// run opens connections and sends requests until the router terminates.
func (c *client) run() {
	for !isClosed(c.routerExited) && !isClosed(c.terminated) {
		nc, err := net.Dial("tcp", c.addr)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		c.sendBatches(newSession(c, nc.(*net.TCPConn)))
	}
}

// sendBatches sends batches on a connection until it ends.
func (c *client) sendBatches(s *session) {
	defer s.close()
	for !s.hasEnded() {
		if c.rng.Float64() < c.floodShare {
			c.floodAndDisconnect()
		}
		size := 1
		if c.rng.IntN(2) == 0 {
			size = 2 + c.rng.IntN(maxPipeline-1)
		}
		batch := c.newBatch(size)
		if !s.write(batch) {
			<-s.ended
			return
		}
		if c.rng.Float64() < disconnectShare {
			time.Sleep(randomDuration(c.rng, 0, maxPause/10))
			c.checker.recordClientClose(s.connection)
			if c.rng.IntN(2) == 0 {
				_ = s.nc.SetLinger(0) // Close then resets the connection; fails only if it is closed already
			}
			return
		}
		// After SIGTERM clients keep sending without waiting for the answers to each batch.
		unanswered := 0
		if isClosed(c.terminated) {
			unanswered = c.maxOutstanding()
		}
		if !s.awaitAnswers(unanswered) {
			return
		}
		if c.rng.IntN(3) == 0 {
			time.Sleep(randomDuration(c.rng, 0, maxPause))
		}
	}
}

// maxOutstanding returns how many requests the client may have outstanding when it sends without waiting.
func (c *client) maxOutstanding() int {
	if c.slow {
		return slowOutstanding
	}
	return maxOutstanding
}

// newBatch returns requests that are to be written together.
func (c *client) newBatch(size int) (batch []*request) {
	for range size {
		c.sent++
		r := &request{
			id:      fmt.Sprintf("%s-%d", c.name, c.sent),
			class:   classRead,
			timeout: randomDuration(c.rng, c.maxTimeout/4, c.maxTimeout).Truncate(time.Millisecond),
		}
		if c.rng.Float64() < shortTimeoutShare {
			r.timeout = randomDuration(c.rng, time.Millisecond, maxShortTimeout).Truncate(time.Millisecond)
		}
		if c.rng.Float64() < writeClassShare {
			r.class = []string{classPut, classOnce}[c.rng.IntN(2)]
		}
		r.large = c.rng.Float64() < largeShare
		r.wire = encode(r, c.rng.IntN(keyCount))
		batch = append(batch, r)
	}
	return batch
}

// encode returns the wire format of a request.
func encode(r *request, key int) []byte {
	options := fmt.Sprintf("c=%s,d=%d", r.class, r.timeout.Milliseconds())
	words := []string{resp.VerbGet, fmt.Sprint("key-", key), r.id, options}
	switch r.class {
	case classPut:
		words[0], words[3] = resp.VerbSet, options+",k="+r.id
		size := setValueSize
		if r.large {
			size = largeSetValueSize
		}
		words = append(words, strings.Repeat("v", size))
	case classOnce:
		words[0] = resp.VerbSet
		words = append(words, "v")
	}
	return resp.AppendCommand(nil, words...)
}

// session is a client's connection to the router.
type session struct {
	client     *client
	nc         *net.TCPConn
	connection *connection
	ended      chan struct{} // closed when the connection has ended and all answers are read
	progress   chan struct{} // signals that an answer was received

	endOnce sync.Once

	writing     sync.Mutex // held during each write
	writeClosed bool       // no more writes are allowed; guarded by writing
	sentBytes   int64      // guarded by writing
	mu          sync.Mutex
	written     int // requests written or about to be written; guarded by mu, like the fields below
	answered    int
	lastDue     time.Time // when the last request written times out at the latest
}

func newSession(c *client, nc *net.TCPConn) *session {
	s := &session{
		client:     c,
		nc:         nc,
		connection: c.checker.addConnection(c.router, c.slow),
		ended:      make(chan struct{}),
		progress:   make(chan struct{}, 1),
	}
	go s.readAnswers()
	go s.awaitEnd()
	return s
}

func (s *session) hasEnded() bool { return isClosed(s.ended) }

// close closes the connection and waits until its reader has ended. If the router ended the connection, the
// bytes that it left unread have been recorded before.
func (s *session) close() {
	s.client.checker.recordClientClose(s.connection)
	_ = s.nc.Close() // fails only if it is closed already
	<-s.ended
}

// write writes a batch; some batches are split in the middle of a command, with a pause after each part. It
// reports false if the connection ended before the batch was written.
func (s *session) write(batch []*request) bool {
	rng := s.client.rng
	var wire []byte
	for _, r := range batch {
		wire = append(wire, r.wire...)
	}
	splits := 0
	switch draw := rng.Float64(); {
	case draw < slowWriteShare:
		splits = slowWriteSplits
	case draw < splitShare:
		splits = 1
	}
	if s.isWriteClosed() {
		return false
	}
	s.recordBatch(batch)
	for range splits {
		split := rng.IntN(len(wire))
		if !s.writePart(wire[:split]) || !s.pause(randomDuration(rng, 0, maxSplitPause/time.Duration(splits))) {
			return false
		}
		wire = wire[split:]
	}
	if !s.writePart(wire) {
		return false
	}
	s.client.checker.recordWritten(batch)
	return true
}

// pause waits for a duration and reports whether the connection is still open.
func (s *session) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-s.ended:
		return false
	}
}

// isWriteClosed reports whether no more writes are allowed.
func (s *session) isWriteClosed() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.writeClosed
}

// recordBatch adds a batch to the checker before it is written.
func (s *session) recordBatch(batch []*request) {
	for _, r := range batch {
		s.client.checker.addRequest(s.connection, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written += len(batch)
	s.lastDue = time.Now().Add(s.client.maxTimeout)
}

func (s *session) writePart(wire []byte) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.writeClosed {
		return false
	}
	n, err := s.nc.Write(wire)
	s.sentBytes += int64(n)
	return err == nil
}

// awaitAnswers waits until at most the given number of requests are unanswered. It reports false if the
// connection ends before that, or if answerWait has passed since the last timeout.
func (s *session) awaitAnswers(unanswered int) bool {
	for {
		s.mu.Lock()
		enough := s.written-s.answered <= unanswered
		wait := time.Until(s.lastDue) + answerWait
		s.mu.Unlock()
		if enough {
			return true
		}
		select {
		case <-s.progress:
		case <-s.ended:
			return false
		case <-time.After(wait):
			return false
		}
	}
}

// readAnswers records answers until the connection ends.
func (s *session) readAnswers() {
	defer close(s.ended)
	reader := bufio.NewReader(s.nc)
	for {
		wire, _, err := faulttest.ReadAnswer(reader)
		if err != nil {
			s.client.checker.recordFullyRead(s.connection)
			s.handleRouterClose()
			return
		}
		s.client.checker.recordAnswer(s.connection, wire)
		if s.client.slow {
			time.Sleep(slowReadTime)
		}
		s.mu.Lock()
		s.answered++
		s.mu.Unlock()
		select {
		case s.progress <- struct{}{}:
		default:
		}
	}
}

// awaitEnd records the end of the connection when it arrives. A slow client may not have read all answers before
// it by then.
func (s *session) awaitEnd() {
	for !s.hasEnded() {
		if awaitHangup(s.nc, hangupPollTimeout) {
			s.handleRouterClose()
			return
		}
	}
}

// handleRouterClose records, once, that the router has ended the connection and how many bytes it has read.
func (s *session) handleRouterClose() { s.endOnce.Do(s.recordEnd) }

func (s *session) recordEnd() {
	s.client.checker.recordRouterClose(s.connection)
	_ = s.nc.SetWriteDeadline(time.Now()) // interrupts a write that is blocked because the router no longer reads
	s.writing.Lock()
	s.writeClosed = true
	sent := s.sentBytes
	s.writing.Unlock()
	for range unreadPolls {
		// undelivered is queried before unread: bytes that arrive between the two queries are then counted in
		// both and do not count as read.
		undelivered, known := undeliveredBytes(s.nc)
		unread, ok := unreadBytes(s.nc.RemoteAddr(), s.nc.LocalAddr())
		if known && ok { // the query may miss a socket while the list of sockets changes
			s.client.checker.recordBytesRead(s.connection, sent-undelivered-unread)
		}
		time.Sleep(unreadPollInterval)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
