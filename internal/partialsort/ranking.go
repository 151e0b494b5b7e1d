// Package partialsort puts elements in the order of their scores, and only as far as it is asked: of a large
// set often no more than the first few are needed.
package partialsort

import "slices"

// Ranking orders elements by score. The zero value is empty; a reset ranking keeps its memory.
type Ranking[E any] struct {
	elements []E
	scores   []float64 // by the index of the element
	ordered  int       // so many elements are in order
}

// Reset takes other elements, which have no scores yet. It copies the slice.
func (r *Ranking[E]) Reset(elements []E) {
	r.elements = append(r.elements[:0], elements...)
	r.scores = slices.Grow(r.scores[:0], len(elements))[:len(elements)]
	r.ordered = 0
}

// SetScore sets the score of the element at the index that it had in Reset. The lowest score ranks first, and
// equal scores in the order of the indices. All scores must be set before the first call of At.
func (r *Ranking[E]) SetScore(index int, score float64) { r.scores[index] = score }

// Len returns the number of elements.
func (r *Ranking[E]) Len() int { return len(r.elements) }

// At returns the element of the rank, from 0, and puts the ranks up to it in order.
func (r *Ranking[E]) At(rank int) E {
	for ; r.ordered <= rank; r.ordered++ {
		elements, scores := r.elements[r.ordered:], r.scores[r.ordered:]
		best := 0
		for i, score := range scores {
			if score < scores[best] {
				best = i
			}
		}
		moveToFront(elements, best)
		moveToFront(scores, best)
	}
	return r.elements[rank]
}

// moveToFront moves an element to the front and keeps the order of the others.
func moveToFront[E any](elements []E, index int) {
	element := elements[index]
	copy(elements[1:index+1], elements[:index])
	elements[0] = element
}

// Swap exchanges the elements of two ranks that are in order.
func (r *Ranking[E]) Swap(i, j int) { r.elements[i], r.elements[j] = r.elements[j], r.elements[i] }
