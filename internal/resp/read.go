package resp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/redcon"
)

// ErrMalformedReply reports bytes that are no reply and can't become one.
var ErrMalformedReply = errors.New("malformed reply")

// ReadReply reads one reply. buf holds what has been read before; rest is what arrived behind the
// reply.
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

// nextReply splits the first reply off b. The size is 0 while b holds no complete reply.
func nextReply(b []byte) (raw redcon.RESP, size int, err error) {
	defer func() {
		// The codec panics on lengths that are out of range; a faulty server must not end the
		// process.
		if recover() != nil {
			raw, size, err = redcon.RESP{}, 0, ErrMalformedReply
		}
	}()
	size, raw = redcon.ReadNextRESP(b)
	if size > 0 || len(b) == 0 {
		return raw, size, nil
	}
	// The codec doesn't tell what is malformed from what is incomplete; without this check the
	// reader would wait for the rest of a malformed reply.
	return redcon.RESP{}, 0, checkIncomplete(b)
}

var lineEnd = []byte("\r\n")

// checkIncomplete returns ErrMalformedReply unless b, which holds no complete reply, may be the
// beginning of one. It looks at the first element that is not complete.
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
		elements = length + 1 // the array itself included
		b = body
	}
	return nil
}

// checkIncompleteLine checks a line whose end has not arrived.
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

// parseLength reads the length in the header of a bulk string or an array. The header of any other
// element is all of it, so a complete one that the codec didn't take is malformed.
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

// checkIncompleteBulk checks the body of a bulk string that the codec didn't take.
func checkIncompleteBulk(body []byte, length int) error {
	if len(body) >= length+len(lineEnd) {
		return ErrMalformedReply // nothing is missing, so its end is wrong
	}
	return nil
}

// ReplySizeError reports a reply that doesn't fit the reader's buffer.
type ReplySizeError struct {
	Limit int // in bytes
}

func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("an answer of more than %d bytes", e.Limit)
}

// ReadRaw reads one reply into buf without interpreting it. At most one reply may be outstanding:
// what arrives behind the reply is lost. A malformed reply is taken for an incomplete one.
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
