package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"marlstage/policy"
)

// TestUnusualLengthsAreNotServed guards against accepting an array as the reply to a served request although its
// lengths are not written as RESP specifies. redcon accepts a sign, leading zeros and any negative length.
func TestUnusualLengthsAreNotServed(t *testing.T) {
	for _, wire := range []string{
		"*+3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
		"*03\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
		"*3\r\n$+5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
		"*3\r\n$05\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n",
		"*3\r\n$-0\r\n\r\n$3\r\nhit\r\n$-1\r\n",
		"*3\r\n$-2\r\n$3\r\nhit\r\n$-1\r\n",
		"*3\r\n$5\r\nvalue\r\n$+3\r\nhit\r\n$-1\r\n",
		"*3\r\n$5\r\nvalue\r\n$-7\r\n$-1\r\n",
		"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-2\r\n",
		"*-1\r\n",
		"*-3\r\n",
		"$5\r\nvalue\r\n",
		"$-1\r\n",
	} {
		reply, _, err := ReadReply(iotest.OneByteReader(strings.NewReader(wire)), nil)
		if err == nil && reply.Result != policy.ServerError {
			t.Errorf("%q: %+v", wire, reply)
		}
	}
}

// TestDeeplyNestedReply guards against a faulty server that occupies the router with an endless nested array.
// A reply is malformed as soon as its nesting exceeds the limit.
func TestDeeplyNestedReply(t *testing.T) {
	nested := strings.NewReader(strings.Repeat("*1\r\n", maxReplySize/4))
	if _, _, err := ReadReply(iotest.OneByteReader(nested), nil); !errors.Is(err, ErrMalformedReply) {
		t.Errorf("error %v", err)
	}
	if read := nested.Size() - int64(nested.Len()); read > minReadSize {
		t.Errorf("%d bytes of the reply were read", read)
	}
	if _, _, err := ReadReply(strings.NewReader("*2\r\n*1\r\n*1\r\n"), nil); !errors.Is(err, io.EOF) {
		t.Errorf("a truncated reply: error %v", err)
	}
}
