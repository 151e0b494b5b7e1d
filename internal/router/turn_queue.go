package router

import (
	"container/heap"
	"sync"
)

// turnQueue gives turns to connections, one at a time, by start-time fair queueing: connections that always wait for
// a turn get equally many, and one that has not had a turn for a while comes before those that have had one since. No
// connection waits for longer than it takes until each other one has had a turn.
type turnQueue struct {
	mu          sync.Mutex
	taken       bool // a connection has the turn
	stopped     bool // nobody waits any more
	waiting     turnHeap
	virtualTime int64 // start tag of the turn that was given last
	arrived     int64 // number of connections that have waited
}

// turnWaiter is a connection that waits for its turn.
type turnWaiter struct {
	startTag int64
	sequence int64         // orders those with equal start tags by arrival
	turn     chan struct{} // closed when it has the turn
}

// newcomerTag returns the earliest start tag of a new connection. It comes behind those that have been open for some
// time and wait already.
func (q *turnQueue) newcomerTag() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.virtualTime + 1
}

// take waits for the turn of a connection with the given earliest start tag. It returns that of its next turn.
func (q *turnQueue) take(earliestTag int64) (nextTag int64) {
	q.mu.Lock()
	tag := max(q.virtualTime, earliestTag)
	if !q.taken || q.stopped {
		q.taken, q.virtualTime = true, tag
		q.mu.Unlock()
		return tag + 1
	}
	q.arrived++
	w := &turnWaiter{startTag: tag, sequence: q.arrived, turn: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	<-w.turn
	return tag + 1
}

// stop lets all connections go that wait for a turn, now and later.
func (q *turnQueue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	for _, w := range q.waiting {
		close(w.turn)
	}
	q.waiting = nil
}

// isStopped reports whether stop has been called.
func (q *turnQueue) isStopped() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stopped
}

// pass ends a turn, and gives the next one to a waiting connection.
func (q *turnQueue) pass() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.taken = false
		return
	}
	next := heap.Pop(&q.waiting).(*turnWaiter)
	q.virtualTime = max(q.virtualTime, next.startTag)
	close(next.turn)
}

// turnHeap implements heap.Interface. Its first element is the connection whose turn is next.
type turnHeap []*turnWaiter

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}

func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(*turnWaiter)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
