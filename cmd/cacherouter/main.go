// Command cacherouter routes clients' requests to a fleet of cache servers.
// BALANCER_CONFIG names the file with its configuration.
package main

import (
	"context"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"marlstage/internal/router"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cacherouter:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return fmt.Errorf("BALANCER_CONFIG is not set")
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	cfg, err := readConfig(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg.Limits.Apply()
	srv, err := router.New(cfg)
	if err != nil {
		return err
	}
	go reload(hangup, path, srv)
	return srv.Run(ctx)
}

func readConfig(path string) (*router.Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err := router.ParseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return cfg, nil
}

// reload takes over the address of discovery from the configuration at each SIGHUP. A file that
// can't be read leaves the router as it is: ending it would cost more than an old address.
func reload(hangup <-chan os.Signal, path string, srv *router.Server) {
	for range hangup {
		cfg, err := readConfig(path)
		if err != nil {
			log.Print("SIGHUP: ", err)
			continue
		}
		srv.MoveDiscovery(cfg.Discovery)
	}
}
