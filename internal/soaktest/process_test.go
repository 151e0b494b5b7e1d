package soaktest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	startTimeout   = 30 * time.Second
	servingMessage = "msg=serving addr=" // followed by the address
)

// settingsFormat is a format with three arguments: the number of routers, the longest timeout and the warm-up
// time of a cache, both in microseconds.
const settingsFormat = `{"instances":%d,"discovery":"automatic","weights":"none",
 "categories":[
  {"name":"read","effect":"read_like","dedupScope":"all","aim":%[2]d,"hardLimit":%[2]d,"keyTtl":2000000,"worth":1},
  {"name":"put","effect":"idempotency_key","dedupScope":"all","aim":%[2]d,"hardLimit":%[2]d,"keyTtl":600000,"worth":1},
  {"name":"once","effect":"non_idempotent","dedupScope":"all","aim":%[2]d,"hardLimit":%[2]d,"worth":1}],
 "limits":{"cancel":true,"probes":true,"secondCopies":true,"retryAfter":true,"maxAttempts":3,"maxRetryAfter":500000,
  "maxOpen":5000,"dialTimeout":250000,"keepalive":15000000},
 "rules":{"askEvery":10000000,"cold":%[3]d,"drainGrace":1000000,"fall":1500000,"startCapacity":0.3,"tipMultiple":3}}`

// buildRouter builds the program cacherouter and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cacherouter")
	if out, err := exec.Command("go", "build", "-o", program, "marlstage/cmd/cacherouter").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// routerProcess is a running router process.
type routerProcess struct {
	addr   string
	cmd    *exec.Cmd
	path   string         // of its configuration file
	config map[string]any // content of the configuration file
	memory *memoryWatch

	logEnded chan struct{} // closed when all of the log has been read
	mu       sync.Mutex
	log      []string
}

// startRouter starts a router and waits until it serves.
func startRouter(t *testing.T, program, name string, p *plan, discovery string, known *endpointList) *routerProcess {
	t.Helper()
	endpoints, version := known.snapshot()
	config := map[string]any{
		"name":      name,
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      fmt.Sprintf("%x", p.seed),
		"limits":    map[string]any{"cores": p.coreLimit(), "memory_mb": p.memoryLimitMB(), "sockets": p.descriptors},
		"known":     json.RawMessage(listBody(endpoints, version, true)),
		"settings": json.RawMessage(fmt.Sprintf(settingsFormat, p.routers, p.longestTimeout.Microseconds(),
			p.warmupTime.Microseconds())),
	}
	r := &routerProcess{
		cmd:      routerCommand(t, program, p),
		path:     filepath.Join(t.TempDir(), "config.json"),
		config:   config,
		logEnded: make(chan struct{}),
		memory:   newMemoryWatch(p.memoryLimitMB()),
	}
	r.configure(t, discovery)
	r.cmd.Env = append(r.cmd.Env, "BALANCER_CONFIG="+r.path)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := r.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r.memory.start(r.cmd.Process.Pid)
	t.Cleanup(func() {
		r.memory.stop()
		r.memory.wantWithinLimit(t, name)
		_ = r.cmd.Process.Kill() // fails if the process has exited
		_ = r.wait()
	})
	serving := make(chan string, 1)
	go r.readLog(bufio.NewScanner(stderr), serving)
	select {
	case r.addr = <-serving:
	case <-time.After(startTimeout):
		t.Fatalf("%s does not serve", name)
	}
	return r
}

// configure writes the router's configuration file with the given address of its discovery service.
func (r *routerProcess) configure(t *testing.T, discovery string) {
	t.Helper()
	r.config["discovery"] = discovery
	raw, err := json.Marshal(r.config)
	if err == nil {
		err = os.WriteFile(r.path, raw, 0o600)
	}
	if err != nil {
		t.Error(err)
	}
}

// routerCommand returns the command that runs the router, without TCP_INFO if the plan says so.
func routerCommand(t *testing.T, program string, p *plan) *exec.Cmd {
	t.Helper()
	if p.noTCPInfo {
		return withoutTCPInfo(t, program)
	}
	cmd := exec.Command(program)
	cmd.Env = os.Environ()
	return cmd
}

// readLog stores the lines of the log and sends the address that the router serves on to serving.
func (r *routerProcess) readLog(lines *bufio.Scanner, serving chan<- string) {
	defer close(r.logEnded)
	for lines.Scan() {
		line := lines.Text()
		if _, addr, ok := strings.Cut(line, servingMessage); ok {
			serving <- addr
		}
		r.mu.Lock()
		r.log = append(r.log, line)
		r.mu.Unlock()
	}
}

// wait waits until the router has ended and all of its log has been read. It returns an error if the router was
// killed or failed.
func (r *routerProcess) wait() error {
	<-r.logEnded
	return r.cmd.Wait()
}

// lines returns the lines of the log so far.
func (r *routerProcess) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.log)
}
