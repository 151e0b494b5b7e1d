// Package splitmix implements the SplitMix64 pseudo-random generator and hash functions built on its
// finalizer. Equal seeds give equal numbers on every machine.
package splitmix

import "hash/fnv"

const (
	increment     = 0x9e3779b97f4a7c15 // added to the state for each number: 2^64 over the golden ratio
	firstFactor   = 0xbf58476d1ce4e5b9
	secondFactor  = 0x94d049bb133111eb
	mantissaBits  = 53 // of a float64
	discardedBits = 64 - mantissaBits
)

// Source is a SplitMix64 generator. Its value is the generator's state, initially the seed.
type Source uint64

// Float64 returns the next pseudo-random number in [0, 1).
func (s *Source) Float64() float64 {
	*s += increment
	return Unit(Mix(uint64(*s)))
}

// Jitter returns a random duration from half of the given wait up to the wait itself, so that waits that start
// at the same time do not all end at the same time.
func (s *Source) Jitter(wait float64) float64 { return wait * (0.5 + s.Float64()/2) }

// Mix is the finalizer of SplitMix64: a bijection whose result depends on all bits of x.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= firstFactor
	x ^= x >> 27
	x *= secondFactor
	return x ^ x>>31
}

// Unit maps a hash uniformly to [0, 1).
func Unit(x uint64) float64 { return float64(x>>discardedBits) / (1 << mantissaBits) }

// String returns a hash of the string.
func String(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return Mix(h.Sum64())
}
