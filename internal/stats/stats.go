// Package stats keeps statistics of streams of events in little space: counts over two windows of time,
// counts that fade, and estimates of a quantile.
package stats
