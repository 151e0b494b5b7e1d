package scaletest

import "testing"

func TestShare(t *testing.T) {
	sum := 0
	for i := range 28 {
		n := share(2772, 28, i)
		if sum += n; n != 99 {
			t.Errorf("share %d is %d", i, n)
		}
	}
	for i := range 3 {
		sum += share(10, 3, i)
	}
	if sum != 2782 {
		t.Errorf("the shares make %d", sum)
	}
}
