package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marlstage/internal/scaletest"
)

// fakeRouterEnv is the environment variable that makes the test binary run as a fake router. Its value
// selects what the fake router does after the first PING.
const (
	fakeRouterEnv  = "SCALETEST_FAKE_ROUTER"
	fakeExits      = "exit"      // exit with an error
	fakeInterrupts = "interrupt" // send SIGINT to the program that has started it
)

const runTimeout = 60 * time.Second

// The paths of the programs that TestMain builds.
var scaletestProgram, routerProgram string

func TestMain(m *testing.M) {
	if behavior := os.Getenv(fakeRouterEnv); behavior != "" {
		runFakeRouter(behavior)
	}
	dir, err := os.MkdirTemp("", "scaletest")
	if err == nil {
		err = buildPrograms(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "clean up:", err)
	}
	os.Exit(code)
}

func buildPrograms(dir string) error {
	scaletestProgram = filepath.Join(dir, "scaletest")
	routerProgram = filepath.Join(dir, "cacherouter")
	out, err := exec.Command("go", "build", "-o", dir, ".", "../cacherouter").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	return nil
}

// runFakeRouter answers the first PING and then does what behavior selects. It does not return.
func runFakeRouter(behavior string) {
	if err := answerPing(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if behavior == fakeExits {
		fmt.Fprintln(os.Stderr, "fake router exits")
		os.Exit(3)
	}
	if err := syscall.Kill(os.Getppid(), syscall.SIGINT); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	select {}
}

func answerPing() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "msg=serving addr=%s\n", listener.Addr())
	nc, err := listener.Accept()
	if err != nil {
		return err
	}
	if _, err := nc.Read(make([]byte, 100)); err != nil {
		return err
	}
	_, err = fmt.Fprint(nc, "+PONG\r\n")
	return err
}

// runProgram runs the program until it exits and checks that it leaves no process behind.
func runProgram(t *testing.T, fakeRouter string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	mark := "SCALETEST_TEST=" + t.TempDir()
	cmd := exec.Command(scaletestProgram, args...)
	cmd.Env = append(os.Environ(), mark, fakeRouterEnv+"="+fakeRouter)
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(runTimeout, func() {
		_ = cmd.Process.Kill() // fails only if the program has exited
	})
	defer kill.Stop()
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	checkNoProcessLeft(t, mark)
	return cmd.ProcessState.ExitCode(), out.String(), log.String()
}

// checkNoProcessLeft checks that no process has the mark in its environment.
func checkNoProcessLeft(t *testing.T, mark string) {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if env, err := os.ReadFile(path); err == nil && bytes.Contains(env, []byte(mark+"\x00")) {
			t.Errorf("process left behind: %s", path)
		}
	}
}

// TestShortRun checks the table and the results of a short sweep.
func TestShortRun(t *testing.T) {
	results := filepath.Join(t.TempDir(), "results")
	code, table, log := runProgram(t, "", "--sweep", "4x8,6x8,8x8", "--hollow", "6", "--working", "2", "--open", "2", "--rate", "50",
		"--warm", "200ms", "--window", "500ms", "--outage", "100ms", "--restart-every", "100ms", "--router", routerProgram, "-o", results)
	if code != 0 || log != "" {
		t.Fatalf("exit code %d, standard error %q", code, log)
	}
	for _, want := range []string{"4 caches, 8 routers", "8 caches, 8 routers", "not measured: ", "control of a router, bytes", "slopes"} {
		if !strings.Contains(table, want) {
			t.Errorf("the table lacks %q:\n%s", want, table)
		}
	}
	file, err := os.Open(results)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	decoder := json.NewDecoder(file)
	for _, caches := range []int{4, 6, 8} {
		var result scaletest.Result
		if err := decoder.Decode(&result); err != nil {
			t.Fatal(err)
		}
		checkResult(t, &result, caches)
	}
}

// checkResult checks the result of a point of TestShortRun.
func checkResult(t *testing.T, r *scaletest.Result, caches int) {
	t.Helper()
	if r.CacheServers != caches || r.Routers != 8 || r.RequestRate != 400 {
		t.Errorf("point %+v", r)
	}
	probes, connections := r.Value("router noprobe", "probes"), r.Value("router idle", "connections")
	if probes != 0 || connections != 0 {
		t.Errorf("%d caches: %v health checks while they are disabled, %v connections without clients", caches, probes, connections)
	}
	// A watch that began before the window may be answered within it, so there may be one reply more than
	// calls. The other .01 absorbs rounding errors.
	lines, calls := r.Value("router idle", "list lines")*r.WindowSeconds, r.Value("router idle", "watch calls")*r.WindowSeconds
	if lines > (calls+1.01)*float64(caches) {
		t.Errorf("%d caches: %v lines in %v calls", caches, lines, calls)
	}
	if failures := r.Value("stand-ins", "messages to opened caches that went wrong"); failures != 0 {
		t.Errorf("%d caches: %v failed messages per second", caches, failures)
	}
}

// TestRouterExit checks that a run fails when a router exits, and prints the end of the router's log.
func TestRouterExit(t *testing.T) {
	code, _, log := runProgram(t, fakeExits, "--caches", "2", "--routers", "2", "--rate", "1", "--window", "1m", "--router", os.Args[0])
	if code != 1 || !strings.Contains(log, "fake router exits") {
		t.Errorf("exit code %d, standard error %q", code, log)
	}
}

// TestInterrupt checks that SIGINT ends a run with exit code 1 and leaves no process behind.
func TestInterrupt(t *testing.T) {
	code, _, log := runProgram(t, fakeInterrupts, "--caches", "2", "--routers", "2", "--rate", "1", "--window", "1m", "--router", os.Args[0])
	if code != 1 || !strings.Contains(log, "interrupt") {
		t.Errorf("exit code %d, standard error %q", code, log)
	}
}

// TestUsageErrors checks that invalid command lines give exit code 2 and one line on standard error.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{"--nonsense"}, {"--caches", "0", "--routers", "5"}, {"--caches", "-5", "--routers", "5"},
		{"--caches", "2001", "--routers", "5"}, {"--caches", "5"}, {"--caches", "5", "--routers", "100001"}, {"--caches", "x"},
		{"--sweep", "5"}, {"--sweep", ""}, {"--sweep", "5x5,"}, {"--sweep", "5x5", "--caches", "5"}, {"--sweep", "5x5", "extra"}, {"--rate", "0"}, {"--rate", "NaN"},
		{"--open", "0"}, {"--working", "-1"}, {"--window", "0s"}, {"--restart-every", "-1s"}, {"--open", "2000", "--routers", "100000", "--caches", "2000"},
		{"--sweep", "5x5", "--router", "/bin/true", "-o", "/nowhere/results"}} {
		code, stdout, log := runProgram(t, "", args...)
		if code != 2 || strings.Count(log, "\n") != 1 || stdout != "" {
			t.Errorf("%v: exit code %d, standard error %q, standard output %q", args, code, log, stdout)
		}
	}
}
