package scaletest

// This file configures the histograms of times.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The resolution of the histograms, and the quantiles that are read from them.
const (
	minHistogramValue = 1 // microsecond
	significantDigits = 3
	medianQuantile    = 50
	p99Quantile       = 99
)

// newHistogram makes a histogram of microseconds.
func newHistogram(longest time.Duration) *hdrhistogram.Histogram {
	return hdrhistogram.New(minHistogramValue, longest.Microseconds(), significantDigits)
}
