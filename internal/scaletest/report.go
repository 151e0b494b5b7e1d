package scaletest

// This file defines the result of a point and its table.

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Figure is one measured or derived value of a point.
type Figure struct {
	Role  string  `json:"role"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Basis string  `json:"basis"` // how it was obtained: measured, derived, or the sample that it was counted on
}

// Result holds the figures of one point.
type Result struct {
	CacheServers  int      `json:"caches"`
	Routers       int      `json:"routers"`
	RequestRate   float64  `json:"requests_per_s"` // of the whole fleet
	WindowSeconds float64  `json:"window_s"`
	Figures       []Figure `json:"figures"`
	NotMeasured   []string `json:"not_measured"`
}

func (r *Result) add(role, name, unit string, value float64, basis string) {
	if math.IsNaN(value) {
		value = 0 // a share of 0 events
	}
	r.Figures = append(r.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value, Basis: basis})
}

// Value returns the value of a figure, or 0 if there is no such figure.
func (r *Result) Value(role, name string) float64 { return r.figure(role, name).Value }

func (r *Result) figure(role, name string) Figure {
	for _, f := range r.Figures {
		if f.Role == role && f.Name == name {
			return f
		}
	}
	return Figure{}
}

// controlBudget is the limit of one cost of a router's control traffic.
type controlBudget struct {
	figure string
	max    float64 // in the figure's unit
}

var controlBudgets = []controlBudget{
	{figureProcessorTime, 3.1},
	{figureMemory, 32},
	{figureControlBytes, 24},
}

// WriteTable writes the result as a table.
func (r *Result) WriteTable(out io.Writer) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "\n%d caches, %d routers, %.0f requests a second; %.1f s\n",
		r.CacheServers, r.Routers, r.RequestRate, r.WindowSeconds)
	var rows bytes.Buffer
	for _, f := range r.Figures {
		fmt.Fprintf(&rows, "%s\t%s\t%.4g\t%s\t%s\n", f.Role, f.Name, f.Value, f.Unit, f.Basis)
	}
	if err := alignColumns(&text, rows.Bytes()); err != nil {
		return err
	}
	for _, budget := range controlBudgets {
		f, verdict := r.figure(roleControl, budget.figure), "within"
		if f.Value > budget.max {
			verdict = "OVER"
		}
		fmt.Fprintf(&text, "control of a router, %s: %.4g %s, %s the %.4g it may spend\n",
			f.Name, f.Value, f.Unit, verdict, budget.max)
	}
	for _, note := range r.NotMeasured {
		fmt.Fprintln(&text, "not measured:", note)
	}
	_, err := out.Write(text.Bytes())
	return err
}

// columnPadding is the minimum number of spaces between columns.
const columnPadding = 2

// alignColumns writes rows of tab-separated cells in aligned columns.
func alignColumns(out io.Writer, rows []byte) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	if _, err := w.Write(rows); err != nil {
		return err
	}
	return w.Flush()
}
