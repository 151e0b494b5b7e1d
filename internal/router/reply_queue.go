package router

import "sync"

// replyQueue holds the reply slots of a connection that have not been written, in the order of the commands.
// The connection's reader adds slots, and its writer takes them.
//
// Commands beyond maxPipelined may be rejected, so that the reader can continue: unread bytes would hide a
// disconnect of the client. Consecutive rejections share one slot.
type replyQueue struct {
	mu      sync.Mutex
	slots   []*replySlot
	pending int           // slots of single commands, without those of rejections
	closed  bool          // no more slots are added
	added   chan struct{} // capacity 1; receives a value when a slot is added or the queue is closed
}

func newReplyQueue() *replyQueue { return &replyQueue{added: make(chan struct{}, 1)} }

// tryAdd adds the slot of a command. It reports false if maxPipelined commands await their replies already, or if
// there is no memory for the slot.
func (q *replyQueue) tryAdd(slot *replySlot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.pending >= maxPipelined:
		return false
	case q.pending < reservedSlots:
		slot.hold.grow(slotMemory)
	case !slot.hold.tryGrow(slotMemory):
		return false
	}
	q.add(slot)
	return true
}

// isFull reports whether maxPipelined commands await their replies.
func (q *replyQueue) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending >= maxPipelined
}

// addLast adds the slot of the last command of the connection, whatever the length of the queue.
func (q *replyQueue) addLast(slot *replySlot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	slot.hold.grow(slotMemory)
	q.add(slot)
}

func (q *replyQueue) add(slot *replySlot) {
	q.slots = append(q.slots, slot)
	q.pending++
	q.signal()
}

// addRejected adds the rejection of a command.
func (q *replyQueue) addRejected() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := len(q.slots); n > 0 && q.slots[n-1].rejected > 0 {
		q.slots[n-1].rejected++
		return
	}
	q.slots = append(q.slots, &replySlot{rejected: 1})
	q.signal()
}

// close marks the end of the queue. Slots that are already in it can still be taken.
func (q *replyQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

func (q *replyQueue) signal() {
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// next waits for a slot, removes it and returns it. It returns nil once the queue is closed and empty.
func (q *replyQueue) next() *replySlot {
	for {
		slot, ended := q.take()
		if slot != nil || ended {
			return slot
		}
		<-q.added
	}
}

// takeReady removes and returns the first slot if its reply is available. Otherwise it returns nil.
func (q *replyQueue) takeReady() *replySlot {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.slots) == 0 || q.slots[0].rejected > 0 || len(q.slots[0].reply) == 0 {
		return nil
	}
	return q.removeFirst()
}

// take removes and returns the first slot. If the queue is empty, it reports whether the queue is closed.
func (q *replyQueue) take() (slot *replySlot, ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.slots) == 0 {
		q.slots = nil
		return nil, q.closed
	}
	return q.removeFirst(), false
}

func (q *replyQueue) removeFirst() *replySlot {
	slot := q.slots[0]
	q.slots[0] = nil
	q.slots = q.slots[1:]
	if slot.rejected == 0 {
		q.pending--
	}
	return slot
}
