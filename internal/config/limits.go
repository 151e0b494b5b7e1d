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

// bytesOutsideHeap is the memory of the process that the Go runtime does not count:
// pages of the program and its libraries, and the stacks of threads.
const bytesOutsideHeap = 9 << 20

// HeapLimit returns how many bytes the Go runtime may use: what is left of the
// memory beside the program itself, and at most three quarters of it.
func (l Limits) HeapLimit() int64 {
	total := l.MemoryMB << 20
	return max(min(total-bytesOutsideHeap, total*3/4), total/2)
}

const (
	// memoryPerTrackedKey is the ratio of the memory in bytes to the number of keys that the policy may track.
	memoryPerTrackedKey = 2 << 10
	// TrackedKeyBytes is the memory in bytes for each key that the policy may track, in two windows of two kinds.
	TrackedKeyBytes = 128
)

// MaxTrackedKeys returns how many keys the policy may track.
func (l Limits) MaxTrackedKeys() int { return int(l.MemoryMB << 20 / memoryPerTrackedKey) }

// Apply configures the Go runtime for the limits.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(l.HeapLimit())
}
