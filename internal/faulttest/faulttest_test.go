package faulttest

import (
	"bufio"
	"strings"
	"testing"
)

// TestReadAnswer checks that ReadAnswer accepts complete answers only.
func TestReadAnswer(t *testing.T) {
	for wire, want := range map[string]string{"$3\r\nabc\r\n": "abc", "-BUSY 5\r\n": "-BUSY 5", "+PONG\r\n": "+PONG"} {
		got, size, err := ReadAnswer(bufio.NewReader(strings.NewReader(wire + "more")))
		if got != want || size != len(wire) || err != nil {
			t.Errorf("%q: %q of %d bytes, %v", wire, got, size, err)
		}
		for cut := range wire {
			if got, _, err := ReadAnswer(bufio.NewReader(strings.NewReader(wire[:cut]))); err == nil {
				t.Errorf("%q: read as %q", wire[:cut], got)
			}
		}
	}
	for _, wire := range []string{"$-1\r\n", "*1\r\n", "value\r\n"} {
		if got, _, err := ReadAnswer(bufio.NewReader(strings.NewReader(wire))); err == nil {
			t.Errorf("%q: read as %q", wire, got)
		}
	}
}
