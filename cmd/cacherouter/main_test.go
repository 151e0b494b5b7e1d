package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds each wait for an event that must come. Only a failing test waits so long.
const testTimeout = 30 * time.Second

// What the program logs.
const (
	servingMessage      = "msg=serving addr=" // its address follows
	reloadFailedMessage = "configuration is not reloaded"
	movedMessage        = "discovery moves"
)

// configFormat takes the address for clients and that of the discovery service.
const configFormat = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[
  {"name":"c1","address":"127.0.0.1:1","zone":"a","group":1,"status":"in_service","weight":1,"since_ms":0}]},
 "settings":{"instances":1,"discovery":"automatic","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":500000,"hardLimit":1000000,"worth":1}],"limits":{"maxAttempts":1},"rules":{"drainGrace":1000000}}}`

// newCommand builds the program and prepares a start with the given configuration.
func newCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "cacherouter")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	return cmd
}

// startServing starts the program and returns its address and the rest of its log once it serves.
func startServing(t *testing.T, cmd *exec.Cmd) (addr string, log *bufio.Reader) {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := func() { _ = cmd.Process.Kill() }     // fails only if the program has ended
	watchdog := time.AfterFunc(testTimeout, kill) // a hung program must not block the test
	t.Cleanup(func() {
		watchdog.Stop()
		kill()
	})
	log = bufio.NewReader(stderr)
	line, err := log.ReadString('\n')
	_, addr, ok := strings.Cut(strings.TrimSpace(line), servingMessage)
	if !ok {
		t.Fatalf("the program logged %q, %v", line, err)
	}
	return addr, log
}

func ping(t *testing.T, addr string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatalf("PING: %v", err)
	}
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("PING: %q, %v", line, err)
	}
}

// terminate sends SIGTERM and waits until the program ends, which must be without an error.
func terminate(t *testing.T, cmd *exec.Cmd, log *bufio.Reader) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	rest, _ := io.ReadAll(log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v\n%s", err, rest)
	}
}

func TestServeUntilSIGTERM(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := startServing(t, cmd)
	ping(t, addr)
	terminate(t, cmd, log)
}

// awaitReload waits until the program has logged what came of a SIGHUP.
func awaitReload(t *testing.T, log *bufio.Reader) {
	t.Helper()
	for {
		line, err := log.ReadString('\n')
		if err != nil {
			t.Fatalf("the program ended: %v", err)
		}
		if strings.Contains(line, reloadFailedMessage) || strings.Contains(line, movedMessage) {
			return
		}
	}
}

// TestSIGHUPMovesDiscovery: an invalid file changes nothing, a valid one moves the router to the discovery service
// that it names, and neither ends the program.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	calls := make(chan struct{}, 100)
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer moved.Close()
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := startServing(t, cmd)
	for _, discovery := range []string{"nowhere", moved.Listener.Addr().String()} {
		if err := os.WriteFile(configPath(cmd), fmt.Appendf(nil, configFormat, "127.0.0.1:0", discovery), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitReload(t, log) // the file must not change again before it was read
	}
	select {
	case <-calls:
	case <-time.After(testTimeout):
		t.Error("no call at the new address")
	}
	ping(t, addr)
	terminate(t, cmd, log)
}

// TestSIGHUPBeforeFileIsComplete: a file that can't be used yet, as it is missing or half written, is read again without
// another signal.
func TestSIGHUPBeforeFileIsComplete(t *testing.T) {
	calls := make(chan struct{}, 100)
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer moved.Close()
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	_, log := startServing(t, cmd)
	complete := fmt.Appendf(nil, configFormat, "127.0.0.1:0", moved.Listener.Addr().String())
	if err := os.WriteFile(configPath(cmd), complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitReload(t, log) // it has read the first half
	if err := os.WriteFile(configPath(cmd), complete, 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-calls:
	case <-time.After(testTimeout):
		t.Error("no call at the new address")
	}
	terminate(t, cmd, log)
}

// TestSignalsDuringShutdown do not change its outcome.
func TestSignalsDuringShutdown(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := startServing(t, cmd)
	ping(t, addr)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	terminate(t, cmd, log)
}

// configPath returns the path of the configuration that newCommand wrote.
func configPath(cmd *exec.Cmd) string {
	_, path, _ := strings.Cut(cmd.Env[len(cmd.Env)-1], "=")
	return path
}

// TestInvalidConfiguration ends the program with exit code 1 and one line that names the field.
func TestInvalidConfiguration(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "nowhere", "127.0.0.1:1"))
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("exited with %v, want exit code 1", err)
	}
	text := stderr.String()
	if strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("standard error: %q", text)
	}
}
