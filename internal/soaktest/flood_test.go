package soaktest

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	maxFlood      = 2500                   // commands that a flooding client writes at once
	maxFloodLeave = 150 * time.Millisecond // after which it leaves
	minFloodTime  = 50 * time.Millisecond  // for which it writes at least, if the router takes nothing
)

// TestFloodingClientsLeave has clients write up to thousands of commands at once and leave.
//
// Seen: attempts that began up to 0.40 s after their client had closed its connection, only for clients that
// had written 0.68 MB or more. How: the router stopped reading at a bound, the receive window filled, and
// the client's end waited in its own machine behind bytes that nobody read. Cause: a look at a socket that
// can't show the end was taken for "connected".
func TestFloodingClientsLeave(t *testing.T) {
	const (
		clients  = 4
		caches   = 4
		playTime = 3 * time.Second
	)
	j := newJudge()
	p := plan{
		seed: 1, longestTimeout: 2 * time.Second, routers: 1, descriptors: manyDescriptors, warmupTime: usualWarmupTime,
		minServiceTime: 120 * time.Millisecond, maxServiceTime: 240 * time.Millisecond,
	}
	fleet := newFleet()
	for i := range caches {
		fleet.publish(startCache(t, fmt.Sprint("c", i), j, &p, uint64(100+i)).endpoint())
	}
	router := startRouter(t, buildRouter(t), "n0", &p, startDiscovery(t, fleet).addr(), fleet)
	var running sync.WaitGroup
	over := time.Now().Add(playTime)
	for i := range clients {
		c := &client{judge: j, rng: newRand(1, uint64(i)), name: fmt.Sprint("n", i), addr: router.addr, maxTimeout: p.longestTimeout}
		running.Go(func() {
			for time.Now().Before(over) {
				c.floodAndLeave()
			}
		})
	}
	running.Wait()
	time.Sleep(p.longestTimeout) // no attempt may begin any more
	v := j.verdict([]time.Time{time.Now().Add(time.Hour)})
	for _, violation := range v.violations[:min(len(v.violations), maxReported)] {
		t.Error("broken rule: " + violation)
	}
	if len(j.attempts) == 0 {
		t.Error("no attempt was made")
	}
}

// floodAndLeave writes many commands on a connection of its own, as far as the router takes them, and
// closes it after a while.
func (c *client) floodAndLeave() {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return // the router has no descriptor left
	}
	s := newSession(c, nc.(*net.TCPConn))
	_ = s.nc.SetWriteDeadline(time.Now().Add(randomDuration(c.rng, minFloodTime, maxFloodLeave)))
	batch := c.newBatch(1 + c.rng.IntN(maxFlood))
	var wire []byte
	for _, r := range batch {
		wire = append(wire, r.wire...)
	}
	s.noteBatch(batch)
	if s.writePart(wire) {
		time.Sleep(randomDuration(c.rng, 0, maxFloodLeave))
	}
	s.close()
}
