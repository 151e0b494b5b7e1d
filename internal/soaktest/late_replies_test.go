package soaktest

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLateSecondReplies guards against connections that stay out of step, on which each reply is taken for that
// of the next request. Caches reply twice to one request in a hundred, the second time 12 to 22 ms later, after
// the usual settle time. A second reply that arrives while the connection carries the next request can't be
// told from the reply to that; the router must learn from the second replies that it can identify.
func TestLateSecondReplies(t *testing.T) {
	const (
		clients          = 12
		batchSize        = 6
		loadTime         = 4 * time.Second
		timeout          = 2 * time.Second
		secondReplyEvery = 100
		minLate          = 12 * time.Millisecond
		maxLate          = 22 * time.Millisecond
		cacheDelay       = 15 * time.Millisecond // of the second cache; the third has twice this delay
		caches           = 3
		maxWrongPerReply = 2 // for each second reply, on average; the fault caused seven to ten
	)
	ck := newChecker()
	p := plan{seed: 1, longestTimeout: timeout, routers: 1, descriptors: manyDescriptors, warmupTime: defaultWarmupTime}
	var replies, secondReplies atomic.Int64
	endpoints := newEndpointList()
	for i := range caches {
		c := startCache(t, fmt.Sprint("c", i), ck, &p, uint64(i))
		c.handle = func(nc *net.TCPConn, id string) bool {
			time.Sleep(time.Duration(i) * cacheDelay)
			if _, err := io.WriteString(nc, servedReply(id)); err != nil {
				return false
			}
			if n := replies.Add(1); n%secondReplyEvery == 0 {
				secondReplies.Add(1)
				late := minLate + time.Duration(n/secondReplyEvery)*time.Millisecond%(maxLate-minLate)
				time.AfterFunc(late, func() { _, _ = io.WriteString(nc, servedReply(id)) }) // it may be closed
			}
			return true
		}
		endpoints.publish(c.endpoint())
	}
	router := startRouter(t, buildRouter(t), "n0", &p, startDiscovery(t, endpoints).addr(), endpoints)
	var running sync.WaitGroup
	end := time.Now().Add(loadTime)
	for i := range clients {
		c := &client{checker: ck, rng: newRand(1, uint64(10+i)), name: fmt.Sprint("n", i), addr: router.addr, maxTimeout: timeout}
		running.Go(func() { c.sendPipelined(batchSize, end) })
	}
	running.Wait()
	v := ck.check([]time.Time{time.Now().Add(time.Hour)})
	t.Logf("%d second replies; %v", secondReplies.Load(), v)
	if wrong := len(v.violations); int64(wrong) > maxWrongPerReply*secondReplies.Load() {
		t.Errorf("%d wrong answers after %d second replies", wrong, secondReplies.Load())
	}
}

// sendPipelined sends batches of reads, each after the preceding batch is answered.
func (c *client) sendPipelined(size int, end time.Time) {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return // no request is sent then
	}
	s := newSession(c, nc.(*net.TCPConn))
	defer s.close()
	for time.Now().Before(end) {
		batch := c.newBatch(size)
		for _, r := range batch {
			r.class = classRead
			r.wire = encode(r, c.rng.IntN(keyCount))
		}
		s.recordBatch(batch)
		for _, r := range batch {
			if !s.writePart(r.wire) {
				return
			}
		}
		c.checker.recordWritten(batch)
		if !s.awaitAnswers(0) {
			return
		}
	}
}
