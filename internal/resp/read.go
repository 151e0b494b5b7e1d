package resp

import (
	"errors"
	"fmt"
	"io"

	"github.com/tidwall/redcon"

	"marlstage/policy"
)

// ErrNoMemory reports that a MemoryBudget does not have the memory for a reply.
var ErrNoMemory = errors.New("no memory for a reply")

// MemoryBudget counts the memory of the buffers of a ReplyReader beyond the initial one.
type MemoryBudget interface {
	// Acquire acquires a number of bytes. It may wait until they are available. If it returns an error, none have
	// been acquired. After ErrNoMemory the reader skips the rest of the bulk string that it needs the memory for; any
	// other error it returns.
	Acquire(bytes int) error
	// Release releases a number of bytes.
	Release(bytes int)
}

// ReplyReader reads replies from a connection.
type ReplyReader struct {
	source io.Reader
	memory MemoryBudget
	buf    []byte // bytes received and not yet returned
	parser replyParser
	skip   int  // bytes that follow buf and are not kept
	lost   bool // part of the reply was not kept
}

// NewReplyReader returns a reader of the replies in source. Its buffer grows beyond its initial size of 1 KiB only by
// memory that it has acquired from the budget.
func NewReplyReader(source io.Reader, memory MemoryBudget) *ReplyReader {
	return &ReplyReader{source: source, memory: memory}
}

// Buffered returns the number of bytes that were received after the last reply.
func (r *ReplyReader) Buffered() int { return len(r.buf) }

// Next reads one reply. If the reply holds memory of the budget (Reply.Memory), that is the caller's to release. The
// error is ErrMalformedReply, or that of the source or of the budget. After an error the reader must be closed.
func (r *ReplyReader) Next() (*Reply, error) {
	for {
		size, err := r.parser.next(r.buf)
		if err != nil {
			return nil, err
		}
		if size > 0 {
			return r.take(size)
		}
		if len(r.buf) >= maxReplySize {
			return nil, ErrMalformedReply
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads further bytes.
func (r *ReplyReader) fill() error {
	if r.skip > 0 {
		return r.skipBytes()
	}
	err := r.grow()
	if errors.Is(err, ErrNoMemory) && r.parser.needed > 0 {
		r.skipBulk()
		return nil
	}
	if err != nil {
		return err
	}
	n, err := r.source.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	return err
}

// skipBulk begins to skip the rest of the bulk string that is being received.
func (r *ReplyReader) skipBulk() {
	r.skip = r.parser.needed - len(r.buf)
	r.lost = true
	r.replaceBuffer(nil)
	r.parser.bulkSkipped()
}

// skipBytes reads bytes that are not kept.
func (r *ReplyReader) skipBytes() error {
	if r.buf == nil {
		r.buf = make([]byte, 0, initialBufferSize)
	}
	n, err := r.source.Read(r.buf[:min(r.skip, cap(r.buf))])
	r.skip -= n
	return err
}

// Close releases the memory of the reader's buffer.
func (r *ReplyReader) Close() { r.replaceBuffer(nil) }

// grow enlarges a full buffer: to twice its size, but to no more than is needed up to the end of a bulk string.
func (r *ReplyReader) grow() error {
	if len(r.buf) < cap(r.buf) {
		return nil
	}
	size := max(initialBufferSize, min(2*cap(r.buf), maxReplySize))
	if needed := r.parser.needed; needed > cap(r.buf) {
		size = min(size, needed)
	}
	if size > initialBufferSize {
		if err := r.memory.Acquire(size - reservedSize(r.buf)); err != nil {
			return err
		}
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return nil
}

// reservedSize returns the size of a buffer that the budget counts. It does not count a buffer of the initial size.
func reservedSize(buf []byte) int {
	if cap(buf) <= initialBufferSize {
		return 0
	}
	return cap(buf)
}

// take removes a reply of the given size from the buffer and interprets it. A large buffer becomes that of the
// reply's value.
func (r *ReplyReader) take(size int) (*Reply, error) {
	reply, err := r.parse(size)
	if err != nil {
		return nil, err
	}
	rest := r.buf[size:]
	if len(rest) > initialBufferSize {
		return nil, ErrMalformedReply // no request is outstanding for so much
	}
	if reply.Value != nil && reservedSize(r.buf) > 0 {
		reply.Memory = cap(r.buf)
		r.buf = append(make([]byte, 0, initialBufferSize), rest...)
		return reply, nil
	}
	reply.Value = clone(reply.Value)
	r.replaceBuffer(rest)
	return reply, nil
}

// parse interprets a reply of the given size. One of which part was not kept counts as served, as the cache has carried
// out the request, but the client gets FailedReply.
func (r *ReplyReader) parse(size int) (*Reply, error) {
	if r.lost {
		r.lost = false
		return &Reply{Result: policy.Served, Value: []byte(FailedReply), Lost: true, Load: unknownLoad()}, nil
	}
	n, raw := redcon.ReadNextRESP(r.buf[:size])
	if n != size {
		return nil, ErrMalformedReply
	}
	return parseReply(raw), nil
}

// replaceBuffer replaces the buffer by one of the initial size with the given content, which may be part of the
// buffer. Without content, the next read allocates one.
func (r *ReplyReader) replaceBuffer(content []byte) {
	old := reservedSize(r.buf)
	r.buf = nil
	if len(content) > 0 {
		r.buf = append(make([]byte, 0, initialBufferSize), content...)
	}
	if old > 0 {
		r.memory.Release(old)
	}
}

// clone returns a copy without spare capacity. It returns nil for nil.
func clone(b []byte) []byte {
	if b == nil {
		return nil
	}
	return append(make([]byte, 0, len(b)), b...)
}

// unlimitedMemory is a MemoryBudget without a limit.
type unlimitedMemory struct{}

func (unlimitedMemory) Acquire(int) error { return nil }

func (unlimitedMemory) Release(int) {}

// ReadReply reads one reply from buf and then from r, without a limit on memory. buf contains the bytes that have
// already been read; rest contains the bytes received after the reply.
func ReadReply(r io.Reader, buf []byte) (reply *Reply, rest []byte, err error) {
	reader := NewReplyReader(r, unlimitedMemory{})
	reader.buf = buf
	reply, err = reader.Next()
	if err != nil {
		return nil, nil, err
	}
	return reply, reader.buf, nil
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
