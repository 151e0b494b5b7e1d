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
	logQueueSize    = 256                   // lines queued for the log writer before further lines are dropped
	logFlushTimeout = 50 * time.Millisecond // maximum wait for the last lines to be written when the router ends

	// Rate limit of lines about faults of single requests and connections: one fault may cause thousands.
	faultLinesPerSecond = 10
	faultLineBurst      = 100
)

// logQueue is an io.Writer that queues log lines for the log writer. It drops lines while the queue is full, so
// that a log that nobody reads does not block the router.
type logQueue struct {
	lines   chan []byte
	dropped atomic.Int64 // number of dropped lines
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

// writeUntil writes the queued lines until done is closed, and then the lines that are still queued.
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
	_, _ = log.Writer().Write(line) // there is nowhere to report that the log can't be written
}

// eventLogger is the router's log. Any goroutine may use it.
type eventLogger struct {
	*slog.Logger
	queue        *logQueue
	level        *slog.LevelVar
	faultLimiter *rate.Limiter // limits the lines about faults
	suppressed   atomic.Int64  // number of lines suppressed by faultLimiter
	written      chan struct{} // closed when the last line has been written
}

func newEventLogger() *eventLogger {
	queue, level := newLogQueue(), &slog.LevelVar{}
	return &eventLogger{
		Logger:       slog.New(slog.NewTextHandler(queue, &slog.HandlerOptions{Level: level})),
		queue:        queue,
		level:        level,
		faultLimiter: rate.NewLimiter(faultLinesPerSecond, faultLineBurst),
		written:      make(chan struct{}),
	}
}

// logFault logs a fault of a peer or of the machine that concerns a single request or connection, subject to the
// rate limit.
func (l *eventLogger) logFault(message string, attributes ...any) {
	if !l.faultLimiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	l.Warn(message, attributes...)
}

// debugEnabled reports whether lines at debug level are logged. Callers on the path of each request check it
// before they compute the attributes of a line.
func (l *eventLogger) debugEnabled() bool { return l.Enabled(context.Background(), slog.LevelDebug) }

// run writes the queued lines until done is closed.
func (l *eventLogger) run(done <-chan struct{}) {
	defer close(l.written)
	l.queue.writeUntil(done)
}

// awaitWritten waits until the last lines are written, for at most logFlushTimeout.
func (l *eventLogger) awaitWritten() {
	select {
	case <-l.written:
	case <-time.After(logFlushTimeout):
	}
}
