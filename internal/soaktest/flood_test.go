package soaktest

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	maxFloodCommands  = 2500                   // commands that a flooding client writes at once
	maxFloodPause     = 150 * time.Millisecond // after which it leaves
	minFloodWriteTime = 50 * time.Millisecond  // for which it writes at least, if the router takes nothing
)

// TestFloodingClientsDisconnect has clients write up to thousands of commands at once and leave.
//
// Seen: attempts that began up to 0.40 s after their client had closed its connection, only for clients that
// had written 0.68 MB or more. How: the router stopped reading at a bound, the receive window filled, and
// the client's end waited in its own machine behind bytes that nobody read. Cause: a look at a socket that
// can't show the end was taken for "connected".
func TestFloodingClientsDisconnect(t *testing.T) {
	const (
		clients  = 4
		caches   = 4
		loadTime = 3 * time.Second
	)
	ck := newChecker()
	p := plan{
		seed: 1, longestTimeout: 2 * time.Second, routers: 1, descriptors: manyDescriptors, warmupTime: defaultWarmupTime,
		minServiceTime: 120 * time.Millisecond, maxServiceTime: 240 * time.Millisecond,
	}
	endpoints := newEndpointList()
	for i := range caches {
		endpoints.publish(startCache(t, fmt.Sprint("c", i), ck, &p, uint64(100+i)).endpoint())
	}
	router := startRouter(t, buildRouter(t), "n0", &p, startDiscovery(t, endpoints).addr(), endpoints)
	var running sync.WaitGroup
	end := time.Now().Add(loadTime)
	for i := range clients {
		c := &client{checker: ck, rng: newRand(1, uint64(i)), name: fmt.Sprint("n", i), addr: router.addr, maxTimeout: p.longestTimeout}
		running.Go(func() {
			for time.Now().Before(end) {
				c.floodAndDisconnect()
			}
		})
	}
	running.Wait()
	time.Sleep(p.longestTimeout) // no attempt may begin any more
	v := ck.check([]time.Time{time.Now().Add(time.Hour)})
	for _, violation := range v.violations[:min(len(v.violations), maxReported)] {
		t.Error("broken rule: " + violation)
	}
	if len(ck.attempts) == 0 {
		t.Error("no attempt was made")
	}
}

// floodAndDisconnect writes many commands on a connection of its own, as far as the router takes them, and
// closes it after a while.
func (c *client) floodAndDisconnect() {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return // the router has no descriptor left
	}
	s := newSession(c, nc.(*net.TCPConn))
	_ = s.nc.SetWriteDeadline(time.Now().Add(randomDuration(c.rng, minFloodWriteTime, maxFloodPause)))
	batch := c.newBatch(1 + c.rng.IntN(maxFloodCommands))
	var wire []byte
	for _, r := range batch {
		wire = append(wire, r.wire...)
	}
	s.recordBatch(batch)
	if s.writePart(wire) {
		time.Sleep(randomDuration(c.rng, 0, maxFloodPause))
	}
	s.close()
}
