package fleetscale

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// What a router may spend on control.
const (
	budgetCPU    = 3.1 // percent of a core
	budgetMemory = 32  // MB
	budgetBytes  = 24  // KB/s
)

// What a figure rests on.
const (
	measured  = "measured"
	workedOut = "worked out"
)

// Figure is one result of a point.
type Figure struct {
	Role  string  `json:"role"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Basis string  `json:"basis"` // measured, worked out, or the sample that it was counted on
}

// Result is what one point gave.
type Result struct {
	Caches      int      `json:"caches"`
	Routers     int      `json:"routers"`
	Rate        float64  `json:"requests_per_s"` // of the whole fleet
	Hollow      int      `json:"hollow_routers"`
	Working     int      `json:"hollow_routers_working"`
	Open        int      `json:"caches_opened"`
	Seconds     float64  `json:"window_s"`
	Figures     []Figure `json:"figures"`
	NotMeasured []string `json:"not_measured"`
}

func (r *Result) add(role, name, unit string, v float64, basis string) {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		v = 0 // nothing of the kind happened
	}
	r.Figures = append(r.Figures, Figure{role, name, unit, v, basis})
}

// Value is a figure of the point.
func (r *Result) Value(role, name string) (float64, bool) {
	for _, f := range r.Figures {
		if f.Role == role && f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}

// result works out what happened between two moments.
func result(p *Point, before, after *sample, clients [views]ClientCount) *Result {
	span := after.at.Sub(before.at).Seconds()
	r := &Result{Caches: p.Caches, Routers: p.Routers, Rate: p.Rate * float64(p.Routers), Hollow: p.hollow(),
		Working: p.working(), Open: p.Open, Seconds: span}
	rate := func(a, b int64) float64 { return float64(a-b) / span }
	cpu := func(a, b usage) float64 { return 100 * (a.cpu - b.cpu).Seconds() / span }

	// The real routers, one for each view.
	var cpus, list [views]float64
	for v := viewLoaded; v < views; v++ {
		role := "router " + viewNames[v]
		a, b := after.agent[v], before.agent[v]
		list[v] = (rate(a.BytesOut, b.BytesOut) + rate(a.BytesIn, b.BytesIn)) / 1e3
		cpus[v] = cpu(after.usage[v], before.usage[v])
		c := sumCaches(after, before, v)
		r.add(role, "processor time", "% of a core", cpus[v], measured)
		r.add(role, "memory", "MB", float64(after.usage[v].rss)/1e6, measured)
		r.add(role, "memory at most", "MB", float64(after.usage[v].hwm)/1e6, measured)
		r.add(role, "watch calls", "1/s", rate(a.Calls, b.Calls), measured)
		r.add(role, "list lines", "1/s", rate(a.Lines, b.Lines), measured)
		r.add(role, "list bytes", "KB/s", list[v], measured)
		r.add(role, "probes", "1/s", float64(c.Probes)/span, measured)
		r.add(role, "probe bytes", "KB/s", float64(c.ProbeBytes)/span/1e3, measured)
		r.add(role, "handshakes", "1/s", float64(c.Handshakes)/span, measured)
		r.add(role, "connections", "", float64(c.Open), measured)
		if v == viewIdle {
			continue
		}
		r.add(role, "attempts", "1/s", float64(c.Attempts)/span, measured)
		r.add(role, "attempt bytes", "KB/s", float64(c.AttemptBytes)/span/1e3, measured)
		k := clients[v]
		r.add(role, "requests due", "1/s", float64(k.Due)/span, measured)
		r.add(role, "served", "% of due", 100*float64(k.Served)/float64(k.Due), measured)
		r.add(role, "refused", "% of due", 100*float64(k.Refused)/float64(k.Due), measured)
		r.add(role, "failed or unsent", "% of due", 100*float64(k.Failed+k.Unsent)/float64(k.Due), measured)
		r.add(role, "latency, median", "ms", float64(k.Latency.ValueAtQuantile(50))/1e3, measured)
		r.add(role, "latency, 99th percentile", "ms", float64(k.Latency.ValueAtQuantile(99))/1e3, measured)
	}
	probes, _ := r.Value("router loaded", "probe bytes")
	r.add("router control", "processor time", "% of a core", cpus[viewIdle]+max(0, cpus[viewLoaded]-cpus[viewNoProbe]), workedOut)
	r.add("router control", "memory", "MB", float64(after.usage[viewIdle].rss)/1e6, measured)
	r.add("router control", "bytes", "KB/s", list[viewLoaded]+probes, measured)

	// The hollow routers at work.
	f, g := after.fleet, before.fleet
	n, scale := float64(p.working()), float64(p.Routers)/float64(p.working())
	basis := fmt.Sprintf("counted on %d of %d", p.working(), p.Routers)
	var all, conns CacheTally
	for i := range f.Caches {
		all.add(f.Caches[i])
		conns.Conns += f.Caches[i].Conns
		all.Probes, all.Attempts, all.Handshakes = all.Probes-g.Caches[i].Probes, all.Attempts-g.Caches[i].Attempts, all.Handshakes-g.Caches[i].Handshakes
	}
	requests := float64(f.Requests - g.Requests)
	r.add("router hollow", "requests", "1/s", requests/n/span, basis)
	r.add("router hollow", "served", "% of requests", 100*float64(f.Served-g.Served)/requests, basis)
	r.add("router hollow", "probes", "1/s", float64(all.Probes)/n/span, basis)
	r.add("router hollow", "attempts", "1/s", float64(all.Attempts)/n/span, basis)
	r.add("router hollow", "handshakes", "1/s", float64(all.Handshakes)/n/span, basis)
	r.add("router hollow", "connections", "", float64(conns.Conns)/n, basis)
	r.add("router hollow", "timers", "1/s", rate(f.Timers, g.Timers)/n, basis)
	r.add("router hollow", "requests late, 99th percentile", "ms", float64(f.Late)/1e3, basis)

	// A cache server: all of them from the sample, and those that sockets were opened to.
	worked := workedOut + " from " + fmt.Sprintf("%d of %d", p.working(), p.Routers)
	each := scale / float64(p.Caches)
	r.add("cache, all", "probes", "1/s", float64(all.Probes)*each/span, worked)
	r.add("cache, all", "attempts", "1/s", float64(all.Attempts)*each/span, worked)
	r.add("cache, all", "handshakes", "1/s", float64(all.Handshakes)*each/span, worked)
	r.add("cache, all", "connections", "", float64(conns.Conns)*each, worked)
	var c CacheCount
	opened := float64(p.Open)
	for k := range p.Open {
		i := k * p.Caches / p.Open
		c.add(after.caches[i][viewHollow], before.caches[i][viewHollow])
	}
	basis = fmt.Sprintf("measured at %d of %d", p.Open, p.Caches)
	r.add("cache, opened", "probes", "1/s", float64(c.Probes)/opened/span, basis)
	r.add("cache, opened", "probe bytes", "KB/s", float64(c.ProbeBytes)/opened/span/1e3, basis)
	r.add("cache, opened", "attempts", "1/s", float64(c.Attempts)/opened/span, basis)
	r.add("cache, opened", "handshakes", "1/s", float64(c.Handshakes)/opened/span, basis)
	r.add("cache, opened", "turned away", "1/s", float64(c.TurnedAway)/opened/span, basis)
	r.add("cache, opened", "connections", "", float64(c.Open)/opened, basis)
	r.add("cache, opened", "messages not passed on", "1/s", rate(f.EchoesLost, g.EchoesLost)/opened, basis)

	// Discovery, for the watches that were open and for the whole fleet.
	a, b := after.agent[viewHollow], before.agent[viewHollow]
	watches := float64(p.hollow())
	bytes := rate(a.BytesIn, b.BytesIn) + rate(a.BytesOut, b.BytesOut)
	all4 := float64(p.Routers) / watches
	basis = fmt.Sprintf("measured for %d of %d", p.hollow(), p.Routers)
	r.add("discovery", "calls", "1/s", rate(a.Calls, b.Calls), basis)
	r.add("discovery", "lines", "1/s", rate(a.Lines, b.Lines), basis)
	r.add("discovery", "bytes", "KB/s", bytes/1e3, basis)
	r.add("discovery", "processor time", "% of a core", cpu(after.agentU, before.agentU), basis)
	r.add("discovery", "calls, whole fleet", "1/s", rate(a.Calls, b.Calls)*all4, workedOut)
	r.add("discovery", "lines, whole fleet", "1/s", rate(a.Lines, b.Lines)*all4, workedOut)
	r.add("discovery", "bytes, whole fleet", "KB/s", bytes/1e3*all4, workedOut)

	// What the play itself took.
	r.add("stand-ins", "processor time, hollow routers", "% of a core", cpu(after.fleetU, before.fleetU), measured)
	r.add("stand-ins", "processor time, cache servers", "% of a core", cpu(after.cachesU, before.cachesU), measured)
	r.add("stand-ins", "memory", "MB", float64(after.fleetU.rss+after.cachesU.rss+after.agentU.rss)/1e6, measured)

	r.NotMeasured = []string{
		"bytes of TCP and IP themselves, and those of handshakes: bytes are what the sockets carried",
		"processor time and memory of a cache server for control: a stand-in does no work on a value, and many share a process",
		"processor time of a real router's probes apart: it is the difference between two routers with clients, one of which may not probe; at or below 0 it counts as 0",
		"the network, and discovery behind its agents",
	}
	if p.working() < p.Routers {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("requests, probes and attempts of %d of %d routers: at the opened caches others repeat those of the %d that were played",
			p.Routers-p.working(), p.Routers, p.working()))
	}
	if p.hollow() < p.Routers {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("watches of %d of %d routers", p.Routers-p.hollow(), p.Routers))
	}
	if p.Open < p.Caches {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("connections of hollow routers to %d of %d cache servers: counted, not opened", p.Caches-p.Open, p.Caches))
	}
	return r
}

// add adds what came between two counts. Open connections are those at the later one.
func (c *CacheCount) add(after, before CacheCount) {
	c.Probes += after.Probes - before.Probes
	c.Attempts += after.Attempts - before.Attempts
	c.Handshakes += after.Handshakes - before.Handshakes
	c.TurnedAway += after.TurnedAway - before.TurnedAway
	c.ProbeBytes += after.ProbeBytes - before.ProbeBytes
	c.AttemptBytes += after.AttemptBytes - before.AttemptBytes
	c.Open += after.Open
}

// sumCaches is what all cache servers got from the routers of one view between two moments.
func sumCaches(after, before *sample, view int) CacheCount {
	var c CacheCount
	for i := range after.caches {
		c.add(after.caches[i][view], before.caches[i][view])
	}
	return c
}

// WriteTable writes a point for people.
func (r *Result) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "\n%d caches, %d routers, %.0f requests a second; %.1f s\n", r.Caches, r.Routers, r.Rate, r.Seconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	role := ""
	for _, f := range r.Figures {
		shown := f.Role
		if shown == role {
			shown = ""
		}
		role = f.Role
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\n", shown, f.Name, f.Value, f.Unit, f.Basis)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, b := range []struct {
		name, unit string
		most       float64
	}{{"processor time", "% of a core", budgetCPU}, {"memory", "MB", budgetMemory}, {"bytes", "KB/s", budgetBytes}} {
		v, _ := r.Value("router control", b.name)
		verdict := "within"
		if v > b.most {
			verdict = "OVER"
		}
		fmt.Fprintf(out, "control of a router, %s: %.4g %s, %s %.4g\n", b.name, v, b.unit, verdict, b.most)
	}
	for _, s := range r.NotMeasured {
		fmt.Fprintln(out, "not measured:", s)
	}
	return nil
}

// Slope is how a figure grows with the size of the fleet, by least squares.
type Slope struct {
	Role   string  `json:"role"`
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Over   string  `json:"over"` // what it grows with
	Slope  float64 `json:"slope"`
	Error  float64 `json:"standard_error"` // of the slope
	Start  float64 `json:"intercept"`
	R2     float64 `json:"r_squared"`
	Points int     `json:"points"`
}

// leastPoints are needed for a slope with a scatter.
const leastPoints = 3

// Slopes fits the figures of control to the sizes of the points.
func Slopes(points []*Result) []Slope {
	caches := func(r *Result) float64 { return float64(r.Caches) }
	routers := func(r *Result) float64 { return float64(r.Routers) }
	both := func(r *Result) float64 { return float64(r.Caches) * float64(r.Routers) }
	var all []Slope
	for _, s := range []struct {
		role, name, over string
		x                func(*Result) float64
	}{
		{"router control", "processor time", "cache", caches},
		{"router control", "memory", "cache", caches},
		{"router control", "bytes", "cache", caches},
		{"router loaded", "list bytes", "cache", caches},
		{"router loaded", "probes", "cache", caches},
		{"router loaded", "handshakes", "cache", caches},
		{"router loaded", "connections", "cache", caches},
		{"router hollow", "probes", "cache", caches},
		{"router hollow", "timers", "cache", caches},
		{"cache, all", "probes", "router", routers},
		{"cache, opened", "probes", "router", routers},
		{"cache, opened", "handshakes", "router", routers},
		{"cache, opened", "connections", "router", routers},
		{"discovery", "lines, whole fleet", "cache and router", both},
		{"discovery", "bytes, whole fleet", "cache and router", both},
	} {
		var x, y []float64
		unit := ""
		for _, r := range points {
			if v, ok := r.Value(s.role, s.name); ok {
				x, y = append(x, s.x(r)), append(y, v)
			}
		}
		for _, f := range points[0].Figures {
			if f.Role == s.role && f.Name == s.name {
				unit = f.Unit
			}
		}
		if len(x) < leastPoints || stat.Variance(x, nil) == 0 {
			continue
		}
		start, slope := stat.LinearRegression(x, y, nil, false)
		r2 := stat.RSquared(x, y, nil, start, slope)
		left := 0.0
		for i := range x {
			left += math.Pow(y[i]-start-slope*x[i], 2)
		}
		n := float64(len(x))
		se := math.Sqrt(left / (n - 2) / (stat.Variance(x, nil) * (n - 1)))
		if math.IsNaN(r2) {
			r2 = 0 // all values are the same
		}
		all = append(all, Slope{s.role, s.name, unit, s.over, slope, se, start, r2, len(x)})
	}
	return all
}

// WriteSlopes writes slopes for people.
func WriteSlopes(out io.Writer, slopes []Slope) error {
	fmt.Fprintln(out, "\nslopes by least squares, with their standard errors")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4g ± %.2g\t%s a %s\tfrom %.4g\tR² %.3f of %d points\n", s.Role, s.Name, s.Slope, s.Error, s.Unit, s.Over, s.Start, s.R2, s.Points)
	}
	return w.Flush()
}
