package config

import (
	"errors"
	"math"
	"runtime"
	"runtime/debug"
)

// MinSockets is the least number of descriptors that a router works with.
const MinSockets = 64

// Limits for what the configuration leaves out.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// Limits are the limits of the router's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// errOutOfRange is the reason of a FieldError for a limit that cannot hold.
var errOutOfRange = errors.New("out of range")

// validate reports the first limit that is out of range. Zero stands for a
// limit that was left out.
func (l Limits) validate() error {
	switch {
	case !(l.Cores >= 0): // also not a number
		return &FieldError{Field: "limits.cores", Reason: errOutOfRange}
	case l.MemoryMB < 0:
		return &FieldError{Field: "limits.memory_mb", Reason: errOutOfRange}
	case l.Sockets != 0 && l.Sockets < MinSockets:
		return &FieldError{Field: "limits.sockets", Reason: errOutOfRange}
	}
	return nil
}

// setDefaults fills in the limits that were left out.
func (l *Limits) setDefaults() {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
}

// Apply sets the limits of the Go runtime. A quarter of the memory is left to
// what the runtime does not count.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}
