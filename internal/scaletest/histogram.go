package scaletest

// This file configures the histograms of latencies and delays.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The resolution of the histograms, and the percentiles that are read from them.
const (
	minHistogramValue = 1 // microseconds
	significantDigits = 3
	medianQuantile    = 50
	p99Quantile       = 99
)

// newHistogram returns a histogram of times in microseconds up to longest.
func newHistogram(longest time.Duration) *hdrhistogram.Histogram {
	return hdrhistogram.New(minHistogramValue, longest.Microseconds(), significantDigits)
}
