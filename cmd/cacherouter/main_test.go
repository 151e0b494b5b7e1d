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

const patience = 30 * time.Second

const configFormat = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":{"index":1,"snapshot":true,"endpoints":[
  {"name":"c1","address":"127.0.0.1:1","zone":"a","group":1,"status":"in_service","weight":1,"since_ms":0}]},
 "settings":{"instances":1,"discovery":"automatic","categories":[{"name":"read","effect":"read_like","dedupScope":"all",
  "aim":500000,"hardLimit":1000000,"worth":1}],"limits":{"maxAttempts":1},"rules":{"drainGrace":1000000}}}`

// program builds the router and prepares a start with the given configuration.
func program(t *testing.T, config string) *exec.Cmd {
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

// serving starts a program and returns its address and its log once it serves.
func serving(t *testing.T, cmd *exec.Cmd) (addr string, log *bufio.Reader) {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(patience, func() { cmd.Process.Kill() }) // a program that hangs must not hang the test
	t.Cleanup(func() { kill.Stop(); cmd.Process.Kill() })
	log = bufio.NewReader(stderr)
	line, err := log.ReadString('\n')
	_, addr, ok := strings.Cut(strings.TrimSpace(line), "serving on ")
	if !ok {
		t.Fatalf("the program said %q, %v", line, err)
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
	nc.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(nc, "*1\r\n$4\r\nPING\r\n")
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("PING: %q, %v", line, err)
	}
}

// terminate sends SIGTERM and waits for a good end.
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

func TestStartServeAndEnd(t *testing.T) {
	cmd := program(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := serving(t, cmd)
	ping(t, addr)
	terminate(t, cmd, log)
}

// TestHangupMovesDiscovery: SIGHUP ends nothing, a bad file changes nothing, and a good one has
// the router ask at the address that it names.
func TestHangupMovesDiscovery(t *testing.T) {
	called := make(chan struct{}, 100)
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		called <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer moved.Close()
	cmd := program(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := serving(t, cmd)
	for _, discovery := range []string{"nowhere", moved.Listener.Addr().String()} {
		if err := os.WriteFile(configPath(cmd), fmt.Appendf(nil, configFormat, "127.0.0.1:0", discovery), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for { // the file must not change again before it was read
			line, err := log.ReadString('\n')
			if err != nil {
				t.Fatalf("the program ended: %v", err)
			}
			if strings.Contains(line, "SIGHUP: ") || strings.Contains(line, "moves to") {
				break
			}
		}
	}
	select {
	case <-called:
	case <-time.After(patience):
		t.Error("nobody called at the new address")
	}
	ping(t, addr)
	terminate(t, cmd, log)
}

// TestSignalsThatCross: signals that come while the router ends change nothing about its end.
func TestSignalsThatCross(t *testing.T) {
	cmd := program(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	addr, log := serving(t, cmd)
	ping(t, addr)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	terminate(t, cmd, log)
}

func configPath(cmd *exec.Cmd) string {
	_, path, _ := strings.Cut(cmd.Env[len(cmd.Env)-1], "=")
	return path
}

func TestBadConfigurationEndsWithOneLine(t *testing.T) {
	cmd := program(t, fmt.Sprintf(configFormat, "nowhere", "127.0.0.1:1"))
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want exit code 1", err)
	}
	text := stderr.String()
	if strings.Count(text, "\n") != 1 || !strings.Contains(text, "listen") {
		t.Errorf("standard error: %q", text)
	}
}
