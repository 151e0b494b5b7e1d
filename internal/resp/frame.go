package resp

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// Errors in the framing of a command. The bytes behind it can't be interpreted any more. Their
// texts go to the client.
var (
	ErrInvalidLength = errors.New("invalid length")
	ErrNotAnArray    = errors.New("expected '*'")
)

// NextCommand splits the first command off b. It returns the arguments, which share b's memory,
// and the command's size in b. The size is 0 while b holds no complete command. A complete command
// may have no arguments: an empty line or an empty array.
func NextCommand(b []byte) (args [][]byte, size int, err error) {
	defer func() {
		// The codec panics on lengths that are out of range.
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

// AppendCommand appends an array of bulk strings, which is the form of every command.
func AppendCommand(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

// minBulkSize is the size in bytes of the shortest bulk string.
const minBulkSize = len("$0\r\n\r\n")

// MissingSize returns how many bytes the rest of the incomplete command in b has at least, which is one
// or more. A reader that asks for no more than that never reads beyond the command.
func MissingSize(b []byte) int {
	elements, size, ok := header(b, redcon.Array)
	if !ok {
		return 1
	}
	for rest := b[size:]; elements > 0; elements-- {
		length, size, ok := header(rest, redcon.Bulk)
		if !ok {
			// Of an element that has begun, at least the end of a line is missing.
			return max(1, minBulkSize-len(rest)) + (elements-1)*minBulkSize
		}
		if end := size + length + len(lineEnd); end > len(rest) {
			return end - len(rest) + (elements-1)*minBulkSize
		}
		rest = rest[size+length+len(lineEnd):]
	}
	return 1
}

// header returns the length in the first line of b, and the size of that line. It reports false if the
// line is not complete, is no header of the given kind, or has a length that no command can have.
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
