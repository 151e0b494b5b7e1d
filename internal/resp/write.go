package resp

import (
	"strconv"

	"github.com/tidwall/redcon"

	"marlstage/policy"
)

// BusyCode is the code of the error reply that rejects a request. A rejected request has not been
// executed and may be retried.
const BusyCode = "BUSY"

// pong is the text of the reply to PING.
const pong = "PONG"

// Complete replies as on the wire.
const (
	// BusyReply rejects a request without a Retry-After time.
	BusyReply = "-" + BusyCode + "\r\n"
	// FailedReply reports a request that failed and may have been executed.
	FailedReply = "-ERR failed\r\n"
	// PongReply is the reply to PING.
	PongReply = "+" + pong + "\r\n"
	// OKReply is the reply to QUIT.
	OKReply = "+OK\r\n"
)

// AppendBusy appends a reply that rejects a request. If retryAfter is not 0, the reply tells the client
// when it may retry. The time is rounded up to milliseconds so that the client does not retry too early.
func AppendBusy(b []byte, retryAfter policy.Time) []byte {
	b = append(b, '-')
	b = append(b, BusyCode...)
	if retryAfter > 0 {
		milliseconds := (retryAfter + microsecondsPerMillisecond - 1) / microsecondsPerMillisecond
		b = append(b, ' ')
		b = strconv.AppendInt(b, milliseconds, 10)
	}
	return append(b, lineEnd...)
}

// AppendError appends an error reply with the generic code ERR.
func AppendError(b []byte, text string) []byte {
	return redcon.AppendError(b, "ERR "+text)
}

// AppendPing appends a PING command.
func AppendPing(b []byte) []byte {
	return AppendCommand(b, VerbPing)
}
