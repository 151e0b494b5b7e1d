package soaktest

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestDeadlineCountsWhileStopped checks that the deadline of a request counts from its arrival where
// the process is held up just then: the client does not wait for longer.
func TestDeadlineCountsWhileStopped(t *testing.T) {
	const (
		timeout = 2 * time.Second
		stopped = 800 * time.Millisecond
	)
	j := newJudge()
	p := plan{seed: 1, longestTimeout: timeout, routers: 1, descriptors: manyDescriptors}
	endpoints := []string{startCache(t, "c0", j, &p, 0).endpoint()}
	router := startRouter(t, buildRouter(t), "n0", &p, startDiscovery(t, endpoints).addr(), endpoints)
	c := &client{judge: j, rng: newRand(1, 1), name: "client", addr: router.addr, maxTimeout: timeout}
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		t.Fatal(err)
	}
	s := newSession(c, nc.(*net.TCPConn))
	defer s.close()
	for _, stop := range []time.Duration{0, stopped} {
		r := &request{id: "stopped-for-" + stop.String(), class: classRead, timeout: timeout}
		r.wire = encode(r, 0)
		if stop > 0 {
			signalProcess(t, router, syscall.SIGSTOP)
		}
		s.noteBatch([]*request{r})
		if !s.writePart(r.wire) {
			t.Fatal("the connection has ended")
		}
		j.wrote([]*request{r})
		if stop > 0 {
			time.Sleep(stop)
			signalProcess(t, router, syscall.SIGCONT)
		}
		if !s.awaitAnswers(0) {
			t.Fatal("no answer")
		}
	}
	for _, violation := range j.verdict([]time.Time{time.Now().Add(time.Hour)}).violations {
		t.Error("broken rule: " + violation)
	}
}

func signalProcess(t *testing.T, r *routerProcess, signal syscall.Signal) {
	t.Helper()
	if err := r.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}
