package policy

import "testing"

// Each log line is a message followed by its attributes as key=value.
func TestLogLines(t *testing.T) {
	h := newEngineHarness(t, testSettings())
	h.handle(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: testEndpoints(2)})
	c := h.engine.caches["c01"]
	for _, line := range []struct {
		want    string
		trigger func()
	}{
		{"cache health changed cache=c01 healthy=false failed_checks=2", func() {
			c.failedChecks = unhealthyThreshold
			h.engine.setHealthy(c, false)
		}},
		{"zone unreachable zone=b connect_failures=3", func() {
			for range zoneFailureThreshold + 2 { // logged once
				h.engine.recordConnect(c, false)
			}
		}},
		{"endpoint list poll failed failed_polls=1", func() {
			for range 3 { // logged once
				h.engine.updateEndpoints(&EndpointsUpdate{Kind: UpdateFailed})
			}
		}},
		{"load shedding active=true cache_full=2 origin_full=1", func() {
			h.engine.shedCacheFull, h.engine.shedOriginFull = 2, 1
			h.engine.rotateCounts()
		}},
		{"load shedding active=false cache_full=0 origin_full=0", func() { h.engine.rotateCounts() }},
	} {
		h.engine.actions = nil
		line.trigger()
		if got := logText(h.engine.actions); got != line.want {
			t.Errorf("logged %q, want %q", got, line.want)
		}
	}
}
