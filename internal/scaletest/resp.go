package scaletest

import (
	"fmt"
	"net"
	"strings"

	"github.com/tidwall/redcon"
)

// command is a command or an array on the wire.
func command(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}

// requestOf is a client's command. The client waits so many milliseconds.
func requestOf(write bool, key, id uint64, wait int64) []byte {
	k, i := fmt.Sprintf("%016x", key), fmt.Sprintf("%016x", id)
	if write {
		return command("C.SET", k, i, fmt.Sprintf("c=%s,t=all,d=%d,k=%s", writeClass, max(1, wait), i), "value")
	}
	return command("C.GET", k, i, fmt.Sprintf("c=%s,t=all,d=%d", readClass, max(1, wait)))
}

// readReply reads one answer, which is no longer than buf. The stand-ins have one out at a time.
func readReply(nc net.Conn, buf []byte) (redcon.RESP, error) {
	for n := 0; ; {
		m, err := nc.Read(buf[n:])
		if n += m; m > 0 {
			if whole, rep := redcon.ReadNextRESP(buf[:n]); whole > 0 {
				return rep, nil
			}
		}
		if err != nil {
			return redcon.RESP{}, err
		}
		if n == len(buf) {
			return redcon.RESP{}, fmt.Errorf("an answer of more than %d bytes", n)
		}
	}
}

func isBusy(rep redcon.RESP) bool {
	return rep.Type == redcon.Error && strings.HasPrefix(string(rep.Data), "BUSY")
}
