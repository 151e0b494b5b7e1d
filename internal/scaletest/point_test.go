package scaletest

import "testing"

// TestShare checks that the shares are nearly equal and add up to the total.
func TestShare(t *testing.T) {
	sum := 0
	for i := range 28 {
		n := share(2772, 28, i)
		if sum += n; n != 99 {
			t.Errorf("share %d is %d, want 99", i, n)
		}
	}
	for i := range 3 {
		sum += share(10, 3, i)
	}
	if sum != 2782 {
		t.Errorf("the shares add up to %d, want 2782", sum)
	}
}
