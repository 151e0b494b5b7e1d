package soaktest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

const (
	memoryWatchInterval = 20 * time.Millisecond // between readings of a process's peak memory
	peakMemoryField     = "VmHWM:"              // of /proc/PID/status, in KB; see proc(5)
	kilobytesPerMB      = 1 << 10
)

// memoryWatch reads the peak resident memory of a process until the process ends. The operators kill a router whose
// memory exceeds the limit in its configuration.
type memoryWatch struct {
	limitMB int
	peakKB  atomic.Int64
	done    chan struct{} // closed to end the watch
	ended   chan struct{} // closed when it has ended
}

func newMemoryWatch(limitMB int) *memoryWatch {
	return &memoryWatch{limitMB: limitMB, done: make(chan struct{}), ended: make(chan struct{})}
}

// start begins to watch a process.
func (w *memoryWatch) start(process int) {
	go func() {
		defer close(w.ended)
		ticker := time.NewTicker(memoryWatchInterval)
		defer ticker.Stop()
		for {
			// The peak never falls, so the last reading is the largest. It is 0 once the process has ended.
			w.peakKB.Store(max(w.peakKB.Load(), peakMemoryKB(process)))
			select {
			case <-w.done:
				return
			case <-ticker.C:
			}
		}
	}()
}

// stop ends the watch after a last reading.
func (w *memoryWatch) stop() {
	close(w.done)
	<-w.ended
}

// peakMB returns the peak memory so far in MB.
func (w *memoryWatch) peakMB() float64 { return float64(w.peakKB.Load()) / kilobytesPerMB }

// wantWithinLimit checks that the process has stayed within its memory limit. It logs the peak only in a verbose run, as
// each line that a test has logged before it fails looks like a failure to .ci/known-red.
func (w *memoryWatch) wantWithinLimit(t *testing.T, name string) {
	t.Helper()
	if testing.Verbose() {
		t.Logf("router %s: peak memory %.1f of %d MB", name, w.peakMB(), w.limitMB)
	}
	if err := w.check(); err != nil {
		t.Errorf("router %s: %v", name, err)
	}
}

// check returns an error if the process has exceeded its memory limit, or if its memory could not be read.
func (w *memoryWatch) check() error {
	switch peak := w.peakKB.Load(); {
	case peak == 0:
		return fmt.Errorf("its peak memory is not known")
	case peak > int64(w.limitMB)*kilobytesPerMB:
		return fmt.Errorf("peak memory %.1f MB exceeds the limit of %d MB", w.peakMB(), w.limitMB)
	default:
		return nil
	}
}

// peakMemoryKB returns the peak resident memory of a process in KB, or 0 if there is no such process.
func peakMemoryKB(process int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(status, []byte(peakMemoryField))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0 // a process that has ended has no memory
	}
	peak, err := strconv.ParseInt(string(fields[0]), 10, 64)
	if err != nil {
		return 0
	}
	return peak
}

// TestMemoryWatchReportsExcess checks that the watch reports a process over its limit, and one that it could not read.
func TestMemoryWatchReportsExcess(t *testing.T) {
	for limit, want := range map[int]bool{0: true, 1 << 20: false} {
		w := newMemoryWatch(limit)
		w.start(os.Getpid())
		w.stop()
		if err := w.check(); (err != nil) != want {
			t.Errorf("limit %d MB: %v", limit, err)
		}
	}
	if newMemoryWatch(1).check() == nil {
		t.Error("a process that was not watched passed the check")
	}
}
