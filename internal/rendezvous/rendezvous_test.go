package rendezvous

import (
	"math"
	"slices"
	"testing"

	"marlstage/internal/splitmix"
)

// rank returns all nodes in the order of their ranks for the key.
func rank(key uint64, weights map[string]float64, names ...string) []string {
	var ranking Ranking[string]
	ranking.Reset(names)
	for i, name := range names {
		ranking.SetScore(i, Score(splitmix.Mix(key^splitmix.String(name)), weights[name]))
	}
	var ranked []string
	for i := range ranking.Len() {
		ranked = append(ranked, ranking.At(i))
	}
	return ranked
}

func TestANodeThatLeavesMovesOnlyItsKeys(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 2, "c": 1, "d": 3}
	for key := range uint64(1000) {
		all := rank(key, weights, "a", "b", "c", "d")
		want := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == "c" })
		if got := rank(key, weights, "d", "b", "a"); !slices.Equal(got, want) {
			t.Fatalf("key %d: %v without c, want %v", key, got, want)
		}
	}
}

func TestKeysFollowTheWeights(t *testing.T) {
	const keys = 20_000
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	firsts := map[string]float64{}
	for key := range uint64(keys) {
		firsts[rank(splitmix.Mix(key), weights, "a", "b", "c")[0]]++
	}
	for name, weight := range weights {
		if share, want := firsts[name]/keys, weight/8; math.Abs(share-want) > 0.02 {
			t.Errorf("%s is first for %.3f of the keys, want about %.3f", name, share, want)
		}
	}
}

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
	nodes := []int{0, 1, 2, 3, 4}
	ranking.Reset(nodes)
	for i := range nodes {
		ranking.SetScore(i, Score(splitmix.Mix(uint64(i)), 1))
	}
	third := ranking.At(2)
	first := ranking.At(0)
	ranking.Swap(0, 2)
	if a, b := ranking.At(0), ranking.At(2); a != third || b != first {
		t.Errorf("ranks 0 and 2 are %d and %d, want %d and %d", a, b, third, first)
	}
	if want := []int{0, 1, 2, 3, 4}; !slices.Equal(nodes, want) {
		t.Errorf("the ranking changed its argument to %v", nodes)
	}
	ranking.Reset([]int{8, 9})
	ranking.SetScore(0, 2)
	ranking.SetScore(1, 1)
	if n, got := ranking.Len(), ranking.At(0); n != 2 || got != 9 {
		t.Errorf("after a reset: %d nodes, the first is %d, want 2 and 9", n, got)
	}
}
