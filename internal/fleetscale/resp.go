package fleetscale

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"
)

// mostString is the longest bulk string that a stand-in reads, in bytes.
const mostString = 64 << 10

var errReply = errors.New("malformed answer")

// reply is an answer on the wire, of a cache server or of a router.
type reply struct {
	kind byte   // its RESP type: + - $ or *
	line string // of a simple string or an error; of a bulk string, how it begins
	miss bool   // of an array: the cache server had to fetch
	size int64  // bytes on the wire
}

// readReply reads one answer.
func readReply(r *bufio.Reader) (reply, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return reply{}, err
	}
	if len(line) < 3 {
		return reply{}, errReply
	}
	rep := reply{kind: line[0], line: line[1 : len(line)-2], size: int64(len(line))}
	switch rep.kind {
	case redcon.String, redcon.Error:
		return rep, nil
	case redcon.Bulk:
		n, err := strconv.Atoi(rep.line)
		if err != nil || n > mostString {
			return reply{}, errReply
		}
		if n < 0 {
			return rep, nil
		}
		start, _ := r.Peek(min(n, len("pending")))
		rep.line = string(start)
		m, err := r.Discard(n + 2)
		rep.size += int64(m)
		return rep, err
	case redcon.Array:
		n, err := strconv.Atoi(rep.line)
		if err != nil || n < 1 || n > 3 {
			return reply{}, errReply
		}
		for i := range n {
			item, err := readReply(r)
			if err != nil {
				return reply{}, err
			}
			rep.miss = rep.miss || i == 1 && item.line == "miss"
			rep.size += item.size
		}
		return rep, nil
	}
	return reply{}, errReply
}

// command is a command on the wire.
func command(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// get and set are the commands of one request; wait is in milliseconds.
func get(key uint64, id string, wait int64) []byte {
	return command("C.GET", fmt.Sprintf("%016x", key), id, fmt.Sprintf("c=%s,t=all,d=%d", readClass, max(1, wait)))
}

func set(key uint64, id string, wait int64) []byte {
	return command("C.SET", fmt.Sprintf("%016x", key), id,
		fmt.Sprintf("c=%s,t=all,d=%d,k=%s", writeClass, max(1, wait), id), "value")
}
