package splitmix

import (
	"math"
	"testing"
)

// TestMixMatchesReference compares the first numbers for the seed 0 with those published for the reference
// implementation of SplitMix64.
func TestMixMatchesReference(t *testing.T) {
	state := uint64(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		state += increment
		if got := Mix(state); got != want {
			t.Errorf("number %d: %#x, want %#x", i, got, want)
		}
	}
}

func TestSourceIsDeterministicAndUniform(t *testing.T) {
	const numbers = 10_000
	a, b, other := Source(1), Source(1), Source(2)
	sum, equal := 0.0, 0
	for range numbers {
		x := a.Float64()
		if x < 0 || x >= 1 {
			t.Fatalf("%v is outside [0, 1)", x)
		}
		if y := b.Float64(); x != y {
			t.Fatalf("equal seeds gave %v and %v", x, y)
		}
		if x == other.Float64() {
			equal++
		}
		sum += x
	}
	if mean := sum / numbers; math.Abs(mean-0.5) > 0.02 {
		t.Errorf("mean %v, want about 0.5", mean)
	}
	if equal > 0 {
		t.Errorf("%d numbers of different seeds are equal", equal)
	}
}

func TestUnitStaysBelowOne(t *testing.T) {
	if lowest, highest := Unit(0), Unit(math.MaxUint64); lowest != 0 || highest >= 1 {
		t.Errorf("range is [%v, %v], want [0, 1)", lowest, highest)
	}
}

func TestStringHashesDiffer(t *testing.T) {
	seen := map[uint64]string{}
	for _, name := range []string{"", "c1", "c2", "c12", "C1"} {
		hash := String(name)
		if other, ok := seen[hash]; ok {
			t.Errorf("%q and %q have the same hash", name, other)
		}
		seen[hash] = name
		if again := String(name); again != hash {
			t.Errorf("%q: hash %#x, then %#x", name, hash, again)
		}
	}
}

func TestJitterShortensByUpToHalf(t *testing.T) {
	source := Source(3)
	shortest, longest := math.Inf(1), 0.0
	for range 10_000 {
		wait := source.Jitter(100)
		shortest, longest = min(shortest, wait), max(longest, wait)
	}
	if shortest < 50 || shortest > 51 || longest < 99 || longest >= 100 {
		t.Errorf("waits of 100 became %v to %v, want 50 to 100", shortest, longest)
	}
}
