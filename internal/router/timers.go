package router

import (
	"container/heap"

	"marlstage/policy"
)

type timer struct {
	at       policy.Time
	sequence int64 // equal times keep their order
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (l *eventLoop) schedule(t policy.Time, f func()) {
	l.lastID++
	heap.Push(&l.timers, timer{at: t, sequence: l.lastID, run: f})
}

func (l *eventLoop) scheduleAfter(d policy.Time, f func()) { l.schedule(l.now+d, f) }
