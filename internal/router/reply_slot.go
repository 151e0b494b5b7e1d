package router

import "marlstage/internal/resp"

// replySlot reserves the place of a reply among those of its connection, or of the rejections of commands
// in a row.
type replySlot struct {
	memory   *memoryBudget
	charge   int64       // bytes acquired for the request
	reply    chan []byte // has capacity one, so that filling the slot does not block
	rejected int         // commands that are rejected; 0 for the slot of a single command
}

func newReplySlot(memory *memoryBudget) *replySlot {
	return &replySlot{memory: memory, reply: make(chan []byte, 1)}
}

// fill provides the reply; nil stands for none. It does not block and is called once. A reply beyond
// the memory budget, which many replies to slow readers may use up, is replaced by resp.FailedReply.
func (s *replySlot) fill(reply []byte) {
	switch size := int64(len(reply)); {
	case len(reply) <= len(resp.FailedReply):
		s.memory.acquire(size) // no substitute would be smaller
	case !s.memory.tryAcquire(size):
		reply = []byte(resp.FailedReply)
		s.memory.acquire(int64(len(reply)))
	}
	s.reply <- reply
}
