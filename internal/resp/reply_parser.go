package resp

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// ErrMalformedReply reports bytes that are neither a reply nor the beginning of one.
var ErrMalformedReply = errors.New("malformed reply")

var lineEnd = []byte("\r\n")

// replyParser finds the end of a reply in a stream of bytes. It remembers its position in an incomplete reply, so
// that its work is proportional to the size of the reply, in however many pieces it arrives. The zero value is ready
// for use.
type replyParser struct {
	parsed  int   // bytes of complete elements and of headers of arrays
	needed  int   // size of the reply up to the end of the bulk string that is being received; 0 if there is none
	skipped bool  // an element was skipped that has not been counted
	pending []int // elements that are missing of each array that has begun, the innermost last
}

// next returns the size of the reply at the beginning of b. The size is 0 as long as b contains no complete reply; b
// must then contain the same bytes, followed by further ones, at the next call.
func (p *replyParser) next(b []byte) (size int, err error) {
	if p.skipped {
		p.skipped = false
		if p.closeElement() {
			return 0, ErrMalformedReply // only values are so long, and they are elements of an array
		}
	}
	for {
		opened, complete, err := p.parseElement(b)
		if err != nil {
			return 0, err
		}
		if !complete {
			return 0, nil
		}
		if !opened && p.closeElement() {
			size = p.parsed
			*p = replyParser{pending: p.pending}
			return size, nil
		}
	}
}

// closeElement counts a complete element, and each array that it completes. It reports whether the reply is complete.
func (p *replyParser) closeElement() bool {
	for len(p.pending) > 0 {
		innermost := len(p.pending) - 1
		p.pending[innermost]--
		if p.pending[innermost] > 0 {
			return false
		}
		p.pending = p.pending[:innermost]
	}
	return true
}

// parseElement parses the next element, or the header of an array. opened reports whether the elements of an array
// follow. complete is false if more bytes are needed.
func (p *replyParser) parseElement(b []byte) (opened, complete bool, err error) {
	rest := b[p.parsed:]
	if len(rest) == 0 {
		return false, false, nil
	}
	line, err := completeLine(rest)
	if err != nil || line == nil {
		return false, false, err
	}
	switch redcon.Type(line[0]) {
	case redcon.Integer:
		if _, err := strconv.ParseInt(string(line[1:]), 10, 64); err != nil {
			return false, false, ErrMalformedReply
		}
	case redcon.Bulk:
		return p.parseBulk(b, line)
	case redcon.Array:
		return p.parseArrayHeader(line)
	}
	p.parsed += len(line) + len(lineEnd)
	return false, true, nil
}

// completeLine returns the first line of b without its end, or nil if its end has not been received.
func completeLine(b []byte) ([]byte, error) {
	switch redcon.Type(b[0]) {
	case redcon.Bulk, redcon.Array, redcon.String, redcon.Error, redcon.Integer:
	default:
		return nil, ErrMalformedReply
	}
	end := bytes.IndexByte(b[:min(len(b), MaxLineLength+len(lineEnd))], '\n')
	switch {
	case end < 0 && len(b) > MaxLineLength, end > 0 && b[end-1] != '\r':
		return nil, ErrMalformedReply
	case end < 0:
		return nil, nil
	}
	return b[:end-1], nil
}

// parseBulk parses a bulk string whose header is the given line.
func (p *replyParser) parseBulk(b, line []byte) (opened, complete bool, err error) {
	length, err := strconv.Atoi(string(line[1:]))
	if err != nil || length > MaxValueSize {
		return false, false, ErrMalformedReply
	}
	end := p.parsed + len(line) + len(lineEnd)
	if length < 0 { // null
		p.parsed = end
		return false, true, nil
	}
	end += length
	p.needed = end + len(lineEnd)
	switch {
	case p.needed > maxReplySize:
		return false, false, ErrMalformedReply
	case len(b) < p.needed:
		return false, false, nil
	case !bytes.HasPrefix(b[end:], lineEnd):
		return false, false, ErrMalformedReply
	}
	p.parsed, p.needed = p.needed, 0
	return false, true, nil
}

// bulkSkipped records that the caller skips the rest of the bulk string that is being received, and drops what it has
// received of the reply. The next bytes follow the bulk string.
func (p *replyParser) bulkSkipped() {
	p.parsed, p.needed = 0, 0
	p.skipped = true
}

// parseArrayHeader parses the header of an array, which is the given line.
func (p *replyParser) parseArrayHeader(line []byte) (opened, complete bool, err error) {
	length, err := strconv.Atoi(string(line[1:]))
	if err != nil || length > maxArrayElements || len(p.pending) >= maxNesting {
		return false, false, ErrMalformedReply
	}
	p.parsed += len(line) + len(lineEnd)
	if length <= 0 {
		return false, true, nil
	}
	p.pending = append(p.pending, length)
	return true, true, nil
}
