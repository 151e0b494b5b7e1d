package scaletest

// This file keeps the last lines of a process's log.

import (
	"bytes"
	"strings"
	"sync"
)

// maxTailLines is the number of lines that a logTail keeps.
const maxTailLines = 10

// logTail is an io.Writer that keeps the last lines that were written to it.
type logTail struct {
	onLine func(line string) // if set, called with each line

	mu      sync.Mutex // guards the fields below
	lines   []string
	partial []byte // the last line, if it is incomplete
}

// Write implements io.Writer. A line may be split over several calls. It never fails.
func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partial = append(t.partial, b...)
	for {
		line, rest, complete := bytes.Cut(t.partial, []byte("\n"))
		if !complete {
			return len(b), nil
		}
		t.partial = rest
		t.lines = append(t.lines, string(line))
		t.lines = t.lines[max(0, len(t.lines)-maxTailLines):]
		if t.onLine != nil {
			t.onLine(string(line))
		}
	}
}

// String returns the kept lines.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "\n")
}
