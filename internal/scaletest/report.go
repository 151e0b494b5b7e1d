package scaletest

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// What a figure rests on: one of these, or the sample that it was counted on.
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
	Basis string  `json:"basis"`
}

// Result is what one point gave.
type Result struct {
	Caches      int      `json:"caches"`
	Routers     int      `json:"routers"`
	Rate        float64  `json:"requests_per_s"` // of the whole fleet
	Seconds     float64  `json:"window_s"`
	Figures     []Figure `json:"figures"`
	NotMeasured []string `json:"not_measured"`
}

func (r *Result) add(role, name, unit string, v float64, basis string) {
	if math.IsNaN(v) {
		v = 0 // a share of nothing
	}
	r.Figures = append(r.Figures, Figure{role, name, unit, v, basis})
}

// Value is a figure of the point; 0 where there is none.
func (r *Result) Value(role, name string) float64 { return r.figure(role, name).Value }

func (r *Result) figure(role, name string) Figure {
	for _, f := range r.Figures {
		if f.Role == role && f.Name == name {
			return f
		}
	}
	return Figure{}
}

const (
	perSecond = "1/s"
	kilobytes = "KB/s"
	ofCore    = "% of a core"
)

// newResult works out what happened between two moments.
func newResult(p *Point, before, after *sample) *Result {
	span := after.at.Sub(before.at).Seconds()
	r := &Result{Caches: p.Caches, Routers: p.Routers, Rate: p.Rate * float64(p.Routers), Seconds: span}
	cpu := func(a, b usage) float64 { return 100 * (a.cpu - b.cpu) / span }
	ofCaches := func(role string, c CacheCount, over float64, basis string) {
		r.add(role, "probes", perSecond, float64(c.Probes)/over/span, basis)
		r.add(role, "probe bytes", kilobytes, float64(c.ProbeBytes)/over/span/1e3, basis)
		r.add(role, "attempts", perSecond, float64(c.Attempts)/over/span, basis)
		r.add(role, "attempt bytes", kilobytes, float64(c.AttemptBytes)/over/span/1e3, basis)
		r.add(role, "handshakes", perSecond, float64(c.Handshakes)/over/span, basis)
		r.add(role, "connections", "", float64(c.Conns)/over, basis)
		r.add(role, "connections turned away", perSecond, float64(c.TurnedAway)/over/span, basis)
	}
	ofList := func(role string, view int, over float64, basis string) {
		a, b := after.agent[view], before.agent[view]
		r.add(role, "watch calls", perSecond, float64(a.Calls-b.Calls)/over/span, basis)
		r.add(role, "list lines", perSecond, float64(a.Lines-b.Lines)/over/span, basis)
		r.add(role, "list bytes", kilobytes, float64(a.BytesIn-b.BytesIn+a.BytesOut-b.BytesOut)/over/span/1e3, basis)
	}

	for v := viewLoaded; v < views; v++ {
		role := "router " + viewNames[v]
		r.add(role, "processor time", ofCore, cpu(after.routers[v], before.routers[v]), measured)
		r.add(role, "memory", "MB", after.routers[v].memory/1e6, measured)
		r.add(role, "memory at most", "MB", after.routers[v].mostMemory/1e6, measured)
		ofList(role, v, 1, measured)
		var c CacheCount
		for i := range after.caches {
			c.add(after.caches[i][v].since(before.caches[i][v]))
		}
		ofCaches(role, c, 1, measured)
		if k := after.clients[v]; k.Latency != nil {
			r.add(role, "requests due", perSecond, float64(k.Due)/span, measured)
			r.add(role, "served", "% of due", 100*float64(k.Served)/float64(k.Due), measured)
			r.add(role, "refused", "% of due", 100*float64(k.Refused)/float64(k.Due), measured)
			r.add(role, "failed", "% of due", 100*float64(k.Failed)/float64(k.Due), measured)
			r.add(role, "latency, median", "ms", float64(k.Latency.ValueAtQuantile(50))/1e3, measured)
			r.add(role, "latency, 99th percentile", "ms", float64(k.Latency.ValueAtQuantile(99))/1e3, measured)
		}
	}
	const control = "router control"
	probing := r.Value("router loaded", "processor time") - r.Value("router noprobe", "processor time")
	r.add(control, "processor time, loaded less noprobe", ofCore, probing, workedOut)
	r.add(control, "processor time", ofCore, r.Value("router idle", "processor time")+max(0, probing), workedOut+": idle, and that where it is above 0")
	r.add(control, "memory", "MB", r.Value("router idle", "memory at most"), measured+" without clients")
	r.add(control, "bytes", kilobytes, r.Value("router loaded", "list bytes")+r.Value("router loaded", "probe bytes"), measured)

	// The hollow routers at work, and what they make of a cache server once the sample is scaled to the fleet.
	a, b, n := after.fleet, before.fleet, float64(p.working())
	var all, most CacheCount // most is what the cache server gets that gets most of it
	for i := range a.Caches {
		t := a.Caches[i].since(b.Caches[i])
		all.add(t)
		most.Probes, most.Handshakes, most.Conns = max(most.Probes, t.Probes), max(most.Handshakes, t.Handshakes), max(most.Conns, t.Conns)
	}
	r.add("router hollow", "requests", perSecond, float64(a.Requests-b.Requests)/n/span, counted(p.working(), p.Routers))
	r.add("router hollow", "served", "% of requests", 100*float64(a.Served-b.Served)/float64(a.Requests-b.Requests), counted(p.working(), p.Routers))
	r.add("router hollow", "timers", perSecond, float64(a.Timers-b.Timers)/n/span, counted(p.working(), p.Routers))
	for _, of := range []struct {
		role, basis string
		over        float64
	}{{"router hollow", counted(p.working(), p.Routers), n},
		{"cache, all", workedOut + ", " + counted(p.working(), p.Routers), n / float64(p.Routers) * float64(p.Caches)}} {
		r.add(of.role, "probes", perSecond, float64(all.Probes)/of.over/span, of.basis)
		r.add(of.role, "attempts", perSecond, float64(all.Attempts)/of.over/span, of.basis)
		r.add(of.role, "handshakes", perSecond, float64(all.Handshakes)/of.over/span, of.basis)
		r.add(of.role, "connections", "", float64(all.Conns)/of.over, of.basis)
	}
	scale, basis := float64(p.Routers)/n, workedOut+", "+counted(p.working(), p.Routers)
	r.add("cache, most at one", "probes", perSecond, float64(most.Probes)*scale/span, basis)
	r.add("cache, most at one", "handshakes", perSecond, float64(most.Handshakes)*scale/span, basis)
	r.add("cache, most at one", "connections", "", float64(most.Conns)*scale, basis)
	var c CacheCount
	for k := range p.open() {
		i := p.opened(k)
		c.add(after.caches[i][viewHollow].since(before.caches[i][viewHollow]))
	}
	ofCaches("cache, opened", c, float64(p.open()), fmt.Sprintf("%s at %d of %d", measured, p.open(), p.Caches))

	ofList("discovery", viewHollow, 1, fmt.Sprintf("%s for %d of %d", measured, p.hollow(), p.Routers))
	r.add("discovery", "processor time", ofCore, cpu(after.standIns.agent, before.standIns.agent), measured+" for the same and the real routers")
	ofList("discovery, whole fleet", viewHollow, float64(p.hollow())/float64(p.Routers), workedOut)

	r.add("stand-ins", "processor time, hollow routers", ofCore, cpu(after.standIns.fleet, before.standIns.fleet), measured)
	r.add("stand-ins", "processor time, cache servers", ofCore, cpu(after.standIns.caches, before.standIns.caches), measured)
	r.add("stand-ins", "memory", "MB", (after.standIns.fleet.memory+after.standIns.caches.memory+after.standIns.agent.memory)/1e6, measured)
	r.add("stand-ins", "requests late, 99th percentile", "ms", float64(a.Late)/1e3, measured)
	r.add("stand-ins", "messages to opened caches that went wrong", perSecond, float64(a.Lost-b.Lost)/span, measured)

	r.NotMeasured = []string{
		"bytes of TCP and IP, and of handshakes: bytes are what the sockets carried",
		"processor time and memory of a cache server for control: many stand-ins share a process and do no work",
		"processor time of a real router's probes apart: the two that are compared have clients of their own, and handshakes of noprobe count as data",
		"a real router's timers, which are counted at hollow ones; the network; discovery behind its agents",
	}
	if left := p.Routers - p.working(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("requests of %d routers of %d: at opened caches the sockets of the others repeat what theirs do, up to a round of probes later", left, p.Routers))
	}
	if left := p.Routers - p.hollow(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("watches of %d routers of %d", left, p.Routers))
	}
	if left := p.Caches - p.open(); left > 0 {
		r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("connections of hollow routers to %d caches of %d: counted, not opened", left, p.Caches))
	}
	return r
}

func counted(n, of int) string { return fmt.Sprintf("counted on %d of %d", n, of) }

// WriteTable writes a point for people.
func (r *Result) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "\n%d caches, %d routers, %.0f requests a second; %.1f s\n", r.Caches, r.Routers, r.Rate, r.Seconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range r.Figures {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\n", f.Role, f.Name, f.Value, f.Unit, f.Basis)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, most := range []Figure{{Name: "processor time", Value: 3.1}, {Name: "memory", Value: 32}, {Name: "bytes", Value: 24}} {
		f, verdict := r.figure("router control", most.Name), "within"
		if f.Value > most.Value {
			verdict = "OVER"
		}
		fmt.Fprintf(out, "control of a router, %s: %.4g %s, %s the %.4g it may spend\n", f.Name, f.Value, f.Unit, verdict, most.Value)
	}
	for _, s := range r.NotMeasured {
		fmt.Fprintln(out, "not measured:", s)
	}
	return nil
}

// Slope is how a figure grows with the size of the fleet, by least squares.
type Slope struct {
	Role      string  `json:"role"`
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Over      string  `json:"over"` // what it grows with
	Slope     float64 `json:"slope"`
	Scatter   float64 `json:"standard_error"` // of the slope
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r_squared"`
	Points    int     `json:"points"`
}

// Slopes fits the figures of control to the sizes of the points. It takes three sizes at least.
func Slopes(points []*Result) []Slope {
	caches := func(r *Result) float64 { return float64(r.Caches) }
	routers := func(r *Result) float64 { return float64(r.Routers) }
	var all []Slope
	for _, s := range []struct {
		role, name, over string
		of               func(*Result) float64
	}{
		{"router control", "processor time", "cache", caches}, {"router control", "memory", "cache", caches},
		{"router control", "bytes", "cache", caches}, {"router loaded", "list bytes", "cache", caches},
		{"router loaded", "probes", "cache", caches}, {"router loaded", "handshakes", "cache", caches},
		{"router loaded", "connections", "cache", caches}, {"router hollow", "probes", "cache", caches},
		{"router hollow", "timers", "cache", caches}, {"cache, all", "probes", "router", routers},
		{"cache, opened", "probes", "router", routers}, {"cache, opened", "handshakes", "router", routers},
		{"cache, opened", "connections", "router", routers},
		{"discovery, whole fleet", "list lines", "cache and router", func(r *Result) float64 { return caches(r) * routers(r) }},
		{"discovery, whole fleet", "list bytes", "cache and router", func(r *Result) float64 { return caches(r) * routers(r) }},
	} {
		var x, y []float64
		for _, r := range points {
			x, y = append(x, s.of(r)), append(y, r.Value(s.role, s.name))
		}
		if n := float64(len(x)); n > 2 && stat.Variance(x, nil) > 0 {
			at0, slope := stat.LinearRegression(x, y, nil, false)
			left := 0.0
			for i := range x {
				left += math.Pow(y[i]-at0-slope*x[i], 2)
			}
			r2 := stat.RSquared(x, y, nil, at0, slope)
			if math.IsNaN(r2) {
				r2 = 0 // all values are the same
			}
			all = append(all, Slope{s.role, s.name, points[0].figure(s.role, s.name).Unit, s.over, slope,
				math.Sqrt(left / (n - 2) / (stat.Variance(x, nil) * (n - 1))), at0, r2, len(x)})
		}
	}
	return all
}

// WriteSlopes writes slopes for people.
func WriteSlopes(out io.Writer, slopes []Slope) error {
	fmt.Fprintln(out, "\nslopes by least squares, with their standard errors")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%.4g ± %.2g\t%s a %s\tfrom %.4g\tR² %.3f, %d points\n", s.Role, s.Name, s.Slope, s.Scatter, s.Unit, s.Over, s.Intercept, s.R2, s.Points)
	}
	return w.Flush()
}
