package router

import "marlstage/internal/resp"

// Replies of the router's own to requests.
const (
	busyReply   = resp.BusyReply
	failedReply = resp.FailedReply
)

// replySlot reserves the place of a reply among those of its connection.
type replySlot struct {
	memory *memoryBudget
	charge int64       // bytes acquired for the request
	reply  chan []byte // has capacity one, so that filling the slot does not block
}

func newReplySlot(memory *memoryBudget) *replySlot {
	return &replySlot{memory: memory, reply: make(chan []byte, 1)}
}

// fill provides the reply; nil stands for none. It does not block and is called once. A reply beyond
// the memory budget, which many replies to slow readers may use up, is replaced by failedReply.
func (s *replySlot) fill(reply []byte) {
	switch size := int64(len(reply)); {
	case len(reply) <= len(failedReply):
		s.memory.acquire(size) // no substitute would be smaller
	case !s.memory.tryAcquire(size):
		reply = []byte(failedReply)
		s.memory.acquire(int64(len(reply)))
	}
	s.reply <- reply
}
