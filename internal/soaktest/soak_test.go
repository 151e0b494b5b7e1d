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
	seedCount = flag.Int("soak.seeds", 24, "number of seeds of TestSoak")
)

const (
	replayedLines = 40 // of a router's log that are printed with a failure
	maxReported   = 20 // violations of a seed that are printed

	oldDiscoveryTime = 1500 * time.Millisecond // after a move, in which the old service keeps its connections
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
	fleet      *fleet
	caches     []*cache
	discovery  [][]*discovery  // by router, those that it has moved to; the last one is in use
	gone       []chan struct{} // by router, closed when it has ended
	terminated []chan struct{} // by router, closed some time after SIGTERM
	killed     []time.Time     // by router
	idle       []net.Conn
}

func newPlay(t *testing.T, program string, p plan) *play {
	t.Helper()
	s := &play{t: t, plan: p, judge: newJudge(), killed: make([]time.Time, p.routers)}
	s.fleet = newFleet()
	for i := range p.caches {
		s.caches = append(s.caches, startCache(t, fmt.Sprint("c", i), s.judge, &s.plan, uint64(100+i)))
		s.fleet.publish(s.caches[i].endpoint())
	}
	for i := range p.routers {
		s.discovery = append(s.discovery, nil)
		addr := s.addDiscovery(i)
		s.routers = append(s.routers, startRouter(t, program, fmt.Sprint("n", i), &s.plan, addr, s.fleet))
		s.gone = append(s.gone, make(chan struct{}))
		s.terminated = append(s.terminated, make(chan struct{}))
	}
	return s
}

// addDiscovery starts a discovery service for a router to use from now on, and returns its address.
func (s *play) addDiscovery(router int) string {
	number := len(s.discovery[router])
	rng := newRand(s.plan.seed, uint64(1_000_000+1000*router+number))
	d := startFaultyDiscovery(s.t, s.fleet, rng, s.plan.discoveryShare, func(e endpoint) { s.judge.toldOf(router, e) })
	d.down.Store(s.plan.discoveryDown)
	s.discovery[router] = append(s.discovery[router], d)
	return d.addr()
}

// moveDiscovery configures another discovery service for a router. The old one ends its connections after
// a while.
func (s *play) moveDiscovery(router int) {
	old := s.discovery[router][len(s.discovery[router])-1]
	s.routers[router].configure(s.t, s.addDiscovery(router))
	time.AfterFunc(oldDiscoveryTime, old.server.CloseClientConnections)
}

// happen has an event happen to a cache and the list tell of it.
func (s *play) happen(e cacheEvent) {
	c := s.caches[e.cache]
	listed := c.endpoint()
	switch e.kind {
	case eventDrain:
		listed.state = stateTerminating
	case eventVanish:
		c.vanish()
		listed.state = stateTerminated
	case eventRestart, eventMove:
		addr := listed.address
		if e.kind == eventMove {
			addr = "127.0.0.1:0"
		}
		if err := c.restart(addr, e.listDelay); err != nil {
			s.t.Log("a cache can't start again: ", err) // its port has been taken meanwhile
			return
		}
		listed = c.endpoint()
	case eventHang:
		c.hung.Store(true)
		return
	}
	time.Sleep(e.listDelay)
	s.fleet.publish(listed)
}

// run plays the plan and reports what broke a rule.
func (s *play) run() {
	s.t.Log(&s.plan)
	done := make(chan struct{})
	go faulttest.WatchStalls(done, s.judge.noteStall)
	var clients sync.WaitGroup
	for router := range s.routers {
		s.connectIdleClients(router)
		for i := range s.plan.clients {
			c := s.newClient(router, i)
			clients.Go(c.run)
		}
	}
	var events sync.WaitGroup
	for _, event := range s.plan.events {
		events.Go(func() {
			select {
			case <-time.After(event.at):
				s.happen(event)
			case <-done:
			}
		})
	}
	s.sendSignals()
	clients.Wait()
	close(done)
	events.Wait()
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
		floodShare: s.plan.floodShare,
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
	case syscall.SIGHUP:
		s.moveDiscovery(signal.router)
	case syscall.SIGSTOP:
		s.judge.stopped(signal.router, time.Now(), stopTime)
	case syscall.SIGTERM:
		s.endOutage()
		terminated := s.terminated[signal.router]
		time.AfterFunc(connectAfter, func() { close(terminated) })
	case syscall.SIGKILL:
		s.killed[signal.router] = time.Now()
		defer close(s.gone[signal.router])
	}
	_ = router.cmd.Process.Signal(signal.signal) // it may have ended by itself
}

// endOutage has all discovery services answer.
func (s *play) endOutage() {
	s.plan.discoveryDown = false
	for _, services := range s.discovery {
		for _, d := range services {
			d.down.Store(false)
		}
	}
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
