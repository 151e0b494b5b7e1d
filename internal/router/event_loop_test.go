package router

import (
	"log"
	"testing"

	"marlstage/policy"
)

// blockedWriter takes nothing until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestBlockedLogDoesNotBlockEventLoop does not hold the loop up.
func TestBlockedLogDoesNotBlockEventLoop(t *testing.T) {
	harness := newLoopHarness(t, "127.0.0.1:1", nil)
	stuck := blockedWriter{make(chan struct{})}
	defer log.SetOutput(log.Writer())
	defer close(stuck.release)
	log.SetOutput(stuck)
	harness.do(func() {
		for range 4 * logQueueSize {
			harness.loop.perform(policy.Log{Text: "line"})
		}
	})
}
