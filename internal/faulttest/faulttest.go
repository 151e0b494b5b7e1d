// Package faulttest holds what the tests share that judge a router under faults: reading a client's
// side of the wire, and allowing for times in which the machine holds up the test itself.
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
	stallInterval = 5 * time.Millisecond  // between looks at the clock
	minStall      = 30 * time.Millisecond // between two looks that counts
)

// ErrNoAnswer reports data that is not an answer of a router: neither a bulk string of a valid length nor a line
// that begins with + or -.
var ErrNoAnswer = errors.New("neither a bulk string nor a line")

// ReadAnswer reads one answer of a router. It returns the answer, a bulk string without its frame, and
// its size in bytes on the wire. It fails with ErrNoAnswer or an error of the reader.
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

// ToldTimeout returns the timeout among the options of a command that reached a cache; -1 if there is
// none.
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

// WatchStalls calls note with each time in which the machine has kept the process from running, until
// done is closed.
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
