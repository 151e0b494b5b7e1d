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

const (
	fakeEnv  = "SCALETEST_FAKE_ROUTER" // how the test's own program ends where it stands in for the router
	patience = 60 * time.Second
)

var bin, router string // the programs, as built

func TestMain(m *testing.M) {
	if how := os.Getenv(fakeEnv); how != "" {
		fakeRouter(how)
	}
	dir, err := os.MkdirTemp("", "scaletest")
	if err == nil {
		bin, router = filepath.Join(dir, "scaletest"), filepath.Join(dir, "cacherouter")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir, ".", "../cacherouter").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w\n%s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fakeRouter answers the first PING. Then it ends, or interrupts the program that has started it.
func fakeRouter(how string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Fprintln(os.Stderr, "serving on", ln.Addr())
	nc, err := ln.Accept()
	if err != nil {
		os.Exit(1)
	}
	nc.Read(make([]byte, 100))
	fmt.Fprint(nc, "+PONG\r\n")
	if how == "die" {
		fmt.Fprintln(os.Stderr, "last words")
		os.Exit(3)
	}
	syscall.Kill(os.Getppid(), syscall.SIGINT)
	select {}
}

// start runs the program to its end. It must leave none of its processes behind.
func start(t *testing.T, fake string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	mark := "SCALETEST_TEST=" + t.TempDir()
	cmd := exec.Command(bin, args...)
	cmd.Env = append(os.Environ(), mark, fakeEnv+"="+fake)
	var out, log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(patience, func() { cmd.Process.Kill() })
	defer kill.Stop()
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	left, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range left {
		if env, err := os.ReadFile(path); err == nil && bytes.Contains(env, []byte(mark+"\x00")) {
			t.Errorf("left behind: %s", path)
		}
	}
	return cmd.ProcessState.ExitCode(), out.String(), log.String()
}

func TestShortRun(t *testing.T) {
	results := filepath.Join(t.TempDir(), "results")
	code, table, log := start(t, "", "--sweep", "4x8,6x8,8x8", "--hollow", "6", "--working", "2", "--open", "2", "--rate", "50",
		"--warm", "200ms", "--window", "500ms", "--outage", "100ms", "--restart-every", "100ms", "--router", router, "-o", results)
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
	defer file.Close()
	dec := json.NewDecoder(file)
	for _, caches := range []int{4, 6, 8} {
		var r scaletest.Result
		if err := dec.Decode(&r); err != nil {
			t.Fatal(err)
		}
		if r.Caches != caches || r.Routers != 8 || r.Rate != 400 {
			t.Errorf("point %+v", r)
		}
		if p, c := r.Value("router noprobe", "probes"), r.Value("router idle", "connections"); p != 0 || c != 0 {
			t.Errorf("%d caches: %v probes where none may be, %v connections without clients", caches, p, c)
		}
		// A watch that began before the window may be answered within.
		l, c := r.Value("router idle", "list lines")*r.Seconds, r.Value("router idle", "watch calls")*r.Seconds
		if l > (c+1.01)*float64(caches) {
			t.Errorf("%d caches: %v lines in %v calls", caches, l, c)
		}
		if w := r.Value("stand-ins", "messages to opened caches that went wrong"); w != 0 {
			t.Errorf("%d caches: %v messages a second went wrong", caches, w)
		}
	}
}

func TestRouterThatDies(t *testing.T) {
	code, _, log := start(t, "die", "--caches", "2", "--routers", "2", "--rate", "1", "--window", "1m", "--router", os.Args[0])
	if code != 1 || !strings.Contains(log, "last words") {
		t.Errorf("exit code %d, standard error %q", code, log)
	}
}

func TestInterrupt(t *testing.T) {
	code, _, log := start(t, "interrupt", "--caches", "2", "--routers", "2", "--rate", "1", "--window", "1m", "--router", os.Args[0])
	if code != 1 || !strings.Contains(log, "interrupt") {
		t.Errorf("exit code %d, standard error %q", code, log)
	}
}

func TestBadInput(t *testing.T) {
	for _, args := range [][]string{{"--nonsense"}, {"--caches", "0", "--routers", "5"}, {"--caches", "-5", "--routers", "5"},
		{"--caches", "2001", "--routers", "5"}, {"--caches", "5"}, {"--caches", "5", "--routers", "100001"}, {"--caches", "x"},
		{"--sweep", "5"}, {"--sweep", ""}, {"--sweep", "5x5,"}, {"--sweep", "5x5", "--caches", "5"}, {"--sweep", "5x5", "extra"}, {"--rate", "0"}, {"--rate", "NaN"},
		{"--open", "0"}, {"--working", "-1"}, {"--window", "0s"}, {"--restart-every", "-1s"}, {"--open", "2000", "--routers", "100000", "--caches", "2000"},
		{"--sweep", "5x5", "--router", "/bin/true", "-o", "/nowhere/results"}} {
		code, stdout, log := start(t, "", args...)
		if code != 2 || strings.Count(log, "\n") != 1 || stdout != "" {
			t.Errorf("%v: exit code %d, standard error %q, standard output %q", args, code, log, stdout)
		}
	}
}
