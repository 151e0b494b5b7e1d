// Package partialsort keeps the elements of the lowest scores among many, in order: of a large set often no
// more than the first few are needed.
package partialsort

import (
	"math"
	"slices"
)

// Lowest keeps the elements of the lowest scores that it was given. Elements of equal scores rank in the
// order in which they were given. The zero value keeps none; see Reset.
type Lowest[E any] struct {
	elements []E
	scores   []float64 // of the elements, ascending
	capacity int
}

// Reset forgets all elements and has the given number kept from now on. It keeps the memory.
func (l *Lowest[E]) Reset(capacity int) {
	clear(l.elements)
	l.elements, l.scores = l.elements[:0], l.scores[:0]
	l.capacity = capacity
}

// Limit returns the score from which on an element would not be kept.
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

// Add keeps an element, instead of the one of the highest score if need be, and reports whether it did.
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

// Elements returns the elements that are kept, the one of the lowest score first. The slice is valid until
// the next call of Add or Reset.
func (l *Lowest[E]) Elements() []E { return l.elements }

// Score returns the score of the element of a rank, from 0.
func (l *Lowest[E]) Score(rank int) float64 { return l.scores[rank] }
