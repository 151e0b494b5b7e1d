package scaletest

// This file builds the commands of clients, sends them and reads the replies.

import (
	"fmt"
	"net"
	"strings"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
)

// requestCommand returns the command of a request. The timeout is the client's, in milliseconds.
func requestCommand(write bool, key, id uint64, timeout int64) []byte {
	keyText, idText := fmt.Sprintf("%016x", key), fmt.Sprintf("%016x", id)
	timeout = max(1, timeout)
	if write {
		options := fmt.Sprintf("c=%s,t=%s,d=%d,k=%s", writeClass, tenant, timeout, idText)
		return resp.AppendCommand(nil, resp.VerbSet, keyText, idText, options, "value")
	}
	options := fmt.Sprintf("c=%s,t=%s,d=%d", readClass, tenant, timeout)
	return resp.AppendCommand(nil, resp.VerbGet, keyText, idText, options)
}

// roundTrip sends a command and reads its reply into buf. A connection must have no other command
// outstanding.
func roundTrip(nc net.Conn, message, buf []byte) (redcon.RESP, error) {
	if _, err := nc.Write(message); err != nil {
		return redcon.RESP{}, err
	}
	return resp.ReadRaw(nc, buf)
}

// isBusy reports whether the reply is a router's rejection of the request.
func isBusy(reply redcon.RESP) bool {
	return reply.Type == redcon.Error && strings.HasPrefix(string(reply.Data), resp.BusyCode)
}
