package config

import (
	"errors"
	"math"
	"runtime"
	"runtime/debug"
)

// MinSockets is the smallest number of file descriptors with which a router works.
const MinSockets = 64

// Defaults of the limits.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// Limits holds the resources of the machine that the router may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// errOutOfRange is the reason in a FieldError for an invalid limit.
var errOutOfRange = errors.New("out of range")

// validate returns a *FieldError for the first limit that is out of range. Zero
// stands for a limit that the configuration omits.
func (l Limits) validate() error {
	switch {
	case !(l.Cores >= 0): // also true for NaN
		return &FieldError{Field: "limits.cores", Reason: errOutOfRange}
	case l.MemoryMB < 0:
		return &FieldError{Field: "limits.memory_mb", Reason: errOutOfRange}
	case l.Sockets != 0 && l.Sockets < MinSockets:
		return &FieldError{Field: "limits.sockets", Reason: errOutOfRange}
	}
	return nil
}

// setDefaults sets the limits that the configuration omits. An omitted number of
// cores stays 0, for which Apply uses one.
func (l *Limits) setDefaults() {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
}

// Apply configures the Go runtime for the limits. Its memory limit is three
// quarters of the memory; the rest is for memory that the runtime does not
// count.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}
