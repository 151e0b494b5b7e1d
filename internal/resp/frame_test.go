package resp

import (
	"errors"
	"strings"
	"testing"
)

// TestMinMissingSizeEndsAtCommand cuts commands at every position. It checks that reading no more than
// MinMissingSize bytes at a time ends exactly at the end of the command.
func TestMinMissingSizeEndsAtCommand(t *testing.T) {
	for name, command := range map[string]string{
		"get":         string(AppendCommand(nil, VerbGet, "key", "id", "c=read,d=1000")),
		"set":         string(AppendCommand(nil, VerbSet, "key", "id", "c=put,d=1000", strings.Repeat("v", 12_000))),
		"empty value": string(AppendCommand(nil, VerbSet, "key", "id", "c=put,d=1000", "")),
		"ping":        string(AppendCommand(nil, VerbPing)),
		"inline":      "PING\r\n",
		"12 elements": "*12\r\n" + strings.Repeat("$1\r\na\r\n", 12),
	} {
		for cut := 1; cut < len(command); cut++ {
			received := cut
			var parser CommandParser
			for reads := 0; received < len(command); reads++ {
				if args, size, err := parser.Next([]byte(command[:received])); size > 0 || err != nil {
					t.Fatalf("%s, %d bytes: %q of %d bytes, %v", name, received, args, size, err)
				}
				missing := parser.MinMissingSize([]byte(command[:received]))
				if missing < 1 || received+missing > len(command) {
					t.Fatalf("%s: got %d missing bytes after %d of %d", name, missing, received, len(command))
				}
				if reads > 100 {
					t.Fatalf("%s: more than %d reads", name, reads)
				}
				received += missing
			}
			if args, size, err := parser.Next([]byte(command)); size != len(command) || err != nil {
				t.Fatalf("%s: %q of %d bytes, %v", name, args, size, err)
			}
		}
	}
}

// TestMinMissingSizeOfInvalidInput checks that the result stays small for bytes that are not a valid command,
// also where computing it from their lengths would overflow.
func TestMinMissingSizeOfInvalidInput(t *testing.T) {
	for _, b := range []string{
		"*", "*x\r\n", "*2\r\nfoo", "*1\r\n$-1\r\n", "*99999999999999999999\r\n", "\r", "$",
		"*4611686018427387904\r\n", "*9223372036854775807\r\n$1", "*1\r\n$4611686018427387904\r\nx",
		"*1\r\n$9223372036854775807\r\nx",
	} {
		var parser CommandParser
		_, _, _ = parser.Next([]byte(b)) // most are refused
		if got := parser.MinMissingSize([]byte(b)); got < 1 || got > 2*minBulkSize {
			t.Errorf("%q: %d", b, got)
		}
	}
}

// TestCommandParserRefusesAtTheHeader checks that commands beyond a limit are refused as soon as their headers have
// been received, before a client can make the router hold the rest.
func TestCommandParserRefusesAtTheHeader(t *testing.T) {
	const size = MaxCommandSize
	for wire, want := range map[string]error{
		"*65\r\n":                             ErrTooManyArguments,
		"*20000\r\n":                          ErrTooManyArguments,
		"*-1\r\n":                             ErrInvalidLength,
		"*0000000000000001":                   ErrInvalidLength,
		"*1\r\n+":                             ErrNotABulkString,
		"*1\r\n$1\r\nabc":                     ErrInvalidLineEnd,
		"*1\r\n$69632\r\n":                    ErrCommandTooBig,
		"*2\r\n$69613\r\n":                    ErrCommandTooBig,
		strings.Repeat("a ", maxInlineSize/2): ErrCommandTooBig,
		strings.Repeat("a", maxInlineSize) + "\n":                    ErrCommandTooBig,
		strings.Repeat("a ", maxArguments+1) + "\r\n":                ErrTooManyArguments,
		"*64\r\n" + strings.Repeat("$1\r\na\r\n", 63) + "$69200\r\n": ErrCommandTooBig,
	} {
		var parser CommandParser
		if _, _, err := parser.Next([]byte(wire)); !errors.Is(err, want) {
			t.Errorf("%.40q: error %v, want %v", wire, err, want)
		}
	}
	largest := "*1\r\n$69618\r\n" // with its line end, the command has the largest size
	if got := len(largest) + 69618 + len(lineEnd); got != size {
		t.Fatalf("the largest command has %d bytes", got)
	}
	var parser CommandParser
	if _, _, err := parser.Next([]byte(largest)); err != nil {
		t.Errorf("the largest command: %v", err)
	}
}

// TestCommandParserWorkGrowsWithTheBytes checks that a command that arrives byte by byte allocates no more than its
// arguments. It guards against parsing again from the first byte after each read, whose work and memory grow with the
// square of the size.
func TestCommandParserWorkGrowsWithTheBytes(t *testing.T) {
	for name, wire := range map[string]string{
		"many arguments": "*64\r\n" + strings.Repeat("$1\r\na\r\n", 63),
		"inline":         strings.Repeat("a ", maxInlineSize/2-1),
		"long value":     "*2\r\n$1\r\na\r\n$60000\r\n" + strings.Repeat("v", 60_000),
	} {
		b := []byte(wire)
		var parser CommandParser
		allocations := testing.AllocsPerRun(1, func() {
			parser.reset()
			for received := 1; received <= len(b); received++ {
				if _, size, err := parser.Next(b[:received]); size > 0 || err != nil {
					t.Fatalf("%s, %d bytes: size %d, %v", name, received, size, err)
				}
			}
		})
		if allocations > maxArguments {
			t.Errorf("%s: %v allocations for %d bytes", name, allocations, len(b))
		}
	}
}
