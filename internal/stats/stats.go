// Package stats keeps statistics of event streams in little memory: counts over two time windows,
// exponentially decaying counts, and quantile estimates.
package stats
