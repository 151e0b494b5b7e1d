//go:build !race

package policy

// raceSlowdown is an upper bound of the factor by which the race detector slows the tests down.
const raceSlowdown = 1
