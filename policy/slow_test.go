package policy

import (
	"math/rand"
	"testing"
)

// slowCache plays one router before one cache of four cores, in overload, for 30 s. A hit takes base, or longer
// where it shares a core, and varies. It returns the hits a second within the aim, and the share of all answers.
func slowCache(t *testing.T, base Time) (rate, inAim float64) {
	const cores, span = 4, 30_000 * ms // a request comes each 15 ms
	b := quietBench(t, 1, nil)
	rng := rand.New(rand.NewSource(1))
	aim := b.r.classes["read"].LatencyObjective
	c := b.r.caches["c00"]
	for key := range uint64(64) {
		c.recentKeys[0][key] = true
	}
	type out struct {
		id      int64
		attempt int
		at      Time
		due     Time
	}
	var pending []out
	good, all := 0, 0
	took := func(acts []Action) {
		for _, s := range sends(acts) {
			share := max(1, float64(c.inFlight)/cores)
			due := b.now + Time(float64(base)*share*(0.75+0.6*rng.Float64()))
			pending = append(pending, out{s.ID, len(b.r.requests[s.ID].attempts) - 1, b.now, due})
		}
	}
	id := int64(0)
	for from := b.now; b.now < from+span; {
		took(b.advance(1 * ms))
		if (b.now-from)%(15*ms) == 0 {
			id++
			took(b.feed(&Request{ID: id, Class: "read", Key: uint64(id % 64), HasKey: true, Deadline: b.now + 800*ms}))
		}
		for i := 0; i < len(pending); i++ {
			if p := pending[i]; b.now >= p.due {
				pending = append(pending[:i], pending[i+1:]...)
				i--
				all++
				good += boolToInt(b.now-p.at <= aim)
				took(b.feed(&AttemptDone{ID: p.id, Attempt: p.attempt, Result: Served, Elapsed: b.now - p.at, Final: true, Load: LoadReport{Utilization: -1}}))
			}
		}
	}
	return float64(good) / (span / 1e6), float64(good) / float64(all)
}

// The danger: a cache whose hits take over half of the aim with nothing else to do is taken for crowded, and its
// limit falls until it does next to nothing.
func TestSlowCacheIsUsed(t *testing.T) {
	for _, base := range []Time{40 * ms, 75 * ms, 110 * ms, 130 * ms} {
		rate, inAim := slowCache(t, base)
		can := min(4/(1.05*float64(base)/1e6), 1000./15)
		t.Logf("%d ms a hit: %.1f a second in the aim, of %.1f that it can do; %.2f of the answers", base/ms, rate, can, inAim)
		if rate < .6*can {
			t.Errorf("%d ms a hit: %.1f a second in the aim, of %.1f that it can do", base/ms, rate, can)
		}
		if inAim < .75 {
			t.Errorf("%d ms a hit: %.2f of the answers came in the aim: it is crowded", base/ms, inAim)
		}
	}
}
