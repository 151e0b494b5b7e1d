package scaletest

// This file keeps the end of the log of a process.

import (
	"bytes"
	"strings"
	"sync"
)

// maxTailLines is how many lines of a process's log are kept.
const maxTailLines = 10

// logTail keeps the last lines that were written.
type logTail struct {
	onLine func(line string) // if set, called with each line

	mu      sync.Mutex // guards what follows
	lines   []string
	partial []byte // the line that has not ended
}

// Write takes lines in pieces of any length. It never fails.
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

// String is the lines that are kept.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "\n")
}
