package router

import (
	"errors"
	"io"
	"syscall"
)

// sequencedReader reads from a connection's socket. With the first bytes of a reply it notes how many
// attempts had been begun by then.
type sequencedReader struct {
	conn     *upstreamConn
	raw      syscall.RawConn
	sequence uint32 // 0 until the first bytes of a reply have arrived
}

// Read implements io.Reader.
func (r *sequencedReader) Read(b []byte) (n int, err error) {
	waitErr := r.raw.Read(func(fd uintptr) (done bool) {
		n, err = r.readNow(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads what has arrived without waiting. The read and the note of it are one step for
// beginAttempt.
func (r *sequencedReader) readNow(fd int, b []byte) (n int, err error) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	err = retryInterrupted(func() error {
		n, err = syscall.Read(fd, b)
		return err
	})
	if n > 0 && r.sequence == 0 {
		r.sequence = r.conn.sequence.Load()
		r.conn.replyBegun.Store(true)
	}
	return n, err
}

// tryWrite writes what the socket takes without waiting.
func (c *upstreamConn) tryWrite(b []byte) (n int, err error) {
	waitErr := c.raw.Write(func(fd uintptr) (done bool) {
		err = retryInterrupted(func() error {
			n, err = syscall.Write(int(fd), b)
			return err
		})
		return true
	})
	if errors.Is(err, syscall.EAGAIN) {
		return 0, nil
	}
	return max(n, 0), errors.Join(waitErr, err)
}

// isSilent reports whether neither bytes nor the end of the connection have arrived since the last
// reply.
func (c *upstreamConn) isSilent() bool {
	if c.replyBegun.Load() {
		return false
	}
	silent := false
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && silent
}

// retryInterrupted repeats a system call that a signal has interrupted.
func retryInterrupted(call func() error) error {
	for {
		err := call()
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
