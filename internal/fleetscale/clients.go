package fleetscale

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	mostClientConns = 300             // connections of clients to one router
	longestLatency  = 5 * time.Second // that is told apart
)

// Clients are the open-loop clients of one router: a request is sent when it is due, whether
// those before it were answered or not.
type Clients struct {
	addr string
	rate float64 // requests a second

	mu    sync.Mutex
	count ClientCount
	idle  []*clientConn
	conns int
	sends sync.WaitGroup
}

// ClientCount is what became of the requests that were due.
type ClientCount struct {
	Due, Served, Refused, Failed int64
	Unsent                       int64                   // every connection was busy
	Latency                      *hdrhistogram.Histogram // of those served, in microseconds from when they were due
}

type clientConn struct {
	nc net.Conn
	r  *bufio.Reader
}

// NewClients prepares the clients of the router at this address.
func NewClients(addr string, rate float64) *Clients {
	c := &Clients{addr: addr, rate: rate}
	c.Take()
	return c
}

// Run sends requests until ctx ends, or so many if most is not 0. It returns once all are answered or given up.
func (c *Clients) Run(ctx context.Context, most int64) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	keys := rand.NewZipf(rng, keySkew, keyOffset, keysInAll)
	due := time.Now()
	for n := int64(0); ctx.Err() == nil && (most == 0 || n < most); n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			c.sends.Wait()
			return
		}
		limit, write := 2*time.Second, rng.Float64() < writeShare
		if write {
			limit = 4 * time.Second
		}
		patience := time.Duration(float64(limit) * (patienceLeast + rng.Float64()*(patienceMost-patienceLeast)))
		msg := get(keys.Uint64(), fmt.Sprintf("%016x", rng.Uint64()), patience.Milliseconds())
		if write {
			msg = set(keys.Uint64(), fmt.Sprintf("%016x", rng.Uint64()), patience.Milliseconds())
		}
		at := due
		c.sends.Go(func() { c.send(msg, at, patience) })
	}
	c.sends.Wait()
}

func (c *Clients) send(msg []byte, due time.Time, patience time.Duration) {
	k, err := c.conn()
	var rep reply
	if k != nil {
		k.nc.SetDeadline(due.Add(patience + 100*time.Millisecond))
		if _, err = k.nc.Write(msg); err == nil {
			rep, err = readReply(k.r)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count.Due++
	switch {
	case k == nil && err == nil:
		c.count.Unsent++
		return
	case err != nil:
		c.count.Failed++
		c.conns--
		if k != nil {
			k.nc.Close()
		}
		return
	case rep.kind == '$' || rep.kind == '*':
		c.count.Served++
		c.count.Latency.RecordValue(min(longestLatency.Microseconds(), time.Since(due).Microseconds()))
	case rep.kind == '-' && len(rep.line) >= 4 && rep.line[:4] == "BUSY":
		c.count.Refused++
	default:
		c.count.Failed++
	}
	c.idle = append(c.idle, k)
}

// conn is an idle connection or a new one; nil where there are as many as there may be.
func (c *Clients) conn() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return k, nil
	}
	if c.conns == mostClientConns {
		c.mu.Unlock()
		return nil, nil
	}
	c.conns++
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReaderSize(nc, 1024)}, nil
}

// Take is what became of the requests since the last Take.
func (c *Clients) Take() ClientCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.count
	c.count = ClientCount{Latency: hdrhistogram.New(1, longestLatency.Microseconds(), 3)}
	return taken
}
