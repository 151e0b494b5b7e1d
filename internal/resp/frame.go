package resp

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// Errors in the framing of a command. The bytes that follow can no longer be split into commands. The
// texts of the errors are sent to the client.
var (
	ErrInvalidLength = errors.New("invalid length")
	ErrNotAnArray    = errors.New("expected '*'")
)

// NextCommand decodes the first command in b. It returns the arguments, which share b's memory, and
// the size of the command in b. The size is 0 as long as b contains no complete command. A complete
// command has no arguments if it is an empty line or an empty array.
func NextCommand(b []byte) (args [][]byte, size int, err error) {
	defer func() {
		// redcon panics on lengths that are out of range.
		if recover() != nil {
			args, size, err = nil, 0, ErrInvalidLength
		}
	}()
	complete, args, kind, rest, err := redcon.ReadNextCommand(b, nil)
	if err != nil {
		return nil, 0, err
	}
	if kind == redcon.Tile38 {
		return nil, 0, ErrNotAnArray
	}
	if !complete {
		return nil, 0, nil
	}
	return args, len(b) - len(rest), nil
}

// AppendCommand appends a command in its usual encoding, an array of bulk strings.
func AppendCommand(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

// minBulkSize is the size in bytes of the shortest bulk string.
const minBulkSize = len("$0\r\n\r\n")

// MinMissingSize returns a lower bound on the number of bytes that are missing from the incomplete command
// in b. It is at least 1. A reader that requests no more than that never reads beyond the command.
func MinMissingSize(b []byte) int {
	elements, size, ok := header(b, redcon.Array)
	if !ok {
		return 1
	}
	for rest := b[size:]; elements > 0; elements-- {
		length, size, ok := header(rest, redcon.Bulk)
		if !ok {
			// At least the end of a line is missing from an element that has begun.
			return max(1, minBulkSize-len(rest)) + (elements-1)*minBulkSize
		}
		if end := size + length + len(lineEnd); end > len(rest) {
			return end - len(rest) + (elements-1)*minBulkSize
		}
		rest = rest[size+length+len(lineEnd):]
	}
	return 1
}

// header parses the first line of b as the header of an array or a bulk string. It returns the length in
// the header and the size of the line. ok is false if the line is incomplete, is not a header of the given
// type, or has a length that is invalid in a command.
func header(b []byte, kind redcon.Type) (length, size int, ok bool) {
	line, _, complete := bytes.Cut(b, lineEnd)
	if !complete || len(line) == 0 || line[0] != byte(kind) {
		return 0, 0, false
	}
	length, err := strconv.Atoi(string(line[1:]))
	if err != nil || length < 0 || length > MaxCommandSize {
		return 0, 0, false
	}
	return length, len(line) + len(lineEnd), true
}
