package stats

// quantileStep scales the relative change of the estimate at each sample.
const quantileStep = .1

// Quantile estimates a low quantile, up to the median, of a stream of samples in constant space. A sample
// below the estimate lowers it by quantileStep*(1-quantile) of its value, any other sample raises it by
// quantileStep*quantile. On average, these changes cancel out where the share of samples below the estimate
// equals the quantile. The zero value has no estimate.
type Quantile struct{ estimate float64 }

// Add updates the estimate of the given quantile, between 0 and 1, with a positive sample.
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
