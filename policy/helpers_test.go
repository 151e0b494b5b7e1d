package policy

import "marlstage/internal/splitmix"

// The hash functions of the placement, under short names.
func unitInterval(x uint64) float64 { return splitmix.Unit(x) }
func hash(s string) uint64          { return splitmix.String(s) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
