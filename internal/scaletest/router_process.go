package scaletest

// This file builds, configures and starts real routers.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"marlstage/internal/resp"
)

const (
	routerPackage      = "marlstage/cmd/cacherouter"
	routerConfigEnv    = "BALANCER_CONFIG"
	servingLogMessage  = "msg=serving addr=" // followed by the address
	routerStartTimeout = 30 * time.Second
	routerConfigMode   = 0o600
	pongText           = "PONG"
)

// The reasons why a router did not start.
var (
	errRouterExited     = errors.New("the process exited")
	errRouterNotServing = errors.New("timed out before it served")
)

// routerConfig is the configuration file of a real router.
type routerConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Endpoints json.RawMessage `json:"known"`
	Limits    routerLimits    `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

// routerLimits holds the resource limits of a real router.
type routerLimits struct {
	Cores       int `json:"cores"`
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"sockets"`
}

// BuildRouter builds the real router in dir, from the module that contains the working directory, and
// returns the path of the program.
func BuildRouter(ctx context.Context, dir string) (string, error) {
	program := filepath.Join(dir, "cacherouter")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, routerPackage).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the router: %w\n%s", err, out)
	}
	return program, nil
}

// startRouter starts a real router with its configuration file in dir, waits until it answers PING and
// returns its address. If the process was started but did not answer, startRouter returns both the
// process, which the caller has to stop, and an error.
func startRouter(
	ctx context.Context, program, dir string, config routerConfig, onExit func(error),
) (p *process, addr string, err error) {
	path, err := writeRouterConfig(dir, config)
	if err != nil {
		return nil, "", err
	}
	serving := make(chan string, 1)
	p = &process{name: "router " + config.Name, cmd: exec.Command("/bin/sh", "-c", `exec "$0"`, program)}
	p.log.onLine = func(line string) {
		if _, addr, ok := strings.Cut(line, servingLogMessage); ok && len(serving) == 0 {
			serving <- addr
		}
	}
	p.cmd.Env = append(os.Environ(), routerConfigEnv+"="+path)
	p.cmd.Stdout = &p.log
	if err := p.start(onExit); err != nil {
		return nil, "", err
	}
	addr, err = p.waitUntilServing(ctx, serving)
	if err != nil {
		return p, "", fmt.Errorf("%s did not start: %w; its log ends with:\n%s", p.name, err, &p.log)
	}
	return p, addr, nil
}

func writeRouterConfig(dir string, config routerConfig) (path string, err error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, config.Name+".json")
	return path, os.WriteFile(path, raw, routerConfigMode)
}

func (p *process) waitUntilServing(ctx context.Context, serving <-chan string) (addr string, err error) {
	select {
	case addr = <-serving:
		return addr, ping(addr)
	case <-p.exited:
		return "", errRouterExited
	case <-time.After(routerStartTimeout):
		return "", errRouterNotServing
	case <-ctx.Done():
		return "", context.Cause(ctx)
	}
}

// ping checks that a router answers PING.
func ping(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, routerStartTimeout)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(routerStartTimeout))
	reply, err := roundTrip(nc, resp.AppendPing(nil), make([]byte, replySize))
	if err != nil {
		return err
	}
	if string(reply.Data) != pongText {
		return fmt.Errorf("unexpected reply to PING: %q", reply.Data)
	}
	return nil
}
