package partialsort

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestEqualScoresKeepTheirOrder(t *testing.T) {
	var lowest Lowest[int]
	lowest.Reset(5)
	for i, score := range []float64{2, 2, 2, 2, 1} {
		lowest.Add(i, score)
	}
	if want := []int{4, 0, 1, 2, 3}; !slices.Equal(lowest.Elements(), want) {
		t.Errorf("ranked %v, want %v", lowest.Elements(), want)
	}
	lowest.Reset(2)
	for i, score := range []float64{2, 2, 2, 2, 1} {
		lowest.Add(i, score)
	}
	if want := []int{4, 0}; !slices.Equal(lowest.Elements(), want) {
		t.Errorf("the first two are %v, want %v", lowest.Elements(), want)
	}
}

// TestLowestMatchesSort compares the result with a stable sort of all elements, for random scores and capacities.
func TestLowestMatchesSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var lowest Lowest[int]
	for range 1000 {
		scores := make([]float64, rng.IntN(40))
		want := make([]int, len(scores))
		for i := range scores {
			scores[i], want[i] = float64(rng.IntN(20)), i
		}
		slices.SortStableFunc(want, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
		capacity := rng.IntN(12)
		want = want[:min(capacity, len(want))]
		lowest.Reset(capacity)
		for i, score := range scores {
			keeps := score < lowest.Limit()
			if lowest.Add(i, score) != keeps {
				t.Fatalf("score %v: Add returned %t, which contradicts the limit", score, !keeps)
			}
		}
		if !slices.Equal(lowest.Elements(), want) {
			t.Fatalf("scores %v: kept %v, want %v", scores, lowest.Elements(), want)
		}
	}
}

func TestLimitAndReset(t *testing.T) {
	var lowest Lowest[int]
	if lowest.Add(1, 0) || lowest.Limit() != math.Inf(-1) {
		t.Error("the zero value keeps an element")
	}
	lowest.Reset(2)
	for i, limit := range []float64{math.Inf(1), math.Inf(1), 5, 5} {
		if got := lowest.Limit(); got != limit {
			t.Errorf("limit %v with %d elements, want %v", got, i, limit)
		}
		lowest.Add(i, float64(4+i))
	}
	if a, b := lowest.Score(0), lowest.Score(1); a != 4 || b != 5 {
		t.Errorf("scores %v and %v, want 4 and 5", a, b)
	}
	lowest.Reset(2)
	if len(lowest.Elements()) != 0 || !lowest.Add(8, 9) || lowest.Elements()[0] != 8 {
		t.Errorf("after a reset: %v, want 8 alone", lowest.Elements())
	}
}
