package resp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/redcon"
)

// ErrMalformedReply reports bytes that are neither a reply nor the beginning of one.
var ErrMalformedReply = errors.New("malformed reply")

// ReadReply reads one reply from buf and then from r. buf contains the bytes that have already been
// read; rest contains the bytes received after the reply.
func ReadReply(r io.Reader, buf []byte) (reply *Reply, rest []byte, err error) {
	for {
		raw, size, err := nextReply(buf)
		if err != nil {
			return nil, nil, err
		}
		if size > 0 {
			return parseReply(raw), append([]byte(nil), buf[size:]...), nil
		}
		if len(buf) >= maxReplySize {
			return nil, nil, ErrMalformedReply
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, max(minReadSize, 2*cap(buf))), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return nil, nil, err
		}
		buf = buf[:len(buf)+n]
	}
}

// nextReply decodes the first reply in b and returns its size. The size is 0 as long as b contains no
// complete reply.
func nextReply(b []byte) (raw redcon.RESP, size int, err error) {
	defer func() {
		// redcon panics on lengths that are out of range. A faulty server must not be able to
		// terminate the process that way.
		if recover() != nil {
			raw, size, err = redcon.RESP{}, 0, ErrMalformedReply
		}
	}()
	size, raw = redcon.ReadNextRESP(b)
	if size > 0 || len(b) == 0 {
		return raw, size, nil
	}
	// redcon does not distinguish malformed replies from incomplete ones. Without this check the
	// reader would wait for the rest of a malformed reply.
	return redcon.RESP{}, 0, checkIncomplete(b)
}

var lineEnd = []byte("\r\n")

// checkIncomplete returns ErrMalformedReply unless b, which contains no complete reply, may be the
// beginning of one. It checks the first incomplete element.
func checkIncomplete(b []byte) error {
	nesting := 0
	for elements := 1; elements > 0 && len(b) > 0; elements-- {
		if size, _ := redcon.ReadNextRESP(b); size > 0 {
			b = b[size:]
			continue
		}
		kind := redcon.Type(b[0])
		header, body, complete := bytes.Cut(b, lineEnd)
		if !complete {
			return checkIncompleteLine(kind, header)
		}
		length, err := parseLength(kind, header)
		if err != nil {
			return err
		}
		if kind == redcon.Bulk {
			return checkIncompleteBulk(body, length)
		}
		nesting++
		if length > maxArrayElements || nesting > maxNesting {
			return ErrMalformedReply
		}
		elements = length + 1 // the loop subtracts 1 for the array itself
		b = body
	}
	return nil
}

// checkIncompleteLine checks a line whose end has not been received.
func checkIncompleteLine(kind redcon.Type, line []byte) error {
	switch kind {
	case redcon.Bulk, redcon.Array, redcon.String, redcon.Error, redcon.Integer:
	default:
		return ErrMalformedReply
	}
	if len(line) > MaxLineLength {
		return ErrMalformedReply
	}
	return nil
}

// parseLength parses the length in the header of a bulk string or an array. Elements of all other types
// consist of one line only. If redcon did not decode such an element although its line is complete, the
// element is malformed.
func parseLength(kind redcon.Type, header []byte) (int, error) {
	if kind != redcon.Bulk && kind != redcon.Array {
		return 0, ErrMalformedReply
	}
	length, err := strconv.Atoi(string(header[1:]))
	if err != nil || length < 0 || length > MaxValueSize {
		return 0, ErrMalformedReply
	}
	return length, nil
}

// checkIncompleteBulk checks the body of a bulk string that redcon did not decode.
func checkIncompleteBulk(body []byte, length int) error {
	if len(body) >= length+len(lineEnd) {
		return ErrMalformedReply // the body is complete, so its line end is wrong
	}
	return nil
}

// ReplySizeError reports a reply that does not fit into the reader's buffer.
type ReplySizeError struct {
	Limit int // in bytes
}

func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("reply exceeds the limit of %d bytes", e.Limit)
}

// ReadRaw reads one reply into buf without interpreting it. At most one reply may be outstanding,
// because bytes received after the reply are discarded. ReadRaw does not detect malformed replies; it
// treats them as incomplete.
func ReadRaw(r io.Reader, buf []byte) (redcon.RESP, error) {
	for n := 0; ; {
		m, err := r.Read(buf[n:])
		n += m
		if m > 0 {
			if size, raw := redcon.ReadNextRESP(buf[:n]); size > 0 {
				return raw, nil
			}
		}
		if err != nil {
			return redcon.RESP{}, err
		}
		if n == len(buf) {
			return redcon.RESP{}, &ReplySizeError{Limit: n}
		}
	}
}
