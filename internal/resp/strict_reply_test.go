package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"marlstage/policy"
)

// TestUnusualLengthsAreNotServed checks that an array with lengths in other forms than RESP has them
// is not taken for a reply that serves a request.
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

// TestDeeplyNestedReply checks that a reply is malformed as soon as it nests arrays deeper than any
// reply does, so that a faulty server can't take the router's time with an endless one.
func TestDeeplyNestedReply(t *testing.T) {
	nested := strings.NewReader(strings.Repeat("*1\r\n", maxReplySize/4))
	if _, _, err := ReadReply(iotest.OneByteReader(nested), nil); !errors.Is(err, ErrMalformedReply) {
		t.Errorf("error %v", err)
	}
	if read := nested.Size() - int64(nested.Len()); read > minReadSize {
		t.Errorf("%d bytes were read of it", read)
	}
	if _, _, err := ReadReply(strings.NewReader("*2\r\n*1\r\n*1\r\n"), nil); !errors.Is(err, io.EOF) {
		t.Errorf("a reply that is cut off: error %v", err)
	}
}
