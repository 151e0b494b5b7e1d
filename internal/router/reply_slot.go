package router

import "marlstage/internal/resp"

// replySlot reserves the position of a reply in its connection's queue, or that of the rejections of
// consecutive commands.
type replySlot struct {
	memory   *memoryBudget
	charge   int64       // bytes of the memory budget acquired for the request
	reply    chan []byte // capacity 1, so that fill does not block
	rejected int         // number of rejected commands; 0 for the slot of a single command
}

func newReplySlot(memory *memoryBudget) *replySlot {
	return &replySlot{memory: memory, reply: make(chan []byte, 1)}
}

// fill provides the reply; nil means that there is none. It does not block and must be called only once. If
// the reply exceeds the memory budget, which many replies to slow clients may exhaust, resp.FailedReply takes
// its place.
func (s *replySlot) fill(reply []byte) {
	switch size := int64(len(reply)); {
	case len(reply) <= len(resp.FailedReply):
		s.memory.acquire(size) // resp.FailedReply would not be smaller
	case !s.memory.tryAcquire(size):
		reply = []byte(resp.FailedReply)
		s.memory.acquire(int64(len(reply)))
	}
	s.reply <- reply
}
