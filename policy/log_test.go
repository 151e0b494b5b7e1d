package policy

import "testing"

// Each log line is a message followed by its attributes as key=value.
func TestLogLines(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: fleet(2)})
	c := b.r.caches["c01"]
	for _, line := range []struct {
		want  string
		cause func()
	}{
		{"cache health changed cache=c01 healthy=false failed_checks=2", func() {
			c.failedChecks = unhealthyThreshold
			b.r.setHealthy(c, false)
		}},
		{"zone unreachable zone=b connect_failures=3", func() {
			for range zoneFailureThreshold + 2 { // logged once
				b.r.noteConnect(c, false)
			}
		}},
		{"endpoint list poll failed failed_polls=1", func() {
			for range 3 { // logged once
				b.r.updateEndpoints(&EndpointsUpdate{Kind: UpdateFailed})
			}
		}},
		{"load shedding active=true cache_full=2 origin_full=1", func() {
			b.r.shedByCaches, b.r.shedByOrigin = 2, 1
			b.r.rotateCounts()
		}},
		{"load shedding active=false cache_full=0 origin_full=0", func() { b.r.rotateCounts() }},
	} {
		b.r.actions = nil
		line.cause()
		if got := logs(b.r.actions); got != line.want {
			t.Errorf("logged %q, want %q", got, line.want)
		}
	}
}
