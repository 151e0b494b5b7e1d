//go:build !race

package policy

// raceSlowdown is by how much the race detector slows the tests down, at most.
const raceSlowdown = 1
