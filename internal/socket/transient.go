package socket

import (
	"errors"
	"syscall"
	"time"
)

const (
	minTransientBackoff = time.Millisecond
	maxTransientBackoff = 20 * time.Millisecond
	transientTimeout    = 5 * time.Second // after which a transient error is taken for a lasting one
)

// isTransient reports whether a read or write failed for want of memory or by a signal, which says
// nothing about the connection.
func isTransient(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EINTR)
}

// transientBackoff waits between the repetitions of a call that fails with transient errors. The zero
// value is ready for use.
type transientBackoff struct {
	delay time.Duration
	until time.Time // set at the first error
}

// wait reports whether the call is to be repeated, after a wait.
func (b *transientBackoff) wait(err error) bool {
	if !isTransient(err) {
		return false
	}
	now := time.Now()
	if b.until.IsZero() {
		b.until = now.Add(transientTimeout)
	}
	if now.After(b.until) {
		return false
	}
	b.delay = min(max(2*b.delay, minTransientBackoff), maxTransientBackoff)
	time.Sleep(b.delay)
	return true
}
