package scaletest

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"
)

const (
	mostClientConns = 300             // connections of clients to one router
	longestLatency  = 5 * time.Second // that is told apart
)

// demand makes up requests.
type demand struct {
	rng  *rand.Rand
	keys *rand.Zipf
}

func newDemand(seed uint64) *demand {
	rng := rand.New(rand.NewPCG(seed, 0))
	return &demand{rng, rand.NewZipf(rng, 1.1, 100, 1<<21)} // two million keys; the most popular one has 0.1%
}

// gap is the time to the next request, at so many a second on average.
func (d *demand) gap(rate float64) time.Duration {
	return time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
}

// next is the next request: its key, whether it writes, and how long its client waits.
func (d *demand) next() (key uint64, write bool, patience time.Duration) {
	limit := readLimit
	if write = d.rng.Float64() < writeShare; write {
		limit = writeLimit
	}
	// The keys are spread as a hash of their names would.
	return (d.keys.Uint64() + 1) * 0x9e3779b97f4a7c15 >> 11, write,
		time.Duration(float64(limit) * (patienceLeast + d.rng.Float64()*(patienceMost-patienceLeast)))
}

// Clients are the open-loop clients of one router: a request is sent when it is due, whether
// those before it were answered or not.
type Clients struct {
	addr string
	rate float64 // requests a second

	mu    sync.Mutex
	count ClientCount
	idle  []net.Conn
	conns int
}

// ClientCount is what became of the requests that were due.
type ClientCount struct {
	Due, Served, Refused, Failed int64
	Latency                      *hdrhistogram.Histogram // of those served, from when they were due; microseconds
}

// NewClients prepares the clients of the router at this address.
func NewClients(addr string, rate float64) *Clients {
	c := &Clients{addr: addr, rate: rate}
	c.Take()
	return c
}

// Run sends requests until ctx ends, or so many if most is not 0, and waits for their answers.
func (c *Clients) Run(ctx context.Context, most int64) {
	d, due := newDemand(rand.Uint64()), time.Now()
	var sends sync.WaitGroup
	defer sends.Wait()
	for n := int64(0); most == 0 || n < most; n++ {
		due = due.Add(d.gap(c.rate))
		if pause(ctx, time.Until(due)) != nil {
			return
		}
		key, write, patience := d.next()
		msg, at := requestOf(write, key, d.rng.Uint64(), patience.Milliseconds()), due
		sends.Go(func() { c.send(msg, at, at.Add(patience)) })
	}
}

// send sends one request. One that finds every connection busy, and there may be no more, has failed.
func (c *Clients) send(msg []byte, due, until time.Time) {
	nc, err := c.conn()
	var rep redcon.RESP
	if nc != nil {
		nc.SetDeadline(until.Add(100 * time.Millisecond))
		if _, err = nc.Write(msg); err == nil {
			rep, err = readReply(nc, make([]byte, replySize))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count.Due++
	switch {
	case nc == nil || err != nil:
		c.count.Failed++
	case rep.Type == redcon.Bulk || rep.Type == redcon.Array:
		c.count.Served++
		c.count.Latency.RecordValue(min(longestLatency, time.Since(due)).Microseconds())
	case isBusy(rep):
		c.count.Refused++
	default:
		c.count.Failed++
	}
	switch {
	case nc != nil && err == nil:
		c.idle = append(c.idle, nc)
	case err != nil:
		c.conns--
		if nc != nil {
			nc.Close()
		}
	}
}

// conn is an idle connection or a new one, or none where there are as many as there may be.
func (c *Clients) conn() (net.Conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		nc := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return nc, nil
	}
	if c.conns == mostClientConns {
		c.mu.Unlock()
		return nil, nil
	}
	c.conns++
	c.mu.Unlock()
	return net.DialTimeout("tcp", c.addr, time.Second)
}

// Take is what became of the requests since the last Take.
func (c *Clients) Take() ClientCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.count
	c.count = ClientCount{Latency: hdrhistogram.New(1, longestLatency.Microseconds(), 3)}
	return taken
}

// pause waits, or says why ctx has ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
