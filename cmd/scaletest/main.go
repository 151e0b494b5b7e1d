// Command scaletest plays fleets of routers and cache servers of several sizes on loopback and
// measures what control costs: the list, probes, timers and connections. Without sizes it plays a
// sweep. Standard output gets a table; -o names a file for the results as JSON lines.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/pflag"

	"marlstage/internal/scaletest"
)

func main() {
	if os.Getenv(scaletest.RoleEnv) != "" {
		if err := scaletest.Serve(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "scaletest:", err)
			os.Exit(1)
		}
		return
	}
	var bad usageError
	switch err := run(os.Args[1:], os.Stdout); {
	case err == nil || errors.Is(err, pflag.ErrHelp):
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "scaletest:", err)
		os.Exit(1)
	}
}

// usageError is bad input.
type usageError struct{ error }

// sweep is caches by routers: four points of one shape, and two that tell caches from routers.
const sweep = "75x350,150x700,300x1400,600x2800,600x700,150x2800"

func run(args []string, out io.Writer) error {
	var p scaletest.Point
	var sizes []string
	var results, program string
	flags := pflag.NewFlagSet("scaletest", pflag.ContinueOnError)
	flags.SetOutput(out)
	flags.IntVar(&p.Caches, "caches", 0, "cache servers of a single point")
	flags.IntVar(&p.Routers, "routers", 0, "routers of a single point, as their settings tell them")
	flags.StringSliceVar(&sizes, "sweep", strings.Split(sweep, ","), "points to play, as caches x routers")
	flags.Float64Var(&p.Rate, "rate", 643, "requests a second at each router")
	flags.IntVar(&p.Hollow, "hollow", 280, "hollow routers to play at most; each keeps a watch")
	flags.IntVar(&p.Working, "working", 20, "of these, how many get requests at most")
	flags.IntVar(&p.Open, "open", 1, "cache servers to which the whole fleet's sockets are opened")
	flags.IntVar(&p.CacheConns, "cache-conns", 4500, "connections that a cache server holds")
	flags.IntVar(&p.Sockets, "sockets", 1024, "descriptors of a router")
	flags.IntVar(&p.MemoryMB, "memory", 192, "memory of a router, MB")
	flags.BoolVar(&p.Subscribe, "subscribe", false, "discovery tells the list only to those that ask")
	flags.DurationVar(&p.Warm, "warm", 5*time.Second, "time before the measuring")
	flags.DurationVar(&p.Window, "window", 12*time.Second, "time of the measuring")
	flags.DurationVar(&p.RestartEvery, "restart-every", 0, "time in which one cache server is listed as gone and started again; 0 for never")
	flags.DurationVar(&p.Outage, "outage", 0, "time for which discovery is down behind that; 0 for never")
	flags.StringVarP(&results, "output", "o", "", "file for the results, a JSON line each")
	flags.StringVar(&program, "router", "", "program to run as the real router; built from this module if empty")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	if flags.NArg() > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", flags.Arg(0))}
	}
	if flags.Changed("caches") || flags.Changed("routers") {
		if flags.Changed("sweep") {
			return usageError{errors.New("give sweep, or caches and routers")}
		}
		sizes = []string{fmt.Sprintf("%dx%d", p.Caches, p.Routers)}
	}
	var points []scaletest.Point
	for _, size := range sizes {
		caches, routers, _ := strings.Cut(size, "x")
		var cerr, rerr error
		p.Caches, cerr = strconv.Atoi(caches)
		p.Routers, rerr = strconv.Atoi(routers)
		if cerr != nil || rerr != nil {
			return usageError{fmt.Errorf("sweep: %q is not caches x routers", size)}
		}
		if err := p.Check(); err != nil {
			return usageError{err}
		}
		points = append(points, p)
	}
	if len(points) == 0 {
		return usageError{errors.New("sweep: no points")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return play(ctx, points, program, results, out)
}

// play runs the points one behind the other.
func play(ctx context.Context, points []scaletest.Point, program, results string, out io.Writer) error {
	lines := json.NewEncoder(io.Discard)
	if results != "" {
		file, err := os.Create(results)
		if err != nil {
			return usageError{err}
		}
		defer file.Close()
		lines = json.NewEncoder(file)
	}
	if program == "" {
		dir, err := os.MkdirTemp("", "scaletest")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		if program, err = scaletest.BuildRouter(ctx, dir); err != nil {
			return err
		}
	}
	var all []*scaletest.Result
	for _, p := range points {
		r, err := scaletest.Run(ctx, p, program)
		if err != nil {
			return fmt.Errorf("%d caches, %d routers: %w", p.Caches, p.Routers, err)
		}
		all = append(all, r)
		if err := errors.Join(lines.Encode(r), r.WriteTable(out)); err != nil {
			return err
		}
	}
	slopes := scaletest.Slopes(all)
	if len(slopes) == 0 {
		return nil
	}
	for _, s := range slopes {
		if err := lines.Encode(s); err != nil {
			return err
		}
	}
	return scaletest.WriteSlopes(out, slopes)
}
