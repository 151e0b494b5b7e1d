package partialsort

import (
	"slices"
	"testing"
)

func TestEqualScoresKeepTheirOrder(t *testing.T) {
	var ranking Ranking[int]
	ranking.Reset([]int{0, 1, 2, 3, 4})
	for i, score := range []float64{2, 2, 2, 2, 1} {
		ranking.SetScore(i, score)
	}
	var ranked []int
	for i := range ranking.Len() {
		ranked = append(ranked, ranking.At(i))
	}
	if want := []int{4, 0, 1, 2, 3}; !slices.Equal(ranked, want) {
		t.Errorf("ranked %v, want %v", ranked, want)
	}
}

func TestSwapAndReset(t *testing.T) {
	var ranking Ranking[int]
	elements := []int{0, 1, 2, 3, 4}
	ranking.Reset(elements)
	for i := range elements {
		ranking.SetScore(i, float64(len(elements)-i))
	}
	third := ranking.At(2)
	first := ranking.At(0)
	ranking.Swap(0, 2)
	if a, b := ranking.At(0), ranking.At(2); a != third || b != first {
		t.Errorf("ranks 0 and 2 are %d and %d, want %d and %d", a, b, third, first)
	}
	if want := []int{0, 1, 2, 3, 4}; !slices.Equal(elements, want) {
		t.Errorf("the ranking changed its argument to %v", elements)
	}
	ranking.Reset([]int{8, 9})
	ranking.SetScore(0, 2)
	ranking.SetScore(1, 1)
	if n, got := ranking.Len(), ranking.At(0); n != 2 || got != 9 {
		t.Errorf("after a reset: %d elements, the first is %d, want 2 and 9", n, got)
	}
}
