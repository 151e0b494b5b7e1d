package router

import (
	"log"
	"testing"

	"marlstage/policy"
)

// blockedWriter blocks writes until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestBlockedLogDoesNotBlockEventLoop checks that the event loop does not wait for a log that blocks.
func TestBlockedLogDoesNotBlockEventLoop(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	writer := blockedWriter{make(chan struct{})}
	defer log.SetOutput(log.Writer())
	defer close(writer.release)
	log.SetOutput(writer)
	harness.do(func() {
		for range 4 * logQueueSize {
			harness.loop.perform(policy.Log{Text: "line"})
		}
	})
}
