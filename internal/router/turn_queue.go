package router

import (
	"container/heap"
	"sync"
	"time"

	"marlstage/policy"
)

// turnHalfLife is the time in microseconds in which the number of recent turns of a connection halves.
const turnHalfLife policy.Time = 500_000

// turnQueue gives turns to connections, one at a time. The next turn is that of the waiting connection that had the
// fewest recently, so that one that seldom needs a turn does not wait for hundreds that always do.
type turnQueue struct {
	mu      sync.Mutex
	taken   bool // a connection has the turn
	waiting turnHeap
	arrived int64 // number of connections that have waited
}

// turnWaiter is a connection that waits for its turn.
type turnWaiter struct {
	recentTurns float64
	sequence    int64         // orders those with equally many turns by arrival
	turn        chan struct{} // closed when it has the turn
}

// take waits for the turn of a connection that recently had the given number of turns.
func (q *turnQueue) take(recentTurns float64) {
	q.mu.Lock()
	if !q.taken {
		q.taken = true
		q.mu.Unlock()
		return
	}
	q.arrived++
	w := &turnWaiter{recentTurns: recentTurns, sequence: q.arrived, turn: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.mu.Unlock()
	<-w.turn
}

// pass ends a turn, and gives the next one to a waiting connection.
func (q *turnQueue) pass() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.taken = false
		return
	}
	close(heap.Pop(&q.waiting).(*turnWaiter).turn)
}

// turnHeap implements heap.Interface. Its first element is the connection whose turn is next.
type turnHeap []*turnWaiter

func (h turnHeap) Len() int { return len(h) }

func (h turnHeap) Less(i, j int) bool {
	if h[i].recentTurns != h[j].recentTurns {
		return h[i].recentTurns < h[j].recentTurns
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

// awaitTurn waits for the next turn of a connection. It pauses before the turn, so that others run.
func (l *workLimiter) awaitTurn(w *connWork, now policy.Time) {
	w.decayTurns(now)
	l.turns.take(w.recentTurns)
	time.Sleep(l.turnPause)
	l.turns.pass()
	w.recentTurns++
}
