package resp

import (
	"errors"

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
