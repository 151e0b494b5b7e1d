package resp

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"marlstage/policy"
)

// Reply is a reply of a cache server.
type Reply struct {
	Result policy.Result     // what became of a C.GET or C.SET
	Value  []byte            // of a request that was served: a bulk string as on the wire
	Miss   bool              // the value was not cached
	Pong   bool              // the reply to PING
	Error  bool              // an error reply, which any command may get
	Load   policy.LoadReport // of the server
}

// Elements of the array that replies to a request that was served.
const (
	valueElement = iota // or the receipt of a C.SET
	cacheStatusElement
	loadElement
	servedElements
)

// Cache statuses of a value that was not cached.
const (
	statusMiss    = "miss"
	statusPending = "pending"
)

// parseReply interprets a reply by the protocol's table. What the table doesn't hold is a server
// error, as the request may have been executed.
func parseReply(raw redcon.RESP) *Reply {
	reply := &Reply{
		Result: policy.ServerError,
		Load:   unknownLoad(),
	}
	switch raw.Type {
	case redcon.Array:
		reply.parseArray(raw)
	case redcon.Bulk:
		reply.Load = parseLoadReport(string(raw.Data))
	case redcon.String:
		reply.Pong = string(raw.Data) == pong
	case redcon.Error:
		reply.Error = true
		reply.parseError(string(raw.Data))
	}
	return reply
}

func (r *Reply) parseArray(raw redcon.RESP) {
	elements := make([]redcon.RESP, 0, servedElements+1)
	raw.ForEach(func(element redcon.RESP) bool {
		elements = append(elements, element)
		return len(elements) <= servedElements
	})
	if !hasHeader(raw, servedElements) || !isServed(elements) {
		return
	}
	status := string(elements[cacheStatusElement].Data)
	r.Result = policy.Served
	r.Value = bytes.Clone(elements[valueElement].Raw)
	r.Miss = status == statusMiss || status == statusPending
	r.Load = parseLoadReport(string(elements[loadElement].Data))
}

// parseError interprets an error reply: a code, a text, and perhaps a load report as the last word.
func (r *Reply) parseError(text string) {
	words := strings.Fields(text)
	if len(words) > 0 && words[0] == BusyCode {
		r.Result = policy.Rejected
	}
	if len(words) > 1 {
		r.Load = parseLoadReport(words[len(words)-1])
	}
}

// isServed reports whether an array has exactly the form of a reply to a request that was served.
// Anything looser would let a faulty server's array that merely begins with a string pass for a
// value.
func isServed(elements []redcon.RESP) bool {
	if len(elements) != servedElements || isNull(elements[valueElement]) {
		return false
	}
	for _, element := range elements {
		if element.Type != redcon.Bulk || len(element.Data) > MaxValueSize || !hasProperLength(element) {
			return false
		}
	}
	return true
}

// nullBulk is the null bulk string.
const nullBulk = "$-1\r\n"

// hasProperLength reports whether the length of a bulk string has the form that RESP gives it. The
// codec takes a sign and leading zeros, too, and any negative number for null.
func hasProperLength(element redcon.RESP) bool {
	if isNull(element) {
		return string(element.Raw) == nullBulk
	}
	return hasHeader(element, len(element.Data))
}

// hasHeader reports whether an element begins with its type and the given length.
func hasHeader(element redcon.RESP, length int) bool {
	header := strconv.AppendInt([]byte{byte(element.Type)}, int64(length), 10)
	return bytes.HasPrefix(element.Raw, append(header, lineEnd...))
}

// isNull reports whether an element is the null bulk string, "$-1\r\n". The codec reads it as an
// empty one.
func isNull(element redcon.RESP) bool {
	return len(element.Raw) > 1 && element.Raw[1] == '-'
}
