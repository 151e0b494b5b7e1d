package scaletest

import (
	"math"
	"testing"
)

// TestSlopes checks the slope, intercept and standard error of a figure against values computed by hand, and
// that no slope is fitted to a constant size or to two points.
func TestSlopes(t *testing.T) {
	var points []*Result
	for i, value := range []float64{3, 5, 7, 13} {
		r := &Result{CacheServers: i + 1, Routers: 10}
		r.add("router loaded", "probes", "1/s", value, basisMeasured)
		points = append(points, r)
	}
	for _, s := range FitSlopes(points) {
		if s.Over == "router" {
			t.Errorf("slope over the number of routers, which is constant: %+v", s)
		}
		if s.Role != "router loaded" || s.Name != "probes" {
			continue
		}
		// Computed by hand: the slope is 16/5, the intercept -1, the sum of squared residuals 4.8.
		if math.Abs(s.Slope-3.2) > 1e-9 || math.Abs(s.Intercept+1) > 1e-9 || math.Abs(s.StandardError-math.Sqrt(4.8/2/5)) > 1e-9 || s.Unit != "1/s" {
			t.Errorf("got slope %+v", s)
		}
	}
	if s := FitSlopes(points[:2]); len(s) != 0 {
		t.Errorf("slopes of two points: %+v", s)
	}
}
