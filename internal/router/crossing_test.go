package router

import (
	"testing"

	"starlingwinch/decide"
)

// TestProbeEndsWhenTheSettingsSay, not after a time that suits one site.
func TestProbeEndsWhenTheSettingsSay(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Settings.DrainGrace = 40_000_000 })
	r.do(func() {
		r.l.perform(decide.Probe{Cache: "c1"})
		if a := r.l.upstreams["c1"].waiting[0]; a.stopAt-a.sent != 20_000_000 {
			t.Errorf("a probe may take %d", a.stopAt-a.sent)
		}
	})
}
