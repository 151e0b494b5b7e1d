// Command scaletest runs fleets of routers and cache servers of several sizes on loopback and
// measures the cost of the control traffic: the endpoint list, health checks, timers and
// connections. Without sizes on the command line it runs a default sweep. It writes tables to
// standard output and, with -o, the results to a file as JSON lines.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/pflag"

	"marlstage/internal/scaletest"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if os.Getenv(scaletest.RoleEnv) != "" {
		exit(scaletest.RunWorker(os.Stdin, os.Stdout))
	}
	exit(run(os.Args[1:], os.Stdout))
}

// exit ends the program. If err is not nil, it prints the error and sets the exit code.
func exit(err error) {
	if err == nil || errors.Is(err, pflag.ErrHelp) {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, "scaletest:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

func run(args []string, out io.Writer) error {
	opts, err := parseOptions(args, out)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if opts.resultsFile == "" {
		return runPoints(ctx, opts, io.Discard, out)
	}
	file, err := os.Create(opts.resultsFile)
	if err != nil {
		return &usageError{err}
	}
	return errors.Join(runPoints(ctx, opts, file, out), file.Close())
}

// runPoints runs the points one after the other and writes their results as JSON lines and as tables.
func runPoints(ctx context.Context, opts *options, results, tables io.Writer) error {
	program := opts.routerProgram
	if program == "" {
		dir, err := os.MkdirTemp("", "scaletest")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // files that are left behind do not affect the results
		if program, err = scaletest.BuildRouter(ctx, dir); err != nil {
			return err
		}
	}
	encoder := json.NewEncoder(results)
	var all []*scaletest.Result
	for _, p := range opts.points {
		result, err := scaletest.Run(ctx, p, program)
		if err != nil {
			return fmt.Errorf("%d caches, %d routers: %w", p.CacheServers, p.Routers, err)
		}
		all = append(all, result)
		if err := errors.Join(encoder.Encode(result), result.WriteTable(tables)); err != nil {
			return err
		}
	}
	return writeSlopes(scaletest.FitSlopes(all), encoder, tables)
}

func writeSlopes(slopes []scaletest.Slope, encoder *json.Encoder, tables io.Writer) error {
	if len(slopes) == 0 {
		return nil
	}
	for _, slope := range slopes {
		if err := encoder.Encode(slope); err != nil {
			return err
		}
	}
	return scaletest.WriteSlopes(tables, slopes)
}
