package scaletest

// This file implements the open-loop clients of a real router.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"
)

const (
	maxClientConns    = 300                    // maximum number of client connections to one router
	clientDialTimeout = time.Second            // for a new connection
	replyGrace        = 100 * time.Millisecond // extra wait after a client's timeout for a reply in transit
	maxLatency        = 5 * time.Second        // upper bound of the latency histogram
)

// errNoClientConn means that every connection is busy and no further one is allowed.
var errNoClientConn = errors.New("all client connections are busy")

// Clients are the open-loop clients of one router: each request is sent when it is due, whether
// or not earlier ones were answered.
type Clients struct {
	addr string
	rate float64 // requests per second

	mu        sync.Mutex // guards the fields below
	stats     ClientStats
	idle      []net.Conn
	openConns int
}

// ClientStats holds the outcomes of the requests that were due.
type ClientStats struct {
	Due, Served, Rejected, Failed int64
	Latency                       *hdrhistogram.Histogram // of the served requests, from their due time, in microseconds
}

// NewClients returns the clients of the router at addr. Run sends their requests.
func NewClients(addr string, rate float64) *Clients {
	c := &Clients{addr: addr, rate: rate}
	c.TakeStats()
	return c
}

// Run sends requests until ctx ends or, unless maxRequests is 0, until it has sent that many. It
// returns when all of them have an outcome.
func (c *Clients) Run(ctx context.Context, maxRequests int64) {
	workload := newWorkload(rand.Uint64())
	due := time.Now()
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := int64(0); maxRequests == 0 || n < maxRequests; n++ {
		due = due.Add(workload.nextInterval(c.rate))
		if sleep(ctx, time.Until(due)) != nil {
			return
		}
		next := workload.next()
		message := requestCommand(next.write, next.key, workload.rng.Uint64(), next.timeout.Milliseconds())
		dueAt := due
		sends.Go(func() { c.send(message, dueAt, dueAt.Add(next.timeout)) })
	}
}

// send sends one request and counts its outcome.
func (c *Clients) send(message []byte, due, deadline time.Time) {
	nc, err := c.acquire()
	if err != nil {
		c.countOutcome(redcon.RESP{}, err, due)
		return
	}
	nc.SetDeadline(deadline.Add(replyGrace))
	reply, err := roundTrip(nc, message, make([]byte, replySize))
	c.countOutcome(reply, err, due)
	c.release(nc, err)
}

func (c *Clients) countOutcome(reply redcon.RESP, err error, due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Due++
	switch {
	case err != nil:
		c.stats.Failed++
	case reply.Type == redcon.Bulk || reply.Type == redcon.Array:
		c.stats.Served++
		// It cannot fail: the value is within the histogram's range.
		_ = c.stats.Latency.RecordValue(min(maxLatency, time.Since(due)).Microseconds())
	case isBusy(reply):
		c.stats.Rejected++
	default:
		c.stats.Failed++
	}
}

// acquire returns an idle connection or a new one. The error is errNoClientConn if all
// maxClientConns connections are busy.
func (c *Clients) acquire() (net.Conn, error) {
	nc, err := c.takeIdle()
	if nc != nil || err != nil {
		return nc, err
	}
	nc, err = net.DialTimeout("tcp", c.addr, clientDialTimeout)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.openConns--
		return nil, err
	}
	return nc, nil
}

// takeIdle returns an idle connection. If there is none, it returns nil and counts a new connection,
// which the caller has to open.
func (c *Clients) takeIdle() (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		nc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return nc, nil
	}
	if c.openConns == maxClientConns {
		return nil, errNoClientConn
	}
	c.openConns++
	return nil, nil
}

// release returns a connection to the idle ones, or closes it if err is not nil.
func (c *Clients) release(nc net.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.idle = append(c.idle, nc)
		return
	}
	c.openConns--
	nc.Close()
}

// TakeStats returns the outcomes of the requests since the previous call and resets them.
func (c *Clients) TakeStats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.stats
	c.stats = ClientStats{Latency: newHistogram(maxLatency)}
	return taken
}

// sleep waits for d. If ctx ends first, it returns the cause.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
