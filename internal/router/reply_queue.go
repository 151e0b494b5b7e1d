package router

import "sync"

// replyQueue holds the replies of a connection that are not written, in the order of the commands. The
// connection's reader adds to it, and its writer takes from it.
//
// Commands beyond those that may await their replies are rejected, so that the reader need not stop: a
// client's end behind bytes that nobody reads can't be seen. Those in a row share one slot.
type replyQueue struct {
	mu      sync.Mutex
	slots   []*replySlot
	pending int           // slots of single commands among them
	closed  bool          // no more slots are added
	added   chan struct{} // has capacity one; receives when a slot has been added or the queue is closed
}

func newReplyQueue() *replyQueue { return &replyQueue{added: make(chan struct{}, 1)} }

// tryAdd adds the slot of a command and reports true, unless as many commands as may await their replies.
func (q *replyQueue) tryAdd(slot *replySlot) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending >= maxPipelined {
		return false
	}
	q.add(slot)
	return true
}

// addLast adds the slot of a command behind which the connection takes no more, however many there are.
func (q *replyQueue) addLast(slot *replySlot) {
	q.mu.Lock()
	defer q.mu.Unlock()
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

// close ends the queue. The slots that it holds are still taken.
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

// next waits for the next slot and removes it. It returns nil at the end of the queue.
func (q *replyQueue) next() *replySlot {
	for {
		slot, ended := q.take()
		if slot != nil || ended {
			return slot
		}
		<-q.added
	}
}

// takeReady removes the first slot if its reply is there, and returns nil if not.
func (q *replyQueue) takeReady() *replySlot {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.slots) == 0 || q.slots[0].rejected > 0 || len(q.slots[0].reply) == 0 {
		return nil
	}
	return q.removeFirst()
}

// take removes the first slot, or reports whether there will be none any more.
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
