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
	Result policy.Result     // result of a C.GET or C.SET
	Value  []byte            // value if the result is Served: a bulk string as on the wire
	Lost   bool              // the value was not kept for lack of memory, and FailedReply takes its place
	Memory int               // bytes that the value holds of the reader's MemoryBudget
	Miss   bool              // whether the value was not cached
	Pong   bool              // whether this is the reply to PING
	Error  bool              // whether this is an error reply, which any command may get
	Load   policy.LoadReport // load report of the server
}

// Indexes of the elements in the array that replies to a served request, and their number.
const (
	valueElement = iota // the value of a C.GET or the acknowledgement of a C.SET
	cacheStatusElement
	loadElement
	servedElementCount
)

// Values of the cache status element for a value that was not cached.
const (
	statusMiss    = "miss"
	statusPending = "pending"
)

// parseReply interprets a reply. A reply that the protocol does not define is a server error, because
// the request may have been executed.
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
	elements := make([]redcon.RESP, 0, servedElementCount+1)
	raw.ForEach(func(element redcon.RESP) bool {
		elements = append(elements, element)
		return len(elements) <= servedElementCount
	})
	if !hasHeader(raw, servedElementCount) || !isServed(elements) {
		return
	}
	status := string(elements[cacheStatusElement].Data)
	r.Result = policy.Served
	r.Value = elements[valueElement].Raw
	r.Miss = status == statusMiss || status == statusPending
	r.Load = parseLoadReport(string(elements[loadElement].Data))
}

// parseError interprets an error reply. It consists of a code and an optional text, whose last word may
// be a load report.
func (r *Reply) parseError(text string) {
	words := strings.Fields(text)
	if len(words) > 0 && words[0] == BusyCode {
		r.Result = policy.Rejected
	}
	if len(words) > 1 {
		r.Load = parseLoadReport(words[len(words)-1])
	}
}

// isServed reports whether an array has exactly the form of a reply to a served request. With a less
// strict check, any array of a faulty server that begins with a string would be taken for a value.
func isServed(elements []redcon.RESP) bool {
	if len(elements) != servedElementCount || isNull(elements[valueElement]) {
		return false
	}
	for _, element := range elements {
		if element.Type != redcon.Bulk || len(element.Data) > MaxValueSize || !hasCanonicalLength(element) {
			return false
		}
	}
	return true
}

// nullBulk is the null bulk string.
const nullBulk = "$-1\r\n"

// hasCanonicalLength reports whether the length of a bulk string is written as RESP specifies. redcon also
// accepts a sign and leading zeros, and it accepts any negative number for the null bulk string.
func hasCanonicalLength(element redcon.RESP) bool {
	if isNull(element) {
		return string(element.Raw) == nullBulk
	}
	return hasHeader(element, len(element.Data))
}

// hasHeader reports whether the encoded element begins with its type and the given length.
func hasHeader(element redcon.RESP, length int) bool {
	header := strconv.AppendInt([]byte{byte(element.Type)}, int64(length), 10)
	return bytes.HasPrefix(element.Raw, append(header, lineEnd...))
}

// isNull reports whether an element has a negative length, as the null bulk string "$-1\r\n" has. redcon
// decodes it as an empty string.
func isNull(element redcon.RESP) bool {
	return len(element.Raw) > 1 && element.Raw[1] == '-'
}
