package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// killOnCleanup kills the program at the end of the test, or after testTimeout if it hangs.
func killOnCleanup(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	kill := func() { _ = cmd.Process.Kill() } // fails only if the program has ended
	watchdog := time.AfterFunc(testTimeout, kill)
	t.Cleanup(func() {
		watchdog.Stop()
		kill()
	})
}

func closeFile(t *testing.T, file *os.File) {
	t.Helper()
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestSIGTERMWhileStarting checks that a SIGTERM while the program reads its configuration ends it
// without an error, as a later one does.
func TestSIGTERMWhileStarting(t *testing.T) {
	cmd := newCommand(t, "")
	fifo := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+fifo)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killOnCleanup(t, cmd)
	config, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns when the program has opened the file for reading
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(config, configFormat, "127.0.0.1:0", "127.0.0.1:1"); err != nil {
		t.Error(err)
	}
	closeFile(t, config)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// TestRepeatedSIGTERMUntilExit checks that repeated SIGTERMs until the program has exited do not change its exit
// code. A handler that was removed before the exit would let a late signal kill the program.
func TestRepeatedSIGTERMUntilExit(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	startServing(t, cmd)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for cmd.Process.Signal(syscall.SIGTERM) == nil {
	}
	if err := <-ended; err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

// TestLogReaderExits checks that the program keeps serving when the reader of its log exits. By default, a write
// to the closed pipe would kill it with SIGPIPE.
func TestLogReaderExits(t *testing.T) {
	cmd := newCommand(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1"))
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = logWriter
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killOnCleanup(t, cmd)
	closeFile(t, logWriter)
	line, err := bufio.NewReader(logReader).ReadString('\n')
	_, addr, ok := strings.Cut(strings.TrimSpace(line), servingMessage)
	if !ok {
		t.Fatalf("the program logged %q, %v", line, err)
	}
	closeFile(t, logReader)
	if err := os.WriteFile(configPath(cmd), []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil { // logs that the configuration is invalid
		t.Fatal(err)
	}
	ping(t, addr)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil { // logs that the drain starts
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}
