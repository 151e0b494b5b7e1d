package stats

import (
	"math/rand/v2"
	"testing"
)

func TestQuantileIsFound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, quantile := range []float64{0.1, 0.25, 0.5} {
		var tracker Quantile
		if tracker.Estimate() != 0 {
			t.Fatal("the estimate is not 0 before the first sample")
		}
		below, samples := 0, 0
		for i := range 50_000 {
			sample := 100 + 900*rng.Float64()
			tracker.Add(sample, quantile)
			if i >= 1_000 { // settled
				samples++
				if sample < tracker.Estimate() {
					below++
				}
			}
		}
		if share := float64(below) / float64(samples); share < quantile-0.05 || share > quantile+0.05 {
			t.Errorf("quantile %v: %.3f of the samples are below the estimate", quantile, share)
		}
	}
}

func TestQuantileFollowsAShift(t *testing.T) {
	var tracker Quantile
	for range 100 {
		tracker.Add(10, 0.25)
	}
	for range 1_000 {
		tracker.Add(1_000, 0.25)
	}
	if got := tracker.Estimate(); got < 800 || got > 1_100 {
		t.Errorf("estimate %v after a shift to 1000", got)
	}
}
