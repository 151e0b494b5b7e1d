package soaktest

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestDeadlineCountsWhileStopped checks that the deadline of a request counts from its arrival, even if the
// router process is stalled at that time.
//
// It guards against counting from the time of the read. Without TCP_INFO the router does not know when bytes
// arrived, and it assumed the latest possible time. Requests that arrived during a stall of up to 0.15 s were read
// 65 to 117 ms late; nine of them, at each of six routers under fault injection, had no answer when their clients
// gave up 60 ms after the deadline, while the requests before and after them were answered on time. The case
// without TCP_INFO fails unless the router derives a bound of the arrival time from the stalls that it detects.
func TestDeadlineCountsWhileStopped(t *testing.T) {
	program := buildRouter(t)
	for name, noTCPInfo := range map[string]bool{"with TCP_INFO": false, "without TCP_INFO": true} {
		t.Run(name, func(t *testing.T) {
			s := newStoppedTest(t, program, noTCPInfo)
			s.request(0)
			s.request(stoppedTime)
			s.wantNoViolation()
		})
	}
}

// TestDeadlineOfNewConnectionCountsWhileStopped is like TestDeadlineCountsWhileStopped for the first
// request on a connection that is opened during the stall.
func TestDeadlineOfNewConnectionCountsWhileStopped(t *testing.T) {
	program := buildRouter(t)
	for name, noTCPInfo := range map[string]bool{"with TCP_INFO": false, "without TCP_INFO": true} {
		t.Run(name, func(t *testing.T) {
			s := newStoppedTest(t, program, noTCPInfo)
			s.request(0)
			stopProcess(t, s.router)
			s.connect()
			s.request(stoppedTime)
			s.wantNoViolation()
		})
	}
}

const (
	stoppedTimeout = 2 * time.Second
	stoppedTime    = 800 * time.Millisecond
)

// stoppedTest runs a client and a router process that is stopped and continued.
type stoppedTest struct {
	t       *testing.T
	checker *checker
	router  *routerProcess
	client  *client
	*session
}

func newStoppedTest(t *testing.T, program string, noTCPInfo bool) *stoppedTest {
	t.Helper()
	ck := newChecker()
	p := plan{
		seed: 1, longestTimeout: stoppedTimeout, routers: 1, descriptors: manyDescriptors, warmupTime: defaultWarmupTime,
		maxServiceTime: maxServiceTime, noTCPInfo: noTCPInfo,
	}
	endpoints := newEndpointList(startCache(t, "c0", ck, &p, 0).endpoint())
	router := startRouter(t, program, "n0", &p, startDiscovery(t, endpoints).addr(), endpoints)
	s := &stoppedTest{t: t, checker: ck, router: router}
	s.client = &client{checker: ck, rng: newRand(1, 1), name: "client", addr: router.addr, maxTimeout: stoppedTimeout}
	s.connect()
	return s
}

// connect opens a new connection for the following requests.
func (s *stoppedTest) connect() {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.client.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.session = newSession(s.client, nc.(*net.TCPConn))
	s.t.Cleanup(s.close)
}

// request sends a request and waits for its answer. If stop is not zero, the router is stopped before the request
// is sent, and continued when this time has passed.
func (s *stoppedTest) request(stop time.Duration) {
	s.t.Helper()
	s.client.sent++
	r := &request{id: fmt.Sprint("request-", s.client.sent), class: classRead, timeout: stoppedTimeout}
	r.wire = encode(r, 0)
	if stop > 0 {
		stopProcess(s.t, s.router)
	}
	s.recordBatch([]*request{r})
	if !s.writePart(r.wire) {
		s.t.Fatal("the connection has ended")
	}
	s.checker.recordWritten([]*request{r})
	if stop > 0 {
		time.Sleep(stop)
		signalProcess(s.t, s.router, syscall.SIGCONT)
	}
	if !s.awaitAnswers(0) {
		s.t.Fatal("no answer")
	}
}

func (s *stoppedTest) wantNoViolation() {
	s.t.Helper()
	for _, violation := range s.checker.check([]time.Time{time.Now().Add(time.Hour)}).violations {
		s.t.Error("broken rule: " + violation)
	}
}

// stopProcess stops a router and waits until all its threads are stopped.
func stopProcess(t *testing.T, r *routerProcess) {
	t.Helper()
	signalProcess(t, r, syscall.SIGSTOP)
	for deadline := time.Now().Add(startTimeout); !isStopped(t, r.cmd.Process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the router does not stop")
		}
	}
}

// isStopped reports whether all threads of a process are in the state "T (stopped)" of proc(5).
func isStopped(t *testing.T, process int) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", process))
	if err != nil || len(threads) == 0 {
		t.Fatalf("no threads: %v", err)
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !bytes.Contains(stat, []byte(") T ")) {
			return false
		}
	}
	return true
}

func signalProcess(t *testing.T, r *routerProcess, signal syscall.Signal) {
	t.Helper()
	if err := r.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}
