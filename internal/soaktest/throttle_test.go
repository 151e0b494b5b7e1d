package soaktest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

const (
	throttleInterval = 2 * time.Millisecond // between readings of the CPU time that a process has used
	throttleBurst    = 2 * time.Millisecond // most CPU time that an idle process accumulates
)

// throttle limits a process to a share of a core by stopping and continuing it, until done is closed. The process
// then runs without a limit.
func throttle(process int, share float64, done <-chan struct{}) {
	defer func() { _ = syscall.Kill(process, syscall.SIGCONT) }() // the process may have exited
	ticker := time.NewTicker(throttleInterval)
	defer ticker.Stop()
	used, last := processorTime(process), time.Now()
	budget := time.Duration(0)
	for stopped := false; ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now, nowUsed := time.Now(), processorTime(process)
		budget += time.Duration(share*float64(now.Sub(last))) - (nowUsed - used)
		budget = min(budget, throttleBurst)
		used, last = nowUsed, now
		if stop := budget < 0; stop != stopped {
			stopped = stop
			signal := syscall.SIGCONT
			if stop {
				signal = syscall.SIGSTOP
			}
			_ = syscall.Kill(process, signal) // the process may have exited
		}
	}
}

// processorTime returns the CPU time that all threads of a process have used, according to the scheduler
// (schedstat of proc(5)).
func processorTime(process int) time.Duration {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process)) // the pattern is valid
	total := time.Duration(0)
	for _, thread := range threads {
		raw, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := bytes.Cut(raw, []byte(" "))
		if nanoseconds, err := strconv.ParseInt(string(first), 10, 64); err == nil {
			total += time.Duration(nanoseconds)
		}
	}
	return total
}

// TestThrottle checks that a busy process gets no more than twice its share, and some CPU time.
func TestThrottle(t *testing.T) {
	const (
		share    = 0.1
		busyTime = time.Second
	)
	busy, err := os.StartProcess("/bin/sh", []string{"sh", "-c", "while :; do :; done"}, &os.ProcAttr{
		Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = busy.Kill()
		_, _ = busy.Wait()
	}()
	done := make(chan struct{})
	before := processorTime(busy.Pid)
	time.AfterFunc(busyTime, func() { close(done) })
	throttle(busy.Pid, share, done)
	if used := processorTime(busy.Pid) - before; used > 2*time.Duration(share*float64(busyTime)) || used == 0 {
		t.Errorf("used %v of processor time in %v at a share of %v", used, busyTime, share)
	}
}
