package main

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"marlstage/internal/scaletest"
)

// defaultSweep lists the points as caches x routers: four with the same ratio of routers to caches, and
// two that separate the influence of the number of caches from that of routers.
const defaultSweep = "75x350,150x700,300x1400,600x2800,600x700,150x2800"

// usageError is an error in the command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// options holds the parsed command line.
type options struct {
	points        []scaletest.Point
	routerProgram string // built from this module if empty
	resultsFile   string // none if empty
}

// parseOptions parses the command line. The error is a *usageError, or pflag.ErrHelp if help was
// requested and written to out.
func parseOptions(args []string, out io.Writer) (*options, error) {
	opts := &options{}
	var template scaletest.Point // the options of all points; their sizes differ
	var sizes []string
	flags := pflag.NewFlagSet("scaletest", pflag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringSliceVar(&sizes, "sweep", strings.Split(defaultSweep, ","), "points to run, as caches x routers")
	flags.StringVarP(&opts.resultsFile, "output", "o", "", "file for the results, as JSON lines")
	flags.StringVar(&opts.routerProgram, "router", "", "program to run as the real router; built from this module if empty")
	addPointFlags(flags, &template)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil, err
		}
		return nil, &usageError{err}
	}
	if flags.NArg() > 0 {
		return nil, &usageError{fmt.Errorf("unexpected argument %q", flags.Arg(0))}
	}
	if flags.Changed("caches") || flags.Changed("routers") {
		if flags.Changed("sweep") {
			return nil, &usageError{errors.New("sweep cannot be combined with caches or routers")}
		}
		sizes = []string{fmt.Sprintf("%dx%d", template.CacheServers, template.Routers)}
	}
	var err error
	if opts.points, err = parsePoints(template, sizes); err != nil {
		return nil, &usageError{err}
	}
	return opts, nil
}

func addPointFlags(flags *pflag.FlagSet, p *scaletest.Point) {
	flags.IntVar(&p.CacheServers, "caches", 0, "cache servers of a single point")
	flags.IntVar(&p.Routers, "routers", 0, "routers of a single point, also the fleet size in their settings")
	flags.Float64Var(&p.RequestRate, "rate", 643, "requests per second at each router")
	flags.IntVar(&p.HollowRouters, "hollow", 280, "maximum number of hollow routers; each keeps a watch")
	flags.IntVar(&p.ActiveRouters, "working", 20, "maximum number of hollow routers that also get requests")
	flags.IntVar(&p.ConnectedServers, "open", 1, "maximum number of cache servers to which the sockets of the whole fleet are opened")
	flags.IntVar(&p.MaxServerConns, "cache-conns", 4500, "maximum number of connections per cache server")
	flags.IntVar(&p.RouterDescriptors, "sockets", 1024, "file descriptors per router")
	flags.IntVar(&p.RouterMemoryMB, "memory", 192, "memory per router, in MB")
	flags.BoolVar(&p.WatchRequired, "subscribe", false, "routers get the endpoint list only by starting a watch")
	flags.DurationVar(&p.Warmup, "warm", 5*time.Second, "time before the measurement")
	flags.DurationVar(&p.Window, "window", 12*time.Second, "duration of the measurement")
	flags.DurationVar(&p.RestartInterval, "restart-every", 0, "time in which one cache server is listed as gone and started again; 0 for never")
	flags.DurationVar(&p.Outage, "outage", 0, "time for which discovery is down after the measurement; 0 for no outage")
}

// parsePoints returns a point for each size. A size has the form caches x routers, such as 75x350.
func parsePoints(template scaletest.Point, sizes []string) ([]scaletest.Point, error) {
	var points []scaletest.Point
	for _, size := range sizes {
		p := template
		caches, routers, _ := strings.Cut(size, "x")
		var cachesErr, routersErr error
		p.CacheServers, cachesErr = strconv.Atoi(caches)
		p.Routers, routersErr = strconv.Atoi(routers)
		if cachesErr != nil || routersErr != nil {
			return nil, fmt.Errorf("sweep: %q is not caches x routers", size)
		}
		if err := p.Validate(); err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	if len(points) == 0 {
		return nil, errors.New("sweep: no points")
	}
	return points, nil
}
