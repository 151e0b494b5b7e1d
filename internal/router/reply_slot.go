package router

// replySlot is the place of an answer in its connection's order.
type replySlot struct {
	memory *memoryBudget
	charge int64 // bytes held for it
	reply  chan []byte
}

func newReplySlot(m *memoryBudget) *replySlot {
	return &replySlot{memory: m, reply: make(chan []byte, 1)}
}

// fill fills the slot; nil stands for no answer. It does not block and is called once.
func (s *replySlot) fill(b []byte) {
	switch n := int64(len(b)); {
	case len(b) <= len(failedReply):
		s.memory.acquire(n) // nothing smaller could stand for it
	case !s.memory.tryAcquire(n):
		b = []byte(failedReply) // many answers wait for readers that are slow
		s.memory.acquire(int64(len(b)))
	}
	s.reply <- b
}
