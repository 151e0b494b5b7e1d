package stats

import "math"

// roundingError is the count, in events, below which a count is taken for zero after an adjustment.
const roundingError = 1e-9

// DecayingCount counts events and decays exponentially with time. The zero value is a count of 0.
type DecayingCount struct {
	value float64 // count at the time at
	at    int64   // time of the last change
}

// Add decays the count to the given time and then adds one event.
func (c *DecayingCount) Add(now, constant int64) { c.value, c.at = c.At(now, constant)+1, now }

// Adjust decays the count to the given time and then adds a number of events, which may be negative. A result
// below roundingError becomes 0, as subtracting all events may leave a rounding error.
func (c *DecayingCount) Adjust(now, constant int64, events float64) {
	c.value, c.at = c.At(now, constant)+events, now
	if c.value < roundingError {
		c.value = 0
	}
}

// At returns the count decayed to the given time. It falls by a factor of e in each time constant.
func (c *DecayingCount) At(now, constant int64) float64 {
	return c.value * math.Exp(-float64(now-c.at)/float64(constant))
}
