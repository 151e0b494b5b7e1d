package soaktest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/faulttest"
	"marlstage/internal/resp"
)

const (
	maxIdleFaultDelay   = 60 * time.Millisecond // from a reply to a fault of the idle connection
	endlessReplyPieces  = 400                   // of a reply that stays incomplete while any client waits for it
	maxServiceTime      = 15 * time.Millisecond // of a request that is served without a fault
	maxHang             = 4 * time.Second       // after which the connection of a request that hangs is closed
	secondReplyDelay    = 6 * time.Millisecond  // between a reply and a second reply to the same request
	maxSecondReplyDelay = 9 * time.Millisecond  // if a busy machine delays it further, the second reply is omitted
	largeValueSuffix    = "00"                  // of the ids of requests whose values are large
	largeValueSize      = 50_000
	pieceInterval       = 2 * time.Millisecond // between the pieces of a reply
)

// cacheFault is a fault in the handling of a request by a cache.
type cacheFault int

const (
	faultHang            cacheFault = iota // no reply; the connection is closed after maxHang
	faultReset                             // the connection is reset without a reply
	faultError                             // an error reply
	faultBusy                              // a rejection
	faultFragments                         // the reply is written in several pieces
	faultSecondReply                       // the reply is sent twice
	faultEndlessReply                      // the reply is never complete
	faultCloseIdle                         // the connection is closed some time after the reply
	faultResetIdle                         // the connection is reset some time after the reply
	faultUnsolicitedLine                   // an unsolicited line is sent some time after the reply
	faultIgnoreNext                        // later requests on the connection get no reply
	cacheFaultCount                        // the number of faults
)

// cache is a test cache server. It replies to each request with a value that contains the request id.
type cache struct {
	name    string
	checker *checker
	plan    *plan
	// handle, if not nil, replies to requests in place of reply, and reports whether the connection stays open.
	handle func(nc *net.TCPConn, id string) bool
	hung   atomic.Bool // it no longer replies

	mu       sync.Mutex
	rng      *rand.Rand
	listener net.Listener
	conns    map[*net.TCPConn]struct{}
	since    time.Time // when it was restarted; zero if it was not
}

func startCache(t *testing.T, name string, ck *checker, p *plan, part uint64) *cache {
	t.Helper()
	c := &cache{name: name, checker: ck, plan: p, rng: newRand(p.seed, part), conns: map[*net.TCPConn]struct{}{}}
	if err := c.listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.kill)
	return c
}

// listen accepts connections at an address.
func (c *cache) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener = listener
	c.mu.Unlock()
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(nc.(*net.TCPConn))
		}
	}()
	return nil
}

// endpoint returns the cache's entry in the endpoint list, with stateInService.
func (c *cache) endpoint() endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return endpoint{name: c.name, address: c.listener.Addr().String(), state: stateInService, since: c.since}
}

// kill closes the cache's listener and resets its connections, as the end of its process would.
func (c *cache) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.listener.Close() // fails only if it is closed already
	for nc := range c.conns {
		_ = nc.SetLinger(0) // fails only on a closed connection
		_ = nc.Close()
	}
}

// restart kills the cache and starts it at an address after downTime.
func (c *cache) restart(addr string, downTime time.Duration) error {
	c.kill()
	time.Sleep(downTime)
	c.mu.Lock()
	c.since = time.Now()
	c.mu.Unlock()
	return c.listen(addr)
}

// track adds an open connection to conns, or removes and closes it.
func (c *cache) track(nc *net.TCPConn, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open {
		c.conns[nc] = struct{}{}
		return
	}
	delete(c.conns, nc)
	_ = nc.Close() // fails only if it is closed already
}

func (c *cache) nextFault() (fault cacheFault, faulty bool, service time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service = randomDuration(c.rng, c.plan.minServiceTime, c.plan.maxServiceTime)
	return cacheFault(c.rng.IntN(int(cacheFaultCount))), c.rng.Float64() < c.plan.faultShare, service
}

// serve replies to the commands of a connection until it ends.
func (c *cache) serve(nc *net.TCPConn) {
	c.track(nc, true)
	defer c.track(nc, false)
	reader := redcon.NewReader(nc)
	for {
		cmd, err := reader.ReadCommand()
		if err != nil {
			return
		}
		if len(cmd.Args) <= resp.OptionsArgument {
			if c.hung.Load() {
				continue
			}
			if _, err := io.WriteString(nc, "+PONG\r\n"); err != nil {
				return
			}
			continue
		}
		id := string(cmd.Args[resp.IDArgument])
		fault, faulty, service := c.nextFault()
		if c.handle != nil {
			if !c.handle(nc, id) {
				return
			}
			continue
		}
		c.checker.recordAttempt(attempt{
			id:       id,
			cache:    c.name,
			timeout:  faulttest.ToldTimeout(string(cmd.Args[resp.OptionsArgument])),
			arrived:  time.Now(),
			rejected: faulty && fault == faultBusy,
		})
		if c.hung.Load() {
			continue
		}
		time.Sleep(service)
		if !c.reply(nc, id, fault, faulty) {
			return
		}
	}
}

// reply replies to a request and reports whether the connection stays open.
func (c *cache) reply(nc *net.TCPConn, id string, fault cacheFault, faulty bool) bool {
	wire := servedReply(id)
	if !faulty {
		_, err := io.WriteString(nc, wire)
		return err == nil
	}
	switch fault {
	case faultHang:
		time.Sleep(maxHang)
		return false
	case faultReset:
		_ = nc.SetLinger(0) // fails only on a connection that is closed
		return false
	case faultError:
		wire = "-ERR failed\r\n"
	case faultBusy:
		wire = "-BUSY\r\n"
	case faultFragments:
		for _, cut := range []int{len(wire) / 3, len(wire) / 2} {
			if _, err := io.WriteString(nc, wire[:cut]); err != nil {
				return false
			}
			wire = wire[cut:]
			time.Sleep(pieceInterval)
		}
	case faultEndlessReply:
		return replyEndlessly(nc)
	case faultCloseIdle, faultResetIdle, faultUnsolicitedLine, faultIgnoreNext:
		return c.replyThenFail(nc, wire, fault)
	case faultSecondReply:
		start := time.Now()
		if _, err := io.WriteString(nc, wire); err != nil {
			return false
		}
		time.Sleep(secondReplyDelay)
		if time.Since(start) > maxSecondReplyDelay {
			return true
		}
	}
	_, err := io.WriteString(nc, wire)
	return err == nil
}

// replyEndlessly writes an incomplete reply in pieces until the router closes the connection.
func replyEndlessly(nc *net.TCPConn) bool {
	if _, err := io.WriteString(nc, "*3\r\n$60000\r\n"); err != nil {
		return false
	}
	for range endlessReplyPieces {
		if _, err := io.WriteString(nc, "v"); err != nil {
			return false
		}
		time.Sleep(pieceInterval)
	}
	return false
}

// replyThenFail replies and applies a fault to the idle connection, for most faults some time later.
func (c *cache) replyThenFail(nc *net.TCPConn, wire string, fault cacheFault) bool {
	if _, err := io.WriteString(nc, wire); err != nil {
		return false
	}
	c.mu.Lock()
	delay := randomDuration(c.rng, 0, maxIdleFaultDelay)
	c.mu.Unlock()
	switch fault {
	case faultIgnoreNext:
		_, _ = io.Copy(io.Discard, nc) // until the router closes the connection
		return false
	case faultUnsolicitedLine:
		time.Sleep(delay)
		_, _ = io.WriteString(nc, "-ERR closing\r\n") // the router may have closed it
	case faultResetIdle:
		time.Sleep(delay)
		_ = nc.SetLinger(0) // fails only on a connection that is closed
	default:
		time.Sleep(delay)
	}
	return false
}

// servedReply returns the encoded reply of a cache that serves a request.
func servedReply(id string) string {
	value := servedValue(id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// servedValue returns the value of the reply to a request. A few values are large.
func servedValue(id string) string {
	value := "value-of-" + id
	if strings.HasSuffix(id, largeValueSuffix) {
		value += strings.Repeat(".", largeValueSize)
	}
	return value
}
