package router

import "marlstage/internal/resp"

const (
	// slotMemory is the memory in bytes of a reply slot with a small reply.
	slotMemory = 512
	// smallReply is the size in bytes of the largest reply that counts as part of its slot.
	smallReply = 256
	// reservedSlots is the number of commands of one connection that may await their replies whatever the state of
	// the memory budget. Their slots are part of clientConnMemory.
	reservedSlots = 4
)

// replySlot reserves the position of a reply in its connection's queue, or that of the rejections of
// consecutive commands.
type replySlot struct {
	request  memoryHold  // memory of the request, if the command is one
	hold     memoryHold  // memory of the slot and its reply
	reply    chan []byte // capacity 1, so that fill does not block
	rejected int         // number of rejected commands; 0 for the slot of a single command
}

func newReplySlot(budget *memoryBudget) *replySlot {
	return &replySlot{
		request: memoryHold{budget: budget, use: memoryRequests},
		hold:    memoryHold{budget: budget, use: memoryQueuedReplies},
		reply:   make(chan []byte, 1),
	}
}

// fill provides the reply; nil means that there is none. It does not block and must be called only once. If
// the reply exceeds the memory budget, which many replies to slow clients may exhaust, resp.FailedReply takes
// its place.
func (s *replySlot) fill(reply []byte) {
	if len(reply) > smallReply && !s.hold.tryGrow(int64(cap(reply))) {
		reply = []byte(resp.FailedReply)
	}
	s.reply <- reply
}

// fillFrom is like fill for the reply of a cache, whose memory moves to the slot. A reply of which no memory is held
// is short, and counts as part of its request.
func (s *replySlot) fillFrom(reply []byte, hold *memoryHold) {
	hold.moveTo(&s.hold)
	s.reply <- reply
}

// release releases the memory of the slot, of its reply and of its request.
func (s *replySlot) release() {
	s.hold.release()
	s.request.release()
}
