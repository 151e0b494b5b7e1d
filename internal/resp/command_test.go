package resp

import (
	"errors"
	"strings"
	"testing"

	"marlstage/policy"
)

func arguments(words ...string) [][]byte {
	var args [][]byte
	for _, word := range words {
		args = append(args, []byte(word))
	}
	return args
}

func TestParseCommand(t *testing.T) {
	c, err := ParseCommand(arguments("c.set", "key", "id", "x,c=put,t=acme,d=250,k=5c0f,h=12", "value"), 100)
	if err != nil {
		t.Fatal(err)
	}
	if !c.Write || c.Class != "put" || c.Tenant != "acme" || c.Timeout != 250_000 || c.Cost != 12 || !c.HasIdempotencyKey {
		t.Errorf("%+v", c)
	}
	if c.Size != 100 || c.KeyHash != 0x3dc94a19365b10ec {
		t.Errorf("size %d, hash of the key %#x", c.Size, c.KeyHash)
	}
}

func TestParseCommandErrors(t *testing.T) {
	long := strings.Repeat("x", MaxArgumentSize+1)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"C.GET"}, "wrong number of arguments for C.GET"},
		{[]string{"c.set", "k", "id", "c=put,d=10"}, "wrong number of arguments for c.set"},
		{[]string{"C.GET", "", "id", "c=read,d=10"}, "an argument is empty or too long"},
		{[]string{"C.GET", long, "id", "c=read,d=10"}, "an argument is empty or too long"},
		{[]string{"C.SET", "k", "id", "c=put,d=10", strings.Repeat("v", MaxValueSize+1)}, "the value is too long"},
		{[]string{"C.GET", "k", "id", "c=read,d=x"}, "d is not a number of milliseconds"},
		{[]string{"C.GET", "k", "id", "c=read,d=-1"}, "d is not a number of milliseconds"},
		{[]string{"C.GET", "k", "id", "c=read,d=2147483648"}, "d is not a number of milliseconds"},
		{[]string{"C.GET", "k", "id", "c=read,d=1,d=2"}, "d is not a number of milliseconds"},
		{[]string{"C.GET", "k", "id", "c=read"}, "c and d are needed"},
		{[]string{"C.GET", "k", "id", "d=10"}, "c and d are needed"},
	} {
		if _, err := ParseCommand(arguments(c.args...), 100); err == nil || err.Error() != c.want {
			t.Errorf("%.80q: error %v, want %q", c.args, err, c.want)
		}
	}
}

// TestEncode checks that only the timeout is replaced, and that it is rounded down to at least 1 ms.
func TestEncode(t *testing.T) {
	c, err := ParseCommand(arguments("C.SET", "key", "id", "c=put,d=20000,size=12", "\x00\r\nVALUE"), 100)
	if err != nil {
		t.Fatal(err)
	}
	for timeout, digits := range map[policy.Time]string{-1: "1", 0: "1", 999: "1", 2999: "2", 1_500_000: "1500"} {
		want := string(AppendCommand(nil, "C.SET", "key", "id", "c=put,d="+digits+",size=12", "\x00\r\nVALUE"))
		if got := string(c.Encode(timeout)); got != want {
			t.Errorf("%d us: %q, want %q", timeout, got, want)
		}
	}
}

func TestNextCommand(t *testing.T) {
	for _, c := range []struct {
		wire string
		args string // joined by spaces
		size int
	}{
		{"", "", 0},
		{"*2\r\n$5\r\nC.GET\r\n", "", 0},
		{"*1\r\n$4\r\nPING\r\n*1\r\n", "PING", 14},
		{"PING\r\nPING\r\n", "PING", 6},
		{"\r\n", "", 2},
		{"*0\r\nPING", "", 4},
	} {
		args, size, err := NextCommand([]byte(c.wire))
		var words []string
		for _, arg := range args {
			words = append(words, string(arg))
		}
		if got := strings.Join(words, " "); got != c.args || size != c.size || err != nil {
			t.Errorf("%q: %q of %d bytes, error %v", c.wire, got, size, err)
		}
	}
}

func TestNextCommandErrors(t *testing.T) {
	for wire, want := range map[string]error{
		"*1\r\n$-2\r\n":                  ErrInvalidLength,
		"*1\r\n$9223372036854775807\r\n": ErrInvalidLength,
		"$4 PING\r\n":                    ErrNotAnArray,
		"$4 PI":                          ErrNotAnArray,
	} {
		if args, size, err := NextCommand([]byte(wire)); !errors.Is(err, want) || args != nil || size != 0 {
			t.Errorf("%q: %q of %d bytes, error %v, want %v", wire, args, size, err, want)
		}
	}
}
