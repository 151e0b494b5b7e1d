// Command cacherouter routes clients' requests to a fleet of cache servers.
//
// The environment variable BALANCER_CONFIG names its configuration file, CACHEROUTER_LOG_LEVEL the
// level from which on lines are logged.
// SIGTERM and SIGINT start a graceful shutdown; SIGHUP reloads the address of
// the discovery service from the file.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"marlstage/internal/config"
	"marlstage/internal/router"
)

// Environment variables.
const (
	configVariable   = "BALANCER_CONFIG"       // names the configuration file
	logLevelVariable = "CACHEROUTER_LOG_LEVEL" // debug, info, warn or error; info if it is not set
)

// A file that cannot be used at a SIGHUP is read again for 3 s: what the new
// discovery service has counts as notified 4 s after the signal.
const (
	reloadAttempts = 15
	reloadInterval = 200 * time.Millisecond
)

var errNoConfig = errors.New(configVariable + " is not set")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cacherouter:", err)
		os.Exit(1)
	}
}

// run serves until a signal ends the program.
func run() error {
	path := os.Getenv(configVariable)
	if path == "" {
		return errNoConfig
	}
	// Before the file is read: no signal must end the program other than by a
	// drain, and what changes in the file from here on must not be missed.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx := untilTerminated()
	// A log whose reader has gone would end the program at its next line.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := readConfig(path)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	srv, err := router.New(cfg)
	if err != nil {
		return err
	}
	if err := setLogLevel(srv); err != nil {
		return err
	}
	go reloadOnHangup(hangup, path, srv)
	return srv.Run(ctx)
}

// setLogLevel has the server log from the level on that the environment names.
func setLogLevel(srv *router.Server) error {
	name := os.Getenv(logLevelVariable)
	if name == "" {
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("%s: %w", logLevelVariable, err)
	}
	srv.SetLogLevel(level)
	return nil
}

// untilTerminated returns a context that ends with the first SIGTERM or
// SIGINT. Further ones have no effect, up to the end of the program.
func untilTerminated() context.Context {
	ctx, terminate := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		terminate()
	}()
	return ctx
}

// readConfig reads and parses the configuration file.
func readConfig(path string) (*config.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configVariable, err)
	}
	cfg, err := config.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return cfg, nil
}

// reloadOnHangup moves the server to the configured discovery service at each
// SIGHUP. A file that cannot be read or parsed leaves the server as it is: an
// old address costs less than an outage.
func reloadOnHangup(hangup <-chan os.Signal, path string, srv *router.Server) {
	for range hangup {
		if cfg := reloadConfig(path, srv); cfg != nil {
			srv.MoveDiscovery(cfg.Discovery)
		}
	}
}

// reloadConfig reads the configuration file again. A read may fail for a moment,
// or meet a file that is not completely written, so it is tried for a while. It
// logs the first failure, and returns nil if all attempts fail.
func reloadConfig(path string, srv *router.Server) *config.Config {
	for attempt := range reloadAttempts {
		cfg, err := readConfig(path)
		if err == nil {
			return cfg
		}
		if attempt == 0 {
			srv.Logger().Warn("configuration is not reloaded", "error", err)
		}
		time.Sleep(reloadInterval)
	}
	return nil
}
