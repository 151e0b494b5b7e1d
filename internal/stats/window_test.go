package stats

import "testing"

func TestWindowCountSpansTwoWindows(t *testing.T) {
	var count WindowCount
	for step, want := range []int{2, 3, 1, 0} {
		for range []int{2, 1, 0, 0}[step] {
			count.Add()
		}
		if got := count.Total(); got != want {
			t.Errorf("window %d: total %d, want %d", step, got, want)
		}
		count.Rotate()
	}
}

func TestKeyCountsSpanTwoWindows(t *testing.T) {
	counts := NewKeyCounts()
	counts.Add(7)
	counts.Add(7)
	counts.Rotate()
	counts.Add(7)
	counts.Add(8)
	if a, b, c := counts.Total(7), counts.Total(8), counts.Total(9); a != 3 || b != 1 || c != 0 {
		t.Errorf("totals %d, %d and %d, want 3, 1 and 0", a, b, c)
	}
	counts.Rotate()
	if a, b := counts.Total(7), counts.Total(8); a != 1 || b != 1 {
		t.Errorf("a window later: totals %d and %d, want 1 and 1", a, b)
	}
	counts.Rotate()
	if a, b := counts.Total(7), counts.Total(8); a != 0 || b != 0 {
		t.Errorf("two windows later: totals %d and %d, want 0 and 0", a, b)
	}
}

func TestKeySetSpansTwoWindows(t *testing.T) {
	set := NewKeySet()
	if !set.Empty() || set.Contains(7) {
		t.Error("a new set is not empty")
	}
	set.Add(7)
	set.Rotate()
	set.Add(8)
	if set.Empty() || !set.Contains(7) || !set.Contains(8) || set.Contains(9) {
		t.Error("want the keys of both windows and no others")
	}
	set.Rotate()
	if set.Empty() || set.Contains(7) || !set.Contains(8) {
		t.Error("a window later: want the later key alone")
	}
	set.Rotate()
	if !set.Empty() || set.Contains(8) {
		t.Error("two windows later: want an empty set")
	}
}

// TestKeysAreBounded guards against memory that grows with the number of different keys: with a limit, only the keys that
// are known already, or those of a later window, are added to a full window.
func TestKeysAreBounded(t *testing.T) {
	const limit = 2
	counts, set := NewKeyCounts(), NewKeySet()
	for key := range uint64(10) {
		counts.AddUpTo(limit, key)
		counts.AddUpTo(limit, 1)
		set.AddUpTo(limit, key)
	}
	if got := counts.Total(1); got != 11 {
		t.Errorf("a known key was counted %d times, want 11", got)
	}
	if len(counts[current]) != limit || len(set[current]) != limit {
		t.Errorf("%d counts and %d keys, want %d", len(counts[current]), len(set[current]), limit)
	}
	counts.Rotate()
	set.Rotate()
	counts.AddUpTo(limit, 9)
	set.AddUpTo(limit, 9)
	if counts.Total(9) != 1 || !set.Contains(9) {
		t.Error("a new window does not take a new key")
	}
	counts.AddUpTo(0, 10)
	counts.AddUpTo(0, 11)
	counts.AddUpTo(0, 12)
	if counts.Total(12) != 1 {
		t.Error("a key was not counted without a limit")
	}
}
