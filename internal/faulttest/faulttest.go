// Package faulttest contains helpers of the tests that check a router under fault injection: reading answers
// on a client's connection, and detecting stalls of the test process itself.
package faulttest

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	stallInterval = 5 * time.Millisecond  // between readings of the clock
	minStall      = 30 * time.Millisecond // shortest gap between two readings that counts as a stall
)

// ErrNoAnswer reports data that is not an answer of a router: neither a bulk string of a valid length nor a line
// that begins with + or -.
var ErrNoAnswer = errors.New("neither a bulk string nor a line")

// ReadAnswer reads one answer of a router. It returns the content of a bulk string, or a status or error line
// without its line ending, and the size of the answer on the wire in bytes. The error is ErrNoAnswer or that
// of the reader.
func ReadAnswer(reader *bufio.Reader) (answer string, size int, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", 0, err
	}
	content, ok := strings.CutPrefix(line, "$")
	if !ok {
		if !strings.HasPrefix(line, "-") && !strings.HasPrefix(line, "+") {
			return "", 0, ErrNoAnswer
		}
		return strings.TrimSuffix(line, "\r\n"), len(line), nil
	}
	length, err := strconv.Atoi(strings.TrimSuffix(content, "\r\n"))
	if err != nil || length < 0 {
		return "", 0, ErrNoAnswer
	}
	bulk := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(reader, bulk); err != nil {
		return "", 0, err
	}
	return string(bulk[:length]), len(line) + len(bulk), nil
}

// ToldTimeout returns the timeout in the options of a command that a cache received, or -1 if there is none.
func ToldTimeout(options string) time.Duration {
	for option := range strings.SplitSeq(options, ",") {
		if value, ok := strings.CutPrefix(option, "d="); ok {
			milliseconds, err := strconv.Atoi(value)
			if err == nil {
				return time.Duration(milliseconds) * time.Millisecond
			}
		}
	}
	return -1
}

// WatchStalls calls note with the length of each interval in which the process did not run, until done is
// closed.
func WatchStalls(done <-chan struct{}, note func(time.Duration)) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if gap := now.Sub(last); gap > minStall {
			note(gap)
		}
		last = now
	}
}
