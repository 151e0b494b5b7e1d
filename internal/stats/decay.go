package stats

import "math"

const roundingError = 1e-9 // events

// FadingCount is a fading count of events. The zero value is a count of none.
type FadingCount struct {
	value float64 // as of at
	at    int64
}

// Add counts one event at the given time, after fading by the time constant.
func (c *FadingCount) Add(now, constant int64) { c.value, c.at = c.At(now, constant)+1, now }

// Adjust changes the count by a number of events at the given time. What is left after rounding where all of it is
// taken back does not count.
func (c *FadingCount) Adjust(now, constant int64, events float64) {
	c.value, c.at = c.At(now, constant)+events, now
	if c.value < roundingError {
		c.value = 0
	}
}

// At returns the count at the given time. It fades e-fold in the time constant.
func (c *FadingCount) At(now, constant int64) float64 {
	return c.value * math.Exp(-float64(now-c.at)/float64(constant))
}
