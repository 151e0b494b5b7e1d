// Package scaletest plays a fleet of routers before a fleet of cache servers on loopback, in
// real time, and measures what control costs each of them: the list, probes, timers, connections.
// A few routers are real; hollow ones stand in for the rest.
package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Point says what one run plays.
type Point struct {
	Caches, Routers int
	Rate            float64       // requests a second at each router
	Hollow          int           // hollow routers that are played, at most; each keeps a watch
	Working         int           // of these, how many get requests, at most
	Open            int           // cache servers to which the whole fleet's sockets are opened, at most
	CacheConns      int           // connections that a cache server holds
	Sockets         int           // descriptors of a router
	MemoryMB        int           // memory of a router
	Subscribe       bool          // the list is told only to those that ask
	Warm, Window    time.Duration // before the measuring, and of it
	RestartEvery    time.Duration // in which one cache server is listed as gone and started again; 0 for never
	Outage          time.Duration // for which discovery is down behind the window; 0 for never
}

const (
	mostRouters       = 100_000
	cachesPerProcess  = 200
	hollowsPerProcess = 350
	afterOutage       = 2 * time.Second // over which the calls at discovery's return are counted
)

// Check names what is out of range.
func (p *Point) Check() error {
	for _, f := range []struct {
		name         string
		v, low, high float64
	}{{"caches", float64(p.Caches), 1, mostCaches}, {"routers", float64(p.Routers), 1, mostRouters},
		{"rate", p.Rate, 1e-3, 1e5}, {"hollow", float64(p.Hollow), 1, mostRouters},
		{"working", float64(p.Working), 1, mostRouters}, {"open", float64(p.Open), 1, mostCaches},
		{"cache-conns", float64(p.CacheConns), 1, 1e6}, {"sockets", float64(p.Sockets), 64, 1e6},
		{"memory", float64(p.MemoryMB), 1, 1e6}, {"warm", p.Warm.Seconds(), 0, 3600},
		{"window", p.Window.Seconds(), .1, 3600}, {"outage", p.Outage.Seconds(), 0, 3600},
		{"restart-every", p.RestartEvery.Seconds(), 0, 3600}} {
		if !(f.v >= f.low && f.v <= f.high) {
			return fmt.Errorf("%s is %v, want %v to %v", f.name, f.v, f.low, f.high)
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	// Each router has two connections at most to a cache server that is opened, and some more on their way down.
	const reserve = 200
	ofFleet := 2*p.hollow()/p.fleets() + 3*p.open()*(1+p.Routers/p.fleets())
	ofCaches := cachesPerProcess*views + min(p.CacheConns, 2*p.Routers)*(1+p.open()*cachesPerProcess/max(p.Caches, cachesPerProcess)) + 3*p.Sockets
	if need := reserve + max(ofFleet, ofCaches); uint64(need) > limit.Cur {
		return fmt.Errorf("up to %d descriptors in a process, of %d: give less for open, hollow or cache-conns", need, limit.Cur)
	}
	return nil
}

func (p *Point) open() int    { return min(p.Open, p.Caches) }
func (p *Point) working() int { return min(p.Working, p.Routers) }
func (p *Point) hollow() int  { return max(p.working(), min(p.Hollow, p.Routers)) }
func (p *Point) fleets() int {
	return max(min(2, p.working()), (p.hollow()+hollowsPerProcess-1)/hollowsPerProcess)
}

// opened is the place on the list of the k-th cache server to which sockets are opened: spread out,
// and where there are enough, all of the middle one of three sizes.
func (p *Point) opened(k int) int {
	i := k * p.Caches / p.open()
	if p.Caches/p.open() >= sizes {
		i += sizes/2 - i%sizes
	}
	return i
}

// The views: whose connections and calls those of a stand-in's port are.
const (
	viewHollow  = iota
	viewLoaded  // a real router with clients
	viewNoProbe // one with clients that may not probe
	viewIdle    // one without clients
	views
)

var viewNames = [views]string{"hollow", "loaded", "noprobe", "idle"}

// BuildRouter builds the real router from the module around the working directory.
func BuildRouter(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "cacherouter")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "marlstage/cmd/cacherouter").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the router: %w\n%s", err, out)
	}
	return program, nil
}

// stage is what one run has started.
type stage struct {
	Point
	all     []*process
	died    context.CancelCauseFunc
	caches  []*process
	agent   *process
	fleets  []*process
	routers [views]*process
	clients [views]*Clients
}

// sample is what everything had done by one moment.
type sample struct {
	at       time.Time
	caches   [][]CacheCount // by cache server and view
	agent    []AgentCount   // by view
	fleet    FleetCount
	clients  [views]ClientCount // since the sample before
	routers  [views]usage
	standIns struct{ caches, agent, fleet usage }
}

// Run plays one point with the given program as the real router.
func Run(ctx context.Context, p Point, program string) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scaletest")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stage{Point: p, died: cancel}
	defer func() {
		for _, p := range s.all {
			p.stop()
		}
	}()
	r, err := s.play(ctx, dir, program)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx) // it says more than what failed because of it
	}
	return r, err
}

func (s *stage) play(ctx context.Context, dir, program string) (*Result, error) {
	if err := s.start(ctx, dir, program); err != nil {
		return nil, err
	}
	if err := pause(ctx, s.Warm); err != nil {
		return nil, err
	}
	before, err := s.sample()
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, s.Window); err != nil {
		return nil, err
	}
	after, err := s.sample()
	if err != nil {
		return nil, err
	}
	r := newResult(&s.Point, before, after)
	if s.Outage > 0 {
		return r, s.outage(ctx, r)
	}
	return r, nil
}

// role starts a process that plays a part.
func (s *stage) role(name string, r role, ready any) (*process, error) {
	p, err := startRole(name, r, ready, s.died)
	if p != nil && p.ended != nil && p.cmd.Process != nil {
		s.all = append(s.all, p)
	}
	return p, err
}

func (s *stage) start(ctx context.Context, dir, program string) error {
	var addrs [][]string
	for first := 0; first < s.Caches; first += cachesPerProcess {
		var ready [][]string
		c, err := s.role("caches", role{Caches: &CachesSpec{First: first, Count: min(cachesPerProcess, s.Caches-first),
			Views: views, MostConns: int64(s.CacheConns), Idle: keepalive}}, &ready)
		if err != nil {
			return err
		}
		s.caches, addrs = append(s.caches, c), append(addrs, ready...)
	}
	var ready agentReady
	var err error
	if s.agent, err = s.role("agent", role{Agent: &agentSpec{addrs, views, s.RestartEvery}}, &ready); err != nil {
		return err
	}
	settings := Settings{Routers: s.Routers, Subscribe: s.Subscribe}
	for v := viewLoaded; v < views; v++ {
		settings.Probes = v != viewNoProbe
		p, addr, err := startRouter(ctx, viewNames[v], program, dir, map[string]any{"name": viewNames[v],
			"listen": "127.0.0.1:0", "discovery": ready.Addrs[v], "seed": fmt.Sprint(v), "known": ready.Known[v],
			"limits":   map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
			"settings": settings.JSON()}, s.died)
		if p != nil {
			s.all, s.routers[v] = append(s.all, p), p
		}
		if err != nil {
			return err
		}
		if v != viewIdle {
			s.clients[v] = NewClients(addr, s.Rate)
			go s.clients[v].Run(ctx, 0)
		}
	}
	settings.Probes = true
	for i, n := 0, s.Point.fleets(); i < n; i++ {
		spec := &FleetSpec{Watching: part(s.hollow()-s.working(), n, i), Rate: s.Rate, Sockets: s.Sockets, Seed: uint64(i + 1),
			Discovery: ready.Addrs[viewHollow], Known: ready.Known[viewHollow], Settings: settings.JSON()}
		working := part(s.working(), n, i)
		for k := range working {
			spec.Working = append(spec.Working, part(part(s.Routers-s.working(), n, i), working, k))
		}
		for k := range s.open() {
			spec.Open = append(spec.Open, s.opened(k))
		}
		var started int
		f, err := s.role("fleet", role{Fleet: spec}, &started)
		if err != nil {
			return err
		}
		s.fleets = append(s.fleets, f)
	}
	return nil
}

// part is the i-th of n parts of a whole number, as even as can be.
func part(whole, n, i int) int { return whole*(i+1)/n - whole*i/n }

func (s *stage) sample() (*sample, error) {
	m := &sample{at: time.Now()}
	var errs []error
	for v := viewLoaded; v < views; v++ {
		errs = append(errs, m.routers[v].add(s.routers[v]))
		if s.clients[v] != nil {
			m.clients[v] = s.clients[v].Take()
		}
	}
	for _, c := range s.caches {
		var got [][]CacheCount
		errs = append(errs, c.do("count", &got), m.standIns.caches.add(c))
		m.caches = append(m.caches, got...)
	}
	errs = append(errs, s.agent.do("count", &m.agent), m.standIns.agent.add(s.agent))
	for _, f := range s.fleets {
		var got FleetCount
		errs = append(errs, f.do("count", &got), m.standIns.fleet.add(f))
		m.fleet.add(got)
	}
	return m, errors.Join(errs...)
}

// outage has discovery fall silent for a while and counts the calls at its return.
func (s *stage) outage(ctx context.Context, r *Result) error {
	var down, up, after []AgentCount
	if err := s.agent.do("down", &down); err != nil {
		return err
	}
	if err := pause(ctx, s.Outage); err != nil {
		return err
	}
	if err := s.agent.do("up", &up); err != nil {
		return err
	}
	if err := pause(ctx, afterOutage); err != nil {
		return err
	}
	if err := s.agent.do("count", &after); err != nil {
		return err
	}
	each := func(b, a []AgentCount, over time.Duration) float64 {
		return float64(b[viewHollow].Calls-a[viewHollow].Calls) / float64(s.hollow()) / over.Seconds()
	}
	r.add("discovery", "calls a router while it is down", "1/s", each(up, down, s.Outage), measured)
	r.add("discovery", "calls a router at its return", "1/s", each(after, up, afterOutage), measured)
	return nil
}
