package scaletest

import (
	"fmt"
	"net"
	"strings"

	"github.com/tidwall/redcon"
)

// The commands of a cache server.
const (
	getCommand  = "C.GET"
	setCommand  = "C.SET"
	pingCommand = "PING"
	pongReply   = "PONG"
)

// command is a command, or an array, on the wire.
func command(words ...string) []byte {
	encoded := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		encoded = redcon.AppendBulkString(encoded, word)
	}
	return encoded
}

// requestCommand is the command of a request whose client waits so many milliseconds.
func requestCommand(write bool, key, id uint64, timeout int64) []byte {
	keyText, idText := fmt.Sprintf("%016x", key), fmt.Sprintf("%016x", id)
	timeout = max(1, timeout)
	if write {
		options := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s", writeClass, tenant, timeout, idText)
		return command(setCommand, keyText, idText, options, "value")
	}
	return command(getCommand, keyText, idText, fmt.Sprintf("c=%s,t=%s,d=%d", readClass, tenant, timeout))
}

// roundTrip sends a command and reads its reply into buf.
func roundTrip(nc net.Conn, message, buf []byte) (redcon.RESP, error) {
	if _, err := nc.Write(message); err != nil {
		return redcon.RESP{}, err
	}
	return readReply(nc, buf)
}

// readReply reads one reply, which must fit into buf. There is one outstanding at a time.
func readReply(nc net.Conn, buf []byte) (redcon.RESP, error) {
	for size := 0; ; {
		n, err := nc.Read(buf[size:])
		size += n
		if n > 0 {
			if length, reply := redcon.ReadNextRESP(buf[:size]); length > 0 {
				return reply, nil
			}
		}
		if err != nil {
			return redcon.RESP{}, err
		}
		if size == len(buf) {
			return redcon.RESP{}, fmt.Errorf("an answer of more than %d bytes", size)
		}
	}
}

// isBusy reports whether a router rejected the request.
func isBusy(reply redcon.RESP) bool {
	return reply.Type == redcon.Error && strings.HasPrefix(string(reply.Data), "BUSY")
}
