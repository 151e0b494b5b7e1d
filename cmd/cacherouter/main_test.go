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

// testTimeout bounds each wait for an expected event. Only a failing test reaches it.
const testTimeout = 30 * time.Second

// Log messages that the tests wait for.
const (
	servingMessage      = "msg=serving addr=" // followed by the address
	reloadFailedMessage = "configuration is not reloaded"
	movedMessage        = "discovery moves"
)

// configFormat is a configuration; its arguments are the listen address and the discovery address.
const configFormat = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[
  {"name":"c1","address":"127.0.0.1:1","zone":"a","group":1,"status":"in_service","weight":1,"since_ms":0}]},
 "settings":{"instances":1,"discovery":"automatic","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":500000,"hardLimit":1000000,"worth":1}],"limits":{"maxAttempts":1},"rules":{"drainGrace":1000000}}}`

// newCommand builds the program and returns a command that runs it with the given configuration.
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

// startServing starts the program, waits until it serves, and returns its address and the rest of its log.
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

// terminate sends SIGTERM, waits until the program exits, and fails the test unless the exit code is 0.
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

// TestServeUntilSIGTERM checks that the program serves clients and exits without an error on SIGTERM.
func TestServeUntilSIGTERM(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := startServing(t, cmd)
	ping(t, addr)
	terminate(t, cmd, log)
}

// awaitReload waits until the program has logged the outcome of a SIGHUP.
func awaitReload(t *testing.T, log *bufio.Reader) {
	t.Helper()
	for {
		line, err := log.ReadString('\n')
		if err != nil {
			t.Fatalf("the program exited: %v", err)
		}
		if strings.Contains(line, reloadFailedMessage) || strings.Contains(line, movedMessage) {
			return
		}
	}
}

// TestSIGHUPMovesDiscovery checks that on SIGHUP an invalid file changes nothing, a valid file moves the
// router to the discovery service in it, and the program survives both.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	calls := make(chan struct{}, 100)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer newDiscovery.Close()
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := startServing(t, cmd)
	for _, discovery := range []string{"nowhere", newDiscovery.Listener.Addr().String()} {
		if err := os.WriteFile(configPath(cmd), fmt.Appendf(nil, configFormat, "127.0.0.1:0", discovery), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		awaitReload(t, log) // the file must not change again until it has been read
	}
	select {
	case <-calls:
	case <-time.After(testTimeout):
		t.Error("the discovery service at the new address was not called")
	}
	ping(t, addr)
	terminate(t, cmd, log)
}

// TestSIGHUPBeforeFileIsComplete checks that a file which is incomplete when the SIGHUP arrives is read
// again without another signal. This happens when the file is written without an atomic rename.
func TestSIGHUPBeforeFileIsComplete(t *testing.T) {
	calls := make(chan struct{}, 100)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer newDiscovery.Close()
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	_, log := startServing(t, cmd)
	complete := fmt.Appendf(nil, configFormat, "127.0.0.1:0", newDiscovery.Listener.Addr().String())
	if err := os.WriteFile(configPath(cmd), complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitReload(t, log) // the incomplete file has been read
	if err := os.WriteFile(configPath(cmd), complete, 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-calls:
	case <-time.After(testTimeout):
		t.Error("the discovery service at the new address was not called")
	}
	terminate(t, cmd, log)
}

// TestSignalsDuringShutdown checks that signals which arrive while the program drains do not change its
// exit code.
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

// configPath returns the path of the configuration file that newCommand wrote.
func configPath(cmd *exec.Cmd) string {
	_, path, _ := strings.Cut(cmd.Env[len(cmd.Env)-1], "=")
	return path
}

// TestInvalidConfiguration checks that an invalid configuration ends the program with exit code 1 and one
// line on standard error that names the field.
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
