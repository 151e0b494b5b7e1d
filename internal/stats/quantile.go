package stats

// quantileStep is the part by which one sample moves the estimate.
const quantileStep = .1

// Quantile estimates a low quantile, up to the median, of a stream of samples in constant space. Each sample
// moves the estimate up or down by a small part of it, in proportions that balance where the share of samples
// below it is the tracked quantile. The zero value has no estimate.
type Quantile struct{ estimate float64 }

// Add takes a positive sample into the estimate of the given quantile, from 0 to 1.
func (t *Quantile) Add(sample, quantile float64) {
	if t.estimate == 0 {
		t.estimate = sample
	}
	below := 0.0
	if sample < t.estimate {
		below = 1
	}
	t.estimate *= 1 + quantileStep*(quantile-below)
}

// Estimate returns the estimate, or 0 before the first sample.
func (t *Quantile) Estimate() float64 { return t.estimate }
