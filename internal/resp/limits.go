package resp

// Size limits of the protocol, in bytes.
const (
	// MaxValueSize is the size of the largest value.
	MaxValueSize = 64 << 10
	// MaxArgumentSize is the size of the longest verb, key, request id or options argument.
	MaxArgumentSize = 1 << 10
	// MaxCommandSize is the size of the largest command on the wire.
	MaxCommandSize = MaxValueSize + 4<<10
	// MaxLineLength is the length of the longest line of a reply, without the line end.
	MaxLineLength = 512

	maxReplySize = MaxValueSize + 4<<10
)

// maxArrayElements limits the number of elements of an array in an incomplete reply.
const maxArrayElements = 16

// maxNesting limits the nesting depth of arrays in an incomplete reply. Valid replies have a depth of
// at most 1.
const maxNesting = 4

// minReadSize is the initial size in bytes of the buffer for a reply.
const minReadSize = 1 << 10

const microsecondsPerMillisecond = 1000
