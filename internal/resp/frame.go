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
	ErrInvalidLength    = errors.New("invalid length")
	ErrNotAnArray       = errors.New("expected '*'")
	ErrNotABulkString   = errors.New("expected '$'")
	ErrInvalidLineEnd   = errors.New("expected the end of a line")
	ErrTooManyArguments = errors.New("too many arguments")
	ErrCommandTooBig    = errors.New("too big a command")
)

// Limits of a command that are checked before the rest of it is read.
const (
	// maxArguments is the largest number of arguments. Requests have five at most; commands that the router
	// does not know may have more.
	maxArguments = 64
	// maxInlineSize is the size in bytes of the longest inline command, with its line end.
	maxInlineSize = 1 << 10
	// maxHeaderSize is the size in bytes of the longest header of an array or a bulk string, with its line end.
	maxHeaderSize = 16
	// minBulkSize is the size in bytes of the shortest bulk string.
	minBulkSize = len("$0\r\n\r\n")
)

// span is the position of an argument in a command.
type span struct{ start, end int }

// CommandParser finds the commands in a stream of bytes. It remembers its position in an incomplete command, so
// that its work is proportional to the size of the command, in however many pieces it arrives. A command that
// exceeds a limit is refused as soon as its headers show that. The zero value is ready for use.
type CommandParser struct {
	begun   bool   // the header of an array has been parsed
	pending int    // arguments whose bodies have not been received
	parsed  int    // bytes of the command that have been parsed
	args    []span // arguments received so far
}

// Next decodes the command at the beginning of b. It returns the arguments, which share b's memory, and the size of
// the command. The size is 0 as long as b contains no complete command; b must then contain the same bytes, followed
// by further ones, at the next call. A complete command has no arguments if it is an empty line or an empty array.
func (p *CommandParser) Next(b []byte) (args [][]byte, size int, err error) {
	switch {
	case len(b) == 0:
		return nil, 0, nil
	case b[0] == redcon.Bulk:
		return nil, 0, ErrNotAnArray
	case b[0] != redcon.Array:
		return p.nextInline(b)
	}
	if complete, err := p.parseArray(b); err != nil || !complete {
		return nil, 0, err
	}
	for _, arg := range p.args {
		args = append(args, b[arg.start:arg.end:arg.end])
	}
	size = p.parsed
	p.reset()
	return args, size, nil
}

// reset prepares the parser for the next command.
func (p *CommandParser) reset() {
	*p = CommandParser{args: p.args[:0]}
}

// parseArray parses what has been received of an array of bulk strings, and reports whether it is complete.
func (p *CommandParser) parseArray(b []byte) (complete bool, err error) {
	if !p.begun {
		count, size, err := parseHeader(b, redcon.Array)
		if err != nil || size == 0 {
			return false, err
		}
		if count > maxArguments {
			return false, ErrTooManyArguments
		}
		p.begun, p.pending, p.parsed = true, count, size
	}
	for p.pending > 0 {
		if complete, err := p.parseArgument(b); err != nil || !complete {
			return false, err
		}
	}
	return true, nil
}

// parseArgument parses the next argument, and reports whether it is complete.
func (p *CommandParser) parseArgument(b []byte) (complete bool, err error) {
	length, size, err := parseHeader(b[p.parsed:], redcon.Bulk)
	if err != nil || size == 0 {
		return false, err
	}
	start := p.parsed + size
	end := start + length
	if end+len(lineEnd)+(p.pending-1)*minBulkSize > MaxCommandSize {
		return false, ErrCommandTooBig
	}
	if len(b) < end+len(lineEnd) {
		return false, nil
	}
	if !bytes.HasPrefix(b[end:], lineEnd) {
		return false, ErrInvalidLineEnd
	}
	p.args = append(p.args, span{start, end})
	p.parsed = end + len(lineEnd)
	p.pending--
	return true, nil
}

// MinMissingSize returns a lower bound on the number of bytes that are missing from the incomplete command in b, for
// which Next has returned a size of 0. It is at least 1. A reader that requests no more than that never reads beyond
// the command.
func (p *CommandParser) MinMissingSize(b []byte) int {
	if !p.begun || p.pending == 0 {
		return 1
	}
	rest := b[p.parsed:]
	others := (p.pending - 1) * minBulkSize
	length, size, err := parseHeader(rest, redcon.Bulk)
	if err != nil || size == 0 {
		// At least the end of a line is missing from an argument that has begun.
		return max(1, minBulkSize-len(rest)) + others
	}
	return max(1, size+length+len(lineEnd)-len(rest)) + others
}

// MissingSize returns the number of bytes that are missing from the incomplete command in b, for which Next has
// returned a size of 0. known is false while that can't be determined.
func (p *CommandParser) MissingSize(b []byte) (missing int, known bool) {
	if !p.begun || p.pending != 1 {
		return 0, false
	}
	if _, size, err := parseHeader(b[p.parsed:], redcon.Bulk); err != nil || size == 0 {
		return 0, false
	}
	return p.MinMissingSize(b), true
}

// nextInline decodes a command that is a line of words. It looks for the end of the line only in the bytes that have
// been received since the last call.
func (p *CommandParser) nextInline(b []byte) (args [][]byte, size int, err error) {
	end := bytes.IndexByte(b[p.parsed:], '\n')
	if end < 0 {
		p.parsed = len(b)
		if len(b) >= maxInlineSize {
			return nil, 0, ErrCommandTooBig
		}
		return nil, 0, nil
	}
	size = p.parsed + end + 1
	if size > maxInlineSize {
		return nil, 0, ErrCommandTooBig
	}
	args = bytes.Fields(b[:size])
	if len(args) > maxArguments {
		return nil, 0, ErrTooManyArguments
	}
	p.reset()
	return args, size, nil
}

// NextCommand decodes the first command in b, like a new CommandParser.
func NextCommand(b []byte) (args [][]byte, size int, err error) {
	var p CommandParser
	return p.Next(b)
}

// AppendCommand appends a command in its usual encoding, an array of bulk strings.
func AppendCommand(b []byte, words ...string) []byte {
	b = redcon.AppendArray(b, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

// parseHeader parses the first line of b as the header of an array or a bulk string. It returns the length in the
// header and the size of the line. The size is 0 if the line is incomplete.
func parseHeader(b []byte, kind redcon.Type) (length, size int, err error) {
	if len(b) > 0 && b[0] != byte(kind) {
		if kind == redcon.Bulk {
			return 0, 0, ErrNotABulkString
		}
		return 0, 0, ErrNotAnArray
	}
	line, _, complete := bytes.Cut(b[:min(len(b), maxHeaderSize)], lineEnd)
	switch {
	case complete:
	case len(b) >= maxHeaderSize:
		return 0, 0, ErrInvalidLength
	default:
		return 0, 0, nil
	}
	length, err = parseDigits(line[1:])
	return length, len(line) + len(lineEnd), err
}

// parseDigits parses a length. It accepts decimal digits only.
func parseDigits(digits []byte) (int, error) {
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, ErrInvalidLength
		}
	}
	length, err := strconv.Atoi(string(digits))
	if err != nil {
		return 0, ErrInvalidLength
	}
	return length, nil
}
