package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"marlstage/policy"
)

const servedReply = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"

func TestReadReply(t *testing.T) {
	for _, c := range []struct {
		wire string
		want Reply
	}{
		{servedReply, Reply{Result: policy.Served, Value: []byte("$5\r\nvalue\r\n"), Load: unknownLoad()}},
		{"*3\r\n$1\r\nv\r\n$7\r\npending\r\n$8\r\nutil=0.5\r\n",
			Reply{Result: policy.Served, Value: []byte("$1\r\nv\r\n"), Miss: true, Load: policy.LoadReport{Utilization: 0.5}}},
		{"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n", Reply{Result: policy.ServerError, Load: unknownLoad()}},
		{"*2\r\n$5\r\nvalue\r\n$3\r\nhit\r\n", Reply{Result: policy.ServerError, Load: unknownLoad()}},
		{"-BUSY full util=1\r\n", Reply{Result: policy.Rejected, Load: policy.LoadReport{Utilization: 1}}},
		{"-BUSYBODY\r\n", Reply{Result: policy.ServerError, Load: unknownLoad()}},
		{"-ERR failed\r\n", Reply{Result: policy.ServerError, Load: unknownLoad()}},
		{"+PONG\r\n", Reply{Result: policy.ServerError, Pong: true, Load: unknownLoad()}},
		{"$8\r\nutil=0.5\r\n", Reply{Result: policy.ServerError, Load: policy.LoadReport{Utilization: 0.5}}},
	} {
		got, rest, err := ReadReply(iotest.OneByteReader(strings.NewReader(c.wire)), nil)
		if err != nil || len(rest) > 0 {
			t.Errorf("%q: error %v, rest %q", c.wire, err, rest)
			continue
		}
		equal := got.Result == c.want.Result && string(got.Value) == string(c.want.Value) && got.Miss == c.want.Miss &&
			got.Pong == c.want.Pong && got.Load == c.want.Load
		if !equal {
			t.Errorf("%q: %+v, want %+v", c.wire, got, c.want)
		}
	}
}

func TestReadReplyReturnsWhatFollows(t *testing.T) {
	_, rest, err := ReadReply(strings.NewReader("PONG\r\ntrailing"), []byte("+"))
	if err != nil || string(rest) != "trailing" {
		t.Errorf("error %v, rest %q", err, rest)
	}
}

func TestReadReplyErrors(t *testing.T) {
	for name, c := range map[string]struct {
		wire string
		want error
	}{
		"empty":                      {"", io.EOF},
		"incomplete":                 {servedReply[:len(servedReply)-1], io.EOF},
		"incomplete line":            {"-ERR fai", io.EOF},
		"incomplete nested array":    {"*2\r\n+a\r\n*2\r\n$1\r\nb\r\n", io.EOF},
		"unknown type":               {"garbage", ErrMalformedReply},
		"unknown type in an array":   {"*2\r\n$1\r\na\r\n!", ErrMalformedReply},
		"negative length":            {"*1\r\n*-1", io.EOF},
		"length out of range":        {"$9223372036854775807\r\n", ErrMalformedReply},
		"array length out of range":  {"*9223372036854775807\r\n", ErrMalformedReply},
		"not a length":               {"*1\r\n$x\r\n", ErrMalformedReply},
		"too many elements":          {"*17\r\n", ErrMalformedReply},
		"largest array":              {"*16\r\n", io.EOF},
		"wrong end of a bulk string": {"$3\r\nabcdef\r\n", ErrMalformedReply},
		"not an integer":             {":x\r\n", ErrMalformedReply},
		"longest line":               {"+" + strings.Repeat("x", MaxLineLength-1), io.EOF},
		"line too long":              {"+" + strings.Repeat("x", MaxLineLength), ErrMalformedReply},
		"header too long":            {"$" + strings.Repeat("1", MaxLineLength), ErrMalformedReply},
		"reply too large":            {"*2\r\n$65536\r\n" + strings.Repeat("v", MaxValueSize) + "\r\n$65536\r\n" + strings.Repeat("v", MaxValueSize), ErrMalformedReply},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := ReadReply(strings.NewReader(c.wire), nil); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestReadRaw(t *testing.T) {
	raw, err := ReadRaw(iotest.OneByteReader(strings.NewReader(servedReply)), make([]byte, len(servedReply)))
	if err != nil || string(raw.Raw) != servedReply {
		t.Errorf("%q, error %v", raw.Raw, err)
	}
	if _, err := ReadRaw(strings.NewReader("+PON"), make([]byte, 10)); !errors.Is(err, io.EOF) {
		t.Errorf("an incomplete reply: error %v", err)
	}
	var tooLarge *ReplySizeError
	if _, err := ReadRaw(strings.NewReader(servedReply), make([]byte, 10)); !errors.As(err, &tooLarge) || tooLarge.Limit != 10 {
		t.Errorf("a reply larger than the buffer: error %v", err)
	}
}
