package soaktest

import (
	"flag"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"marlstage/internal/faulttest"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	seedCount = flag.Int("soak.seeds", 10, "number of seeds of TestSoak")
)

const (
	replayedLines = 40 // of a router's log that are printed with a failure
	maxReported   = 20 // violations of a seed that are printed
)

// TestSoak plays timelines drawn by seed and judges every request.
func TestSoak(t *testing.T) {
	program := buildRouter(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newPlay(t, program, drawPlan(seed)).run() })
	}
}

// play is the play of one seed.
type play struct {
	t          *testing.T
	plan       plan
	judge      *judge
	routers    []*routerProcess
	discovery  *discovery
	gone       []chan struct{} // by router, closed when it has ended
	terminated []chan struct{} // by router, closed some time after SIGTERM
	killed     []time.Time     // by router
	idle       []net.Conn
}

func newPlay(t *testing.T, program string, p plan) *play {
	t.Helper()
	s := &play{t: t, plan: p, judge: newJudge(), killed: make([]time.Time, p.routers)}
	var endpoints []string
	for i := range p.caches {
		endpoints = append(endpoints, startCache(t, fmt.Sprint("c", i), s.judge, &p, uint64(100+i)).endpoint())
	}
	s.discovery = startDiscovery(t, endpoints)
	s.discovery.down.Store(p.discoveryDown)
	for i := range p.routers {
		s.routers = append(s.routers, startRouter(t, program, fmt.Sprint("n", i), &p, s.discovery.addr(), endpoints))
		s.gone = append(s.gone, make(chan struct{}))
		s.terminated = append(s.terminated, make(chan struct{}))
	}
	return s
}

// run plays the plan and reports what broke a rule.
func (s *play) run() {
	s.t.Log(&s.plan)
	done := make(chan struct{})
	go faulttest.WatchHoldUps(done, s.judge.noteHoldUp)
	var clients sync.WaitGroup
	for router := range s.routers {
		s.connectIdleClients(router)
		for i := range s.plan.clients {
			c := s.newClient(router, i)
			clients.Go(c.run)
		}
	}
	s.sendSignals()
	clients.Wait()
	close(done)
	for _, nc := range s.idle {
		_ = nc.Close() // it may have ended
	}
	v := s.judge.verdict(s.killed)
	s.t.Log(v)
	for _, violation := range v.violations[:min(len(v.violations), maxReported)] {
		s.t.Error("broken rule: " + violation)
	}
	if v.served == 0 {
		s.t.Error("no request was served")
	}
	if s.t.Failed() {
		s.logRouters()
	}
}

func (s *play) newClient(router, number int) *client {
	rng := newRand(s.plan.seed, uint64(1000*(router+1)+number))
	return &client{
		judge:      s.judge,
		rng:        rng,
		slow:       rng.Float64() < slowShare,
		name:       fmt.Sprintf("n%d-%d", router, number),
		router:     router,
		addr:       s.routers[router].addr,
		maxTimeout: s.plan.longestTimeout,
		gone:       s.gone[router],
		terminated: s.terminated[router],
	}
}

// connectIdleClients opens connections that stay idle.
func (s *play) connectIdleClients(router int) {
	for range s.plan.idleClients {
		if nc, err := net.Dial("tcp", s.routers[router].addr); err == nil {
			s.idle = append(s.idle, nc)
		}
	}
}

// sendSignals sends the signals of the plan at their times, and waits for the ends of the routers.
func (s *play) sendSignals() {
	begun := time.Now()
	signals := slices.Clone(s.plan.signals)
	slices.SortFunc(signals, func(a, b plannedSignal) int { return int(a.at - b.at) })
	for _, signal := range signals {
		time.Sleep(time.Until(begun.Add(signal.at)))
		s.send(signal)
	}
	for _, r := range s.routers {
		_ = r.cmd.Wait() // it got SIGKILL, or has ended before
	}
}

func (s *play) send(signal plannedSignal) {
	router := s.routers[signal.router]
	switch signal.signal {
	case syscall.SIGTERM:
		s.discovery.down.Store(false)
		terminated := s.terminated[signal.router]
		time.AfterFunc(connectAfter, func() { close(terminated) })
	case syscall.SIGKILL:
		s.killed[signal.router] = time.Now()
		defer close(s.gone[signal.router])
	}
	_ = router.cmd.Process.Signal(signal.signal) // it may have ended by itself
}

// logRouters prints the ends of the routers' logs.
func (s *play) logRouters() {
	for i, r := range s.routers {
		r.mu.Lock()
		lines := r.log[max(0, len(r.log)-replayedLines):]
		r.mu.Unlock()
		for _, line := range lines {
			s.t.Logf("n%d: %s", i, line)
		}
	}
}
