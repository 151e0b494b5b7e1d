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
