package router

import (
	"log/slog"
	"runtime/metrics"
)

// Names of the runtime's metrics that are logged.
const (
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricStacks   = "/memory/classes/heap/stacks:bytes"
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricGCCycles = "/gc/cycles/total:gc-cycles"
	metricGCTime   = "/cpu/classes/gc/total:cpu-seconds"
)

// runtimeMemory is what the Go runtime uses, and what its garbage collector has done.
type runtimeMemory struct {
	objects  uint64 // bytes of objects that are reachable or have not been collected
	stacks   uint64 // bytes of goroutines' stacks
	resident uint64 // bytes that the runtime holds, without those that it has returned to the system
	cycles   uint64 // of the garbage collector
	gcTime   float64
}

func readRuntimeMemory() runtimeMemory {
	samples := []metrics.Sample{
		{Name: metricObjects}, {Name: metricStacks}, {Name: metricTotal}, {Name: metricReleased}, {Name: metricGCCycles},
		{Name: metricGCTime},
	}
	metrics.Read(samples)
	count := func(i int) uint64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0 // the runtime does not have the metric any more
		}
		return samples[i].Value.Uint64()
	}
	m := runtimeMemory{objects: count(0), stacks: count(1), resident: count(2) - count(3), cycles: count(4)}
	if samples[5].Value.Kind() == metrics.KindFloat64 {
		m.gcTime = samples[5].Value.Float64()
	}
	return m
}

// LogValue implements slog.LogValuer.
func (m runtimeMemory) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Uint64("objects", m.objects),
		slog.Uint64("stacks", m.stacks),
		slog.Uint64("resident", m.resident),
		slog.Uint64("gc_cycles", m.cycles),
		slog.Float64("gc_seconds", m.gcTime),
	)
}
