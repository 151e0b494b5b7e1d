package stats

import (
	"math"
	"testing"
)

func TestDecayingCountDecays(t *testing.T) {
	const constant = 1_000
	var count DecayingCount
	if got := count.At(500, constant); got != 0 {
		t.Errorf("count %v before the first event", got)
	}
	count.Add(500, constant)
	count.Add(500, constant)
	if got := count.At(500, constant); got != 2 {
		t.Errorf("count %v after two events, want 2", got)
	}
	if got, want := count.At(1_500, constant), 2/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("count %v after the time constant, want %v", got, want)
	}
	count.Add(1_500, constant)
	if got, want := count.At(2_500, constant), (2/math.E+1)/math.E; math.Abs(got-want) > 1e-12 {
		t.Errorf("count %v after another event, want %v", got, want)
	}
}
