// Command cacherouter routes clients' requests to a fleet of cache servers.
//
// The environment variable BALANCER_CONFIG is the path of the configuration file.
// CACHEROUTER_LOG_LEVEL is the minimum level of the lines that are logged.
// SIGTERM and SIGINT start a graceful shutdown. SIGHUP reloads the address of
// the discovery service from the configuration file.
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
	configVariable   = "BALANCER_CONFIG"       // path of the configuration file
	logLevelVariable = "CACHEROUTER_LOG_LEVEL" // debug, info, warn or error; info if unset
)

// On SIGHUP, an unreadable or invalid file is read again every 200 ms for 3 s. The router must not take
// longer: the endpoint list of the new discovery service counts as notified 4 s after the signal.
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

// run starts the server and returns when a signal has shut it down.
func run() error {
	path := os.Getenv(configVariable)
	if path == "" {
		return errNoConfig
	}
	// The signal handlers are installed before the file is read: SIGTERM must always
	// end the program by draining it, and a SIGHUP that follows a change of the file
	// must not be lost.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx := terminationContext()
	// By default, writing to a log pipe whose reader has exited would end the program.
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

// setLogLevel sets the server's log level to that of the environment variable, if it is set.
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

// terminationContext returns a context that is cancelled by the first SIGTERM or
// SIGINT. Further ones are ignored until the program exits.
func terminationContext() context.Context {
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

// reloadOnHangup moves the server to the configured discovery service on each
// SIGHUP. If the file cannot be read or parsed, the server keeps its current
// address, because an outdated address does less harm than an outage.
func reloadOnHangup(hangup <-chan os.Signal, path string, srv *router.Server) {
	for range hangup {
		if cfg := reloadConfig(path, srv); cfg != nil {
			srv.MoveDiscovery(cfg.Discovery)
		}
	}
}

// reloadConfig reads the configuration file again. The file may be missing or
// incomplete while it is being replaced, so failed reads are repeated. It logs
// the first failure and returns nil if all attempts fail.
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
