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
	loggedLines = 40 // last lines of a router's log that are printed with a failure
	maxReported = 20 // violations printed for each seed

	hostileShare = 4 // ratio of the descriptors to the most hostile clients

	oldDiscoveryLifetime = 1500 * time.Millisecond // of the old service's connections after a move
)

// TestSoak runs the plans generated from a range of seeds and checks every request.
func TestSoak(t *testing.T) {
	program := buildRouter(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newSoakRun(t, program, generatePlan(seed)).run() })
	}
}

// soakRun is the run of one seed.
type soakRun struct {
	t          *testing.T
	plan       plan
	checker    *checker
	routers    []*routerProcess
	endpoints  *endpointList
	caches     []*cache
	discovery  [][]*discovery  // by router, all services it has used; the last one is in use
	exited     []chan struct{} // by router, closed when it was sent SIGKILL
	terminated []chan struct{} // by router, closed connectWindow after SIGTERM
	killed     []time.Time     // by router, when it was sent SIGKILL
	idleConns  []net.Conn
}

func newSoakRun(t *testing.T, program string, p plan) *soakRun {
	t.Helper()
	s := &soakRun{t: t, plan: p, checker: newChecker(), killed: make([]time.Time, p.routers)}
	s.endpoints = newEndpointList()
	for i := range p.caches {
		s.caches = append(s.caches, startCache(t, fmt.Sprint("c", i), s.checker, &s.plan, uint64(100+i)))
		s.endpoints.publish(s.caches[i].endpoint())
	}
	for i := range p.routers {
		s.discovery = append(s.discovery, nil)
		addr := s.addDiscovery(i)
		s.routers = append(s.routers, startRouter(t, program, fmt.Sprint("n", i), &s.plan, addr, s.endpoints))
		s.exited = append(s.exited, make(chan struct{}))
		s.terminated = append(s.terminated, make(chan struct{}))
	}
	return s
}

// addDiscovery starts a new discovery service for a router and returns its address.
func (s *soakRun) addDiscovery(router int) string {
	number := len(s.discovery[router])
	rng := newRand(s.plan.seed, uint64(1_000_000+1000*router+number))
	d := startFaultyDiscovery(s.t, s.endpoints, rng, s.plan.discoveryFaultShare, func(e endpoint) { s.checker.recordNotified(router, e) })
	d.down.Store(s.plan.discoveryDown)
	s.discovery[router] = append(s.discovery[router], d)
	return d.addr()
}

// moveDiscovery configures a new discovery service for a router. The old one closes its connections after
// oldDiscoveryLifetime.
func (s *soakRun) moveDiscovery(router int) {
	old := s.discovery[router][len(s.discovery[router])-1]
	s.routers[router].configure(s.t, s.addDiscovery(router))
	time.AfterFunc(oldDiscoveryLifetime, old.server.CloseClientConnections)
}

// applyEvent applies an event to a cache and publishes the cache's new state in the endpoint list. A hang does
// not change the list.
func (s *soakRun) applyEvent(e cacheEvent) {
	c := s.caches[e.cache]
	listed := c.endpoint()
	switch e.kind {
	case eventDrain:
		listed.state = stateTerminating
	case eventVanish:
		c.kill()
		listed.state = stateTerminated
	case eventRestart, eventMove:
		addr := listed.address
		if e.kind == eventMove {
			addr = "127.0.0.1:0"
		}
		if err := c.restart(addr, e.listDelay); err != nil {
			s.t.Log("a cache can't start again: ", err) // another process has taken its port
			return
		}
		listed = c.endpoint()
	case eventHang:
		c.hung.Store(true)
		return
	}
	time.Sleep(e.listDelay)
	s.endpoints.publish(listed)
}

// run executes the plan and reports the requests that broke a rule.
func (s *soakRun) run() {
	s.t.Log(&s.plan)
	done := make(chan struct{})
	go faulttest.WatchStalls(done, s.checker.recordStall)
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
				s.applyEvent(event)
			case <-done:
			}
		})
	}
	stopHostile := func() {}
	if s.plan.hostileKind != "" {
		stopHostile = startHostileProcess(s.t, s.plan.hostileKind, s.routers[0].addr, s.plan.descriptors/hostileShare)
	}
	s.sendSignals()
	stopHostile()
	clients.Wait()
	close(done)
	events.Wait()
	for _, nc := range s.idleConns {
		_ = nc.Close() // fails only if it is closed already
	}
	v := s.checker.check(s.killed)
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

func (s *soakRun) newClient(router, number int) *client {
	rng := newRand(s.plan.seed, uint64(1000*(router+1)+number))
	return &client{
		checker:      s.checker,
		rng:          rng,
		slow:         rng.Float64() < slowShare,
		name:         fmt.Sprintf("n%d-%d", router, number),
		router:       router,
		addr:         s.routers[router].addr,
		maxTimeout:   s.plan.longestTimeout,
		floodShare:   s.plan.floodShare,
		routerExited: s.exited[router],
		terminated:   s.terminated[router],
	}
}

// connectIdleClients opens connections that send nothing.
func (s *soakRun) connectIdleClients(router int) {
	for range s.plan.idleClients {
		if nc, err := net.Dial("tcp", s.routers[router].addr); err == nil {
			s.idleConns = append(s.idleConns, nc)
		}
	}
}

// sendSignals sends the signals of the plan at their times and waits for all routers to exit. Those that exit before
// SIGKILL must hold nothing by then.
func (s *soakRun) sendSignals() {
	start := time.Now()
	signals := slices.Clone(s.plan.signals)
	slices.SortFunc(signals, func(a, b plannedSignal) int { return int(a.at - b.at) })
	for _, signal := range signals {
		time.Sleep(time.Until(start.Add(signal.at)))
		s.sendSignal(signal)
	}
	for i, r := range s.routers {
		if r.wait() == nil { // it has ended before SIGKILL
			r.wantNothingInFlight(s.t, fmt.Sprint("n", i))
		}
	}
}

func (s *soakRun) sendSignal(signal plannedSignal) {
	router := s.routers[signal.router]
	switch signal.signal {
	case syscall.SIGHUP:
		s.moveDiscovery(signal.router)
	case syscall.SIGSTOP:
		s.checker.recordStop(signal.router, time.Now(), stopTime)
	case syscall.SIGTERM:
		s.endOutage()
		terminated := s.terminated[signal.router]
		time.AfterFunc(connectWindow, func() { close(terminated) })
	case syscall.SIGKILL:
		s.killed[signal.router] = time.Now()
		defer close(s.exited[signal.router])
	}
	_ = router.cmd.Process.Signal(signal.signal) // the process may have exited
}

// endOutage makes all discovery services reply again.
func (s *soakRun) endOutage() {
	s.plan.discoveryDown = false
	for _, services := range s.discovery {
		for _, d := range services {
			d.down.Store(false)
		}
	}
}

// logRouters prints the last lines of each router's log.
func (s *soakRun) logRouters() {
	for i, r := range s.routers {
		lines := r.lines()
		for _, line := range lines[max(0, len(lines)-loggedLines):] {
			s.t.Logf("n%d: %s", i, line)
		}
	}
}
