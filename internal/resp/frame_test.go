package resp

import (
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
			for reads := 0; received < len(command); reads++ {
				if args, size, err := NextCommand([]byte(command[:received])); size > 0 || err != nil {
					t.Fatalf("%s, %d bytes: %q of %d bytes, %v", name, received, args, size, err)
				}
				missing := MinMissingSize([]byte(command[:received]))
				if missing < 1 || received+missing > len(command) {
					t.Fatalf("%s: got %d missing bytes after %d of %d", name, missing, received, len(command))
				}
				if reads > 100 {
					t.Fatalf("%s: more than %d reads", name, reads)
				}
				received += missing
			}
			if args, size, err := NextCommand([]byte(command)); size != len(command) || err != nil {
				t.Fatalf("%s: %q of %d bytes, %v", name, args, size, err)
			}
		}
	}
}

// TestMinMissingSizeOfInvalidInput checks that the result stays small for bytes that are not a valid command, also where
// computing it from their lengths would overflow.
func TestMinMissingSizeOfInvalidInput(t *testing.T) {
	for _, b := range []string{
		"*", "*x\r\n", "*2\r\nfoo", "*1\r\n$-1\r\n", "*99999999999999999999\r\n", "\r", "$",
		"*4611686018427387904\r\n", "*9223372036854775807\r\n$1", "*1\r\n$4611686018427387904\r\nx",
		"*1\r\n$9223372036854775807\r\nx",
	} {
		if got := MinMissingSize([]byte(b)); got < 1 || got > 2*minBulkSize {
			t.Errorf("%q: %d", b, got)
		}
	}
}
