package scaletest

// This file fits lines to the growth of figures with the size of the fleet.

import (
	"bytes"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Slope is a line that is fitted by least squares to a figure as a function of a size of the fleet.
type Slope struct {
	Role          string  `json:"role"`
	Name          string  `json:"name"`
	Unit          string  `json:"unit"`
	Over          string  `json:"over"` // the size that the figure grows with
	Slope         float64 `json:"slope"`
	StandardError float64 `json:"standard_error"` // of the slope
	Intercept     float64 `json:"intercept"`
	R2            float64 `json:"r_squared"`
	Points        int     `json:"points"`
}

// sizeVariable is a size of the fleet that figures grow with.
type sizeVariable struct {
	name  string
	value func(*Result) float64
}

var (
	byCacheServers = sizeVariable{"cache", cacheServerCount}
	byRouters      = sizeVariable{"router", routerCount}
	byPairs        = sizeVariable{"cache and router", func(r *Result) float64 { return cacheServerCount(r) * routerCount(r) }}
)

func cacheServerCount(r *Result) float64 { return float64(r.CacheServers) }
func routerCount(r *Result) float64      { return float64(r.Routers) }

// slopeFigures lists the figures of the control traffic and the size that each grows with.
var slopeFigures = []struct {
	role, name string
	size       sizeVariable
}{
	{roleControl, figureProcessorTime, byCacheServers},
	{roleControl, figureMemory, byCacheServers},
	{roleControl, figureControlBytes, byCacheServers},
	{roleLoaded, figureListBytes, byCacheServers},
	{roleLoaded, figureHealthChecks, byCacheServers},
	{roleLoaded, figureHandshakes, byCacheServers},
	{roleLoaded, figureConnections, byCacheServers},
	{roleHollow, figureHealthChecks, byCacheServers},
	{roleHollow, figureTimers, byCacheServers},
	{roleAllServers, figureHealthChecks, byRouters},
	{roleConnectedServers, figureHealthChecks, byRouters},
	{roleConnectedServers, figureHandshakes, byRouters},
	{roleConnectedServers, figureConnections, byRouters},
	{roleDiscoveryOfFleet, figureListLines, byPairs},
	{roleDiscoveryOfFleet, figureListBytes, byPairs},
}

// minSlopePoints is the minimum number of points that define a standard error.
const minSlopePoints = 3

// FitSlopes fits a line to each figure of the control traffic. It returns none for fewer than three points,
// and omits figures whose size is the same at all points.
func FitSlopes(points []*Result) []Slope {
	var slopes []Slope
	if len(points) < minSlopePoints {
		return slopes
	}
	for _, f := range slopeFigures {
		var sizes, values []float64
		for _, r := range points {
			sizes = append(sizes, f.size.value(r))
			values = append(values, r.Value(f.role, f.name))
		}
		if stat.Variance(sizes, nil) <= 0 {
			continue
		}
		slope := fitLine(sizes, values)
		slope.Role = f.role
		slope.Name = f.name
		slope.Unit = points[0].figure(f.role, f.name).Unit
		slope.Over = f.size.name
		slopes = append(slopes, slope)
	}
	return slopes
}

// fitLine fits a line through the points by least squares.
func fitLine(x, y []float64) Slope {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	squaredResiduals := 0.0
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		squaredResiduals += residual * residual
	}
	r2 := stat.RSquared(x, y, nil, intercept, slope)
	if math.IsNaN(r2) {
		r2 = 0 // it is undefined if all values are the same
	}
	n := float64(len(x))
	return Slope{
		Slope:         slope,
		StandardError: math.Sqrt(squaredResiduals / (n - 2) / (stat.Variance(x, nil) * (n - 1))),
		Intercept:     intercept,
		R2:            r2,
		Points:        len(x),
	}
}

// WriteSlopes writes the slopes as a table.
func WriteSlopes(out io.Writer, slopes []Slope) error {
	var text, rows bytes.Buffer
	fmt.Fprintln(&text, "\nslopes by least squares, with their standard errors")
	for _, s := range slopes {
		fmt.Fprintf(&rows, "%s\t%s\t%.4g ± %.2g\t%s a %s\tfrom %.4g\tR² %.3f, %d points\n",
			s.Role, s.Name, s.Slope, s.StandardError, s.Unit, s.Over, s.Intercept, s.R2, s.Points)
	}
	if err := alignColumns(&text, rows.Bytes()); err != nil {
		return err
	}
	_, err := out.Write(text.Bytes())
	return err
}
