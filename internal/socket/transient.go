package socket

import (
	"errors"
	"syscall"
	"time"
)

const (
	minTransientBackoff = time.Millisecond
	maxTransientBackoff = 20 * time.Millisecond
	transientTimeout    = 5 * time.Second // after this, a transient error is treated as permanent
)

// IsTransient reports whether a system call failed for lack of memory or because of a signal. Such an
// error does not mean that the connection is broken.
func IsTransient(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EINTR)
}

// transientBackoff schedules the retries of a call that fails with transient errors. The zero value is
// ready for use.
type transientBackoff struct {
	delay time.Duration
	until time.Time // when to stop retrying; set at the first error
}

// wait reports whether to retry a call that returned err. Before it returns true, it waits for the
// backoff delay.
func (b *transientBackoff) wait(err error) bool {
	if !IsTransient(err) {
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
