// Package rendezvous ranks nodes for a key by weighted rendezvous hashing: where nodes come or go, only their
// own keys move, and each node gets keys in proportion to its weight.
package rendezvous

import (
	"math"
	"slices"

	"marlstage/internal/splitmix"
)

// minUnit keeps the logarithm of a hash finite.
const minUnit = 1e-18

// Ranking holds the nodes for one key. It sorts only as far as it is asked, as the first few ranks of a large
// fleet are all that is needed. The zero value is empty; a reset ranking keeps its memory.
type Ranking[N any] struct {
	nodes   []N
	scores  []float64 // by the index of the node
	ordered int       // so many nodes are in order
}

// Reset takes other nodes, which have no scores yet. It copies the slice.
func (r *Ranking[N]) Reset(nodes []N) {
	r.nodes = append(r.nodes[:0], nodes...)
	r.scores = slices.Grow(r.scores[:0], len(nodes))[:len(nodes)]
	r.ordered = 0
}

// Score returns the score of a node for a key, by the hash of both together.
func Score(hash uint64, weight float64) float64 {
	return -math.Log(splitmix.Unit(hash)+minUnit) / weight
}

// SetScore sets the score of the node at the index that it had in Reset. The lowest score ranks first, and
// equal scores in the order of the indices. All scores must be set before the first call of At.
func (r *Ranking[N]) SetScore(index int, score float64) { r.scores[index] = score }

// Len returns the number of nodes.
func (r *Ranking[N]) Len() int { return len(r.nodes) }

// At returns the node of the rank, from 0, and puts the ranks up to it in order.
func (r *Ranking[N]) At(rank int) N {
	for ; r.ordered <= rank; r.ordered++ {
		nodes, scores := r.nodes[r.ordered:], r.scores[r.ordered:]
		best := 0
		for i, score := range scores {
			if score < scores[best] {
				best = i
			}
		}
		moveToFront(nodes, best)
		moveToFront(scores, best)
	}
	return r.nodes[rank]
}

// moveToFront moves an element to the front and keeps the order of the others.
func moveToFront[E any](elements []E, index int) {
	element := elements[index]
	copy(elements[1:index+1], elements[:index])
	elements[0] = element
}

// Swap exchanges the nodes of two ranks that are in order.
func (r *Ranking[N]) Swap(i, j int) { r.nodes[i], r.nodes[j] = r.nodes[j], r.nodes[i] }
