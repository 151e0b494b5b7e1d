package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"marlstage/internal/faulttest"
)

// Request classes of the tests with an oracle.
const (
	classRead = "read" // may be repeated
	classPut  = "put"  // may be repeated with its idempotency key
	classOnce = "once" // must not run twice
)

// oracleClient is a client whose requests the oracle judges. It must not fail the test by itself, as
// it may run beside the test's goroutine.
type oracleClient struct {
	oracle *oracle
	nc     *net.TCPConn
	conn   *oracleConn
	ended  chan struct{} // closed when nothing more is received

	mu       sync.Mutex
	answers  int
	progress chan struct{} // receives when an answer has come; has capacity one
}

// dialOracle connects a client to a router.
func dialOracle(o *oracle, addr string) (*oracleClient, error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := nc.(*net.TCPConn)
	c := &oracleClient{
		oracle:   o,
		nc:       tcp,
		conn:     o.clientConnected(tcp),
		ended:    make(chan struct{}),
		progress: make(chan struct{}, 1),
	}
	go c.readAnswers()
	return c, nil
}

// encodeRequest returns a request on the wire.
func encodeRequest(r *oracleRequest) string {
	options := fmt.Sprintf("c=%s,d=%d", r.class, r.timeout.Milliseconds())
	switch r.class {
	case classRead:
		return encodeCommand("C.GET", "key-"+r.id, r.id, options)
	case classPut:
		return encodeCommand("C.SET", "key-"+r.id, r.id, options+",k="+r.id, strings.Repeat("v", 3000))
	default:
		return encodeCommand("C.SET", "key-"+r.id, r.id, options, "v")
	}
}

// send writes requests with one write. If pause is not nil, it is called in the middle of the first
// request.
func (c *oracleClient) send(requests []*oracleRequest, pause func()) {
	var wire strings.Builder
	firstSize := 0
	for _, r := range requests {
		encoded := encodeRequest(r)
		c.oracle.willWrite(c.conn, len(encoded), r)
		wire.WriteString(encoded)
		if firstSize == 0 {
			firstSize = len(encoded)
		}
	}
	rest := wire.String()
	if pause != nil {
		if _, err := io.WriteString(c.nc, rest[:firstSize/2]); err != nil {
			return // not written whole
		}
		rest = rest[firstSize/2:]
		pause()
	}
	if _, err := io.WriteString(c.nc, rest); err == nil { // else it is not known to be written whole
		c.oracle.wroteAll(requests)
	}
}

// awaitAnswers waits until the given number of answers have come on the connection. It reports false
// if the connection ended before, or at the timeout.
func (c *oracleClient) awaitAnswers(total int, timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		c.mu.Lock()
		enough := c.answers >= total
		c.mu.Unlock()
		if enough {
			return true
		}
		select {
		case <-c.progress:
		case <-c.ended:
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.answers >= total
		case <-expired:
			return false
		}
	}
}

// hasEnded reports whether the connection has ended.
func (c *oracleClient) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// close closes the connection as the client's own wish.
func (c *oracleClient) close() {
	c.oracle.closeClient(c.conn, func() { _ = c.nc.Close() }) // it may be closed already
}

// reset closes the connection with a reset.
func (c *oracleClient) reset() {
	c.oracle.closeClient(c.conn, func() {
		_ = c.nc.SetLinger(0) // fails only on a closed connection
		_ = c.nc.Close()
	})
}

// readAnswers reports answers to the oracle until the connection ends.
func (c *oracleClient) readAnswers() {
	defer close(c.ended)
	defer func() { _ = c.nc.Close() }() // it may be closed already
	received := &recordingReader{source: c.nc}
	reader := bufio.NewReader(received)
	for {
		answer, size, err := faulttest.ReadAnswer(reader)
		if err != nil {
			c.oracle.connectionEnded(c.conn, string(received.bytes))
			return
		}
		received.bytes = received.bytes[size:]
		c.oracle.answered(c.conn, answer)
		c.mu.Lock()
		c.answers++
		c.mu.Unlock()
		select {
		case c.progress <- struct{}{}:
		default:
		}
	}
}

// recordingReader keeps the bytes that were read from its source.
type recordingReader struct {
	source io.Reader
	bytes  []byte
}

func (r *recordingReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.bytes = append(r.bytes, b[:n]...)
	return n, err
}
