package resp

// Sizes in bytes that the protocol allows.
const (
	// MaxValueSize is the size of the largest value.
	MaxValueSize = 64 << 10
	// MaxArgumentSize is the size of the longest verb, key, request id or options argument.
	MaxArgumentSize = 1 << 10
	// MaxCommandSize is the size of the largest command on the wire.
	MaxCommandSize = MaxValueSize + 4<<10
	// MaxLineLength is the length of the longest line of a reply, without its end.
	MaxLineLength = 512

	maxReplySize = MaxValueSize + 4<<10
)

// maxArrayElements bounds the array of a reply that has not arrived completely.
const maxArrayElements = 16

// maxNesting bounds the arrays within each other in a reply that has not arrived completely. Proper
// replies have one.
const maxNesting = 4

// minReadSize is the size in bytes of the first buffer for a reply.
const minReadSize = 1 << 10

const microsecondsPerMillisecond = 1000
