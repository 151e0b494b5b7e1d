// Package rendezvous ranks nodes for a key by weighted rendezvous hashing: where nodes come or go, only their
// own keys move, and each node gets keys in proportion to its weight.
package rendezvous

import (
	"math"

	"marlstage/internal/splitmix"
)

// minUnit keeps the logarithm of a hash finite.
const minUnit = 1e-18

// Ranking holds the nodes for one key. It sorts only as far as it is asked, as the first few ranks of a large
// fleet are all that is needed. The zero value is empty; a reset ranking keeps its memory.
type Ranking[N any] struct {
	entries []entry[N]
	ordered int // so many entries are in order
}

type entry[N any] struct {
	score float64 // the lowest ranks first
	node  N
}

// Reset removes all nodes.
func (r *Ranking[N]) Reset() { r.entries, r.ordered = r.entries[:0], 0 }

// Add adds a node by the hash of the key and the node together. Nodes of equal score rank in the order in
// which they were added.
func (r *Ranking[N]) Add(node N, hash uint64, weight float64) {
	score := -math.Log(splitmix.Unit(hash)+minUnit) / weight
	r.entries = append(r.entries, entry[N]{score, node})
}

// Len returns the number of nodes.
func (r *Ranking[N]) Len() int { return len(r.entries) }

// At returns the node of the rank, from 0, and puts the ranks up to it in order.
func (r *Ranking[N]) At(rank int) N {
	for ; r.ordered <= rank; r.ordered++ {
		best := r.ordered
		for i := best + 1; i < len(r.entries); i++ {
			if r.entries[i].score < r.entries[best].score {
				best = i
			}
		}
		first := r.entries[best]
		copy(r.entries[r.ordered+1:best+1], r.entries[r.ordered:best])
		r.entries[r.ordered] = first
	}
	return r.entries[rank].node
}

// Swap exchanges two ranks that are in order.
func (r *Ranking[N]) Swap(i, j int) { r.entries[i], r.entries[j] = r.entries[j], r.entries[i] }
