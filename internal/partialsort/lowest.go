// Package partialsort selects the elements with the lowest scores of a large set, in ascending order, without
// sorting all of it.
package partialsort

import (
	"math"
	"slices"
)

// Lowest keeps the elements with the lowest scores among those added. Elements with equal scores rank in the
// order in which they were added. The zero value has a capacity of 0 and keeps none; Reset sets the capacity.
type Lowest[E any] struct {
	elements []E
	scores   []float64 // of the elements, ascending
	capacity int
}

// Reset removes all elements and sets how many are kept from now on. The allocated memory is reused.
func (l *Lowest[E]) Reset(capacity int) {
	clear(l.elements)
	l.elements, l.scores = l.elements[:0], l.scores[:0]
	l.capacity = capacity
}

// Limit returns the lowest score that Add would reject.
func (l *Lowest[E]) Limit() float64 {
	switch {
	case l.capacity <= 0:
		return math.Inf(-1)
	case len(l.scores) < l.capacity:
		return math.Inf(1)
	default:
		return l.scores[l.capacity-1]
	}
}

// Add inserts an element if its score is below Limit, and reports whether it did. At full capacity, the
// element with the highest score is dropped.
func (l *Lowest[E]) Add(element E, score float64) bool {
	if score >= l.Limit() {
		return false
	}
	rank, _ := slices.BinarySearchFunc(l.scores, score, func(kept, added float64) int {
		if kept <= added {
			return -1
		}
		return 1
	})
	if len(l.scores) == l.capacity {
		l.elements, l.scores = l.elements[:l.capacity-1], l.scores[:l.capacity-1]
	}
	l.elements = slices.Insert(l.elements, rank, element)
	l.scores = slices.Insert(l.scores, rank, score)
	return true
}

// Elements returns the kept elements in ascending order of score. The slice is valid until the next call of
// Add or Reset.
func (l *Lowest[E]) Elements() []E { return l.elements }

// Score returns the score of the element with the given rank, counted from 0.
func (l *Lowest[E]) Score(rank int) float64 { return l.scores[rank] }
