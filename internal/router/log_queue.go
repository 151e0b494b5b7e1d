package router

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	logQueueSize = 256                   // lines that wait for the log writer before further ones are dropped
	logFlushTime = 50 * time.Millisecond // for the last lines to be written when the router ends

	// Of lines about single requests and connections, which a fault may cause by the thousand.
	faultLinesPerSecond = 10
	faultLineBurst      = 100
)

// logQueue takes log lines for the log writer. It implements io.Writer and drops lines if too many
// wait: a log that nobody reads must not block the router.
type logQueue struct {
	lines   chan []byte
	dropped atomic.Int64 // lines that were not written
}

func newLogQueue() *logQueue { return &logQueue{lines: make(chan []byte, logQueueSize)} }

// Write implements io.Writer. It never fails and does not block.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// writeUntil writes the queued lines until done is closed, and then those that are left.
func (q *logQueue) writeUntil(done <-chan struct{}) {
	for {
		select {
		case line := <-q.lines:
			writeLogLine(line)
			continue
		case <-done:
		}
		for len(q.lines) > 0 {
			writeLogLine(<-q.lines)
		}
		return
	}
}

func writeLogLine(line []byte) {
	_, _ = log.Writer().Write(line) // nowhere is left to report that the log can't be written
}

// eventLogger logs what happens in the router. Any goroutine may use it.
type eventLogger struct {
	*slog.Logger
	queue      *logQueue
	level      *slog.LevelVar
	faultLines *rate.Limiter
	suppressed atomic.Int64 // lines about faults that the limiter held back
	written    chan struct{}
}

func newEventLogger() *eventLogger {
	queue, level := newLogQueue(), &slog.LevelVar{}
	return &eventLogger{
		Logger:     slog.New(slog.NewTextHandler(queue, &slog.HandlerOptions{Level: level})),
		queue:      queue,
		level:      level,
		faultLines: rate.NewLimiter(faultLinesPerSecond, faultLineBurst),
		written:    make(chan struct{}),
	}
}

// fault logs a fault of a peer, or of the machine, that concerns a single request or connection.
func (l *eventLogger) fault(message string, attributes ...any) {
	if !l.faultLines.Allow() {
		l.suppressed.Add(1)
		return
	}
	l.Warn(message, attributes...)
}

// debugs reports whether lines for debugging are logged. Callers on the path of each request ask
// before they put a line together.
func (l *eventLogger) debugs() bool { return l.Enabled(context.Background(), slog.LevelDebug) }

// run writes the lines until done is closed.
func (l *eventLogger) run(done <-chan struct{}) {
	defer close(l.written)
	l.queue.writeUntil(done)
}

// awaitWritten waits until the last lines are written, for a short time only.
func (l *eventLogger) awaitWritten() {
	select {
	case <-l.written:
	case <-time.After(logFlushTime):
	}
}
