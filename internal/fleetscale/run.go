// Package fleetscale plays a fleet of routers before a fleet of cache servers on loopback, in
// real time, and measures what control costs each of them: the list, probes, timers, connections.
// Some routers are real; hollow ones stand in for the rest.
package fleetscale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Point says what one run plays.
type Point struct {
	Caches, Routers int
	Rate            float64       // requests a second at each router
	Hollow          int           // hollow routers that are played, at most; each keeps a watch
	Working         int           // of these, how many get requests, at most
	Open            int           // cache servers to which sockets are opened for the whole fleet
	CacheConns      int           // connections that a cache server holds
	Sockets         int           // descriptors of a router
	MemoryMB        int           // memory of a router
	Subscribe       bool          // the list is told only to those that ask
	Warm, Window    time.Duration // before the measuring, and its own time
	Outage          time.Duration // for which discovery is down after the window; 0 for never
}

const (
	mostRouters       = 100_000
	mostRate          = 100_000
	leastSockets      = 64
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
		{"rate", p.Rate, 1e-3, mostRate}, {"hollow", float64(p.Hollow), 1, mostRouters},
		{"working", float64(p.Working), 1, mostRouters}, {"open", float64(p.Open), 1, float64(p.Caches)},
		{"cache-conns", float64(p.CacheConns), 1, 1e6}, {"sockets", float64(p.Sockets), leastSockets, 1e6},
		{"memory", float64(p.MemoryMB), 1, 1e6}, {"warm", p.Warm.Seconds(), 0, 3600},
		{"window", p.Window.Seconds(), .1, 3600}, {"outage", p.Outage.Seconds(), 0, 3600}} {
		if !(f.v >= f.low && f.v <= f.high) {
			return fmt.Errorf("%s is %v, want %v to %v", f.name, f.v, f.low, f.high)
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	// A hollow router opens up to two connections to a cache server; so does each that it stands for.
	fleets := p.fleets()
	atFleet := 100 + 2*p.hollow()/fleets + 2*p.Open*(1+p.Routers/fleets)
	atCaches := 100 + cachesPerProcess*views + min(p.CacheConns, 2*p.Routers)*(1+p.Open*cachesPerProcess/max(cachesPerProcess, p.Caches)) + 3*p.Sockets
	if need := max(atFleet, atCaches); uint64(need) > limit.Cur {
		return fmt.Errorf("up to %d descriptors in one process, of %d: lower open or hollow", need, limit.Cur)
	}
	return nil
}

func (p *Point) working() int { return min(p.Working, p.Routers) }
func (p *Point) hollow() int  { return max(p.working(), min(p.Hollow, p.Routers)) }
func (p *Point) fleets() int {
	return max(min(2, p.working()), (p.hollow()+hollowsPerProcess-1)/hollowsPerProcess)
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

// BuildRouter builds the real router from the module in the working directory.
func BuildRouter(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "starlingwinch")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "starlingwinch/cmd/starlingwinch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the router: %w\n%s", err, out)
	}
	return program, nil
}

// stage is what one run has started.
type stage struct {
	p       Point
	mu      sync.Mutex
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
	at      time.Time
	caches  [][]CacheCount // by cache server and view
	agent   []AgentCount   // by view
	fleet   FleetCount
	usage   [views]usage // of the real routers
	agentU  usage
	cachesU usage
	fleetU  usage
}

// Run plays one point with the given program as the real router.
func Run(ctx context.Context, p Point, program string) (*Result, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleetscale")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stage{p: p, died: cancel}
	defer s.stop()
	r, err := s.play(ctx, dir, program)
	if ctx.Err() != nil { // what ended the run says more than what failed because of it
		return nil, context.Cause(ctx)
	}
	return r, err
}

// stop ends all processes.
func (s *stage) stop() {
	for _, p := range s.all {
		p.stop()
	}
}

func (s *stage) role(role string, spec, ready any) (*process, error) {
	p, err := startRole(role, spec, ready, s.died)
	if err == nil {
		s.all = append(s.all, p)
	}
	return p, err
}

func (s *stage) play(ctx context.Context, dir, program string) (*Result, error) {
	if err := s.start(ctx, dir, program); err != nil {
		return nil, err
	}
	if err := pause(ctx, s.p.Warm); err != nil {
		return nil, err
	}
	before, err := s.sample()
	if err != nil {
		return nil, err
	}
	for _, c := range s.clients {
		if c != nil {
			c.Take()
		}
	}
	if err := pause(ctx, s.p.Window); err != nil {
		return nil, err
	}
	var got [views]ClientCount
	for v, c := range s.clients {
		if c != nil {
			got[v] = c.Take()
		}
	}
	after, err := s.sample()
	if err != nil {
		return nil, err
	}
	r := result(&s.p, before, after, got)
	if s.p.Outage > 0 {
		return r, s.outage(ctx, r)
	}
	return r, nil
}

func (s *stage) start(ctx context.Context, dir, program string) error {
	var addrs [][]string
	for first := 0; first < s.p.Caches; first += cachesPerProcess {
		var ready [][]string
		c, err := s.role(roleCaches, CachesSpec{First: first, Count: min(cachesPerProcess, s.p.Caches-first), Views: views,
			MostConns: int64(s.p.CacheConns), Idle: time.Minute}, &ready)
		if err != nil {
			return err
		}
		s.caches, addrs = append(s.caches, c), append(addrs, ready...)
	}
	var agent agentReady
	var err error
	if s.agent, err = s.role(roleAgent, agentSpec{addrs, views}, &agent); err != nil {
		return err
	}
	for v := viewLoaded; v < views; v++ {
		settings := Settings{Routers: s.p.Routers, Subscribe: s.p.Subscribe, Probes: v != viewNoProbe}
		p, addr, err := startRouter(ctx, program, dir, routerSpec{Name: viewNames[v], Listen: "127.0.0.1:0",
			Discovery: agent.Addrs[v], Seed: fmt.Sprintf("%x", v), Known: agent.Known[v], Settings: settings.JSON(),
			Limits: map[string]any{"cores": 1, "memory_mb": s.p.MemoryMB, "sockets": s.p.Sockets}}, s.died)
		if err != nil {
			return err
		}
		s.all, s.routers[v] = append(s.all, p), p
		if v != viewIdle {
			s.clients[v] = NewClients(addr, s.p.Rate)
			go s.clients[v].Run(ctx, 0)
		}
	}
	n := s.p.fleets()
	others, working := s.p.Routers-s.p.working(), s.p.working()
	watching := s.p.hollow() - working
	for i := range n {
		spec := FleetSpec{Watching: part(watching, n, i), Rate: s.p.Rate, Sockets: s.p.Sockets, Seed: uint64(i + 1),
			Discovery: agent.Addrs[viewHollow], Known: agent.Known[viewHollow],
			Settings: Settings{Routers: s.p.Routers, Subscribe: s.p.Subscribe, Probes: true}}
		mine := part(working, n, i)
		for k := range mine {
			spec.Working = append(spec.Working, part(part(others, n, i), mine, k))
		}
		for k := range s.p.Open {
			spec.Open = append(spec.Open, k*s.p.Caches/s.p.Open)
		}
		var ready int
		f, err := s.role(roleFleet, spec, &ready)
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
	for _, c := range s.caches {
		var got [][]CacheCount
		errs = append(errs, c.do("count", &got), m.cachesU.add(c))
		m.caches = append(m.caches, got...)
	}
	errs = append(errs, s.agent.do("count", &m.agent), m.agentU.add(s.agent))
	for _, f := range s.fleets {
		var got FleetCount
		errs = append(errs, f.do("count", &got), m.fleetU.add(f))
		m.fleet.add(got)
	}
	for v := viewLoaded; v < views; v++ {
		errs = append(errs, m.usage[v].add(s.routers[v]))
	}
	return m, errors.Join(errs...)
}

// outage has discovery fall silent for a while and counts the calls at its return.
func (s *stage) outage(ctx context.Context, r *Result) error {
	var before, back, after []AgentCount
	if err := s.agent.do("down", &before); err != nil {
		return err
	}
	if err := pause(ctx, s.p.Outage); err != nil {
		return err
	}
	if err := s.agent.do("up", &back); err != nil {
		return err
	}
	if err := pause(ctx, afterOutage); err != nil {
		return err
	}
	if err := s.agent.do("count", &after); err != nil {
		return err
	}
	opened := float64(s.p.hollow())
	r.add("discovery", "calls while down, a router", "1/s", float64(back[viewHollow].Calls-before[viewHollow].Calls)/opened/s.p.Outage.Seconds(), measured)
	r.add("discovery", "calls at its return, a router", "1/s", float64(after[viewHollow].Calls-back[viewHollow].Calls)/opened/afterOutage.Seconds(), measured)
	r.add("discovery", "lines at its return, a router", "1/s", float64(after[viewHollow].Lines-back[viewHollow].Lines)/opened/afterOutage.Seconds(), measured)
	return nil
}

func (u *usage) add(p *process) error {
	o, err := p.usage()
	u.cpu, u.rss, u.hwm = u.cpu+o.cpu, u.rss+o.rss, u.hwm+o.hwm
	return err
}

func (c *FleetCount) add(o FleetCount) {
	for i, t := range o.Caches {
		if i == len(c.Caches) {
			c.Caches = append(c.Caches, CacheTally{})
		}
		c.Caches[i].add(t)
	}
	c.Requests, c.Served, c.Refused, c.Failed = c.Requests+o.Requests, c.Served+o.Served, c.Refused+o.Refused, c.Failed+o.Failed
	c.Timers, c.EchoesLost, c.Late = c.Timers+o.Timers, c.EchoesLost+o.EchoesLost, max(c.Late, o.Late)
	c.Calls, c.Lines, c.BytesIn, c.BytesOut = c.Calls+o.Calls, c.Lines+o.Lines, c.BytesIn+o.BytesIn, c.BytesOut+o.BytesOut
	c.Opened.add(o.Opened)
	c.Echoed.add(o.Echoed)
}

// pause waits, or says why the run has ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
