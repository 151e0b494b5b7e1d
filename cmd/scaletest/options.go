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

// defaultSweep is caches by routers: four points of one shape, and two that separate the
// influence of caches from that of routers.
const defaultSweep = "75x350,150x700,300x1400,600x2800,600x700,150x2800"

// usageError is bad input.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// options is what the command line asks for.
type options struct {
	points        []scaletest.Point
	routerProgram string // built from this module if empty
	resultsFile   string // none if empty
}

// parseOptions reads the command line. The error is pflag.ErrHelp after the usage was written to
// out, or else a usageError.
func parseOptions(args []string, out io.Writer) (*options, error) {
	opts := &options{}
	var template scaletest.Point // of which each point has another size
	var sizes []string
	flags := pflag.NewFlagSet("scaletest", pflag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringSliceVar(&sizes, "sweep", strings.Split(defaultSweep, ","), "points to play, as caches x routers")
	flags.StringVarP(&opts.resultsFile, "output", "o", "", "file for the results, a JSON line each")
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
			return nil, &usageError{errors.New("give sweep, or caches and routers")}
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
	flags.IntVar(&p.Routers, "routers", 0, "routers of a single point, as their settings tell them")
	flags.Float64Var(&p.RequestRate, "rate", 643, "requests a second at each router")
	flags.IntVar(&p.HollowRouters, "hollow", 280, "hollow routers to play at most; each keeps a watch")
	flags.IntVar(&p.ActiveRouters, "working", 20, "of these, how many get requests at most")
	flags.IntVar(&p.ConnectedServers, "open", 1, "cache servers to which the whole fleet's sockets are opened")
	flags.IntVar(&p.MaxServerConns, "cache-conns", 4500, "connections that a cache server holds")
	flags.IntVar(&p.RouterDescriptors, "sockets", 1024, "descriptors of a router")
	flags.IntVar(&p.RouterMemoryMB, "memory", 192, "memory of a router, MB")
	flags.BoolVar(&p.WatchRequired, "subscribe", false, "discovery tells the list only to those that ask")
	flags.DurationVar(&p.Warmup, "warm", 5*time.Second, "time before the measuring")
	flags.DurationVar(&p.Window, "window", 12*time.Second, "time of the measuring")
	flags.DurationVar(&p.RestartInterval, "restart-every", 0, "time in which one cache server is listed as gone and started again; 0 for never")
	flags.DurationVar(&p.Outage, "outage", 0, "time for which discovery is down behind that; 0 for never")
}

// parsePoints makes a point of each size, which is caches x routers.
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
