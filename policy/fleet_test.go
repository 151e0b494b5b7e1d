package policy

import (
	"fmt"
	"math"
	"testing"
)

// The tests here feed many Routers alike and add up what they do: what one may do alone, all may
// do at once.

const manyRouters = 80

// routers returns a fleet of routers that were started together.
func routers(t *testing.T, caches int) []*bench {
	t.Helper()
	s := settings()
	s.Routers, s.HealthChecksAllowed = manyRouters, false
	bs := make([]*bench, manyRouters)
	for i := range bs {
		r, err := New(s, uint64(i)*7919+1)
		if err != nil {
			t.Fatal(err)
		}
		bs[i] = &bench{t: t, r: r, now: 1e9}
		bs[i].feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: fleet(caches)})
	}
	return bs
}

// The danger: each router keeps an attempt out at a slow cache, and all of them are a crowd that keeps
// it slow.
func TestFleetsFirstLimitFitsACache(t *testing.T) {
	const span, took = 4000 * ms, 150 * ms
	out := Time(0) // time that attempts were out, over all routers
	for _, b := range routers(t, 1) {
		b.r.caches["c00"].recentKeys[0][7] = true
		busy, from := map[int64]Time{}, b.now
		for id := int64(1); b.now < from+span; id++ {
			for _, s := range sends(b.feed(&Request{ID: id, Class: "read", Key: 7, HasKey: true, Deadline: b.now + 800*ms})) {
				busy[s.ID] = b.now
			}
			b.advance(50 * ms)
			for n := id; n > id-16; n-- {
				if at, ok := busy[n]; ok && b.now >= at+took {
					delete(busy, n)
					out += b.now - at
					for _, s := range sends(b.answer(n, 0, Served, true)) {
						busy[s.ID] = b.now
					}
				}
			}
		}
	}
	if most := float64(out) / span; most > 2*initialFleetLimit {
		t.Errorf("%.0f attempts of all routers were out at a slow cache on average, more than twice %d", most, initialFleetLimit)
	}
}

// The danger: a large cache gets the same part as a small one, too little for it or too much.
func TestFirstLimitGoesBySize(t *testing.T) {
	b := quietBench(t, 2, nil)
	b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: []Endpoint{{ID: "big", Weight: 6}, {ID: "small", Weight: 2}}})
	if big, small := b.r.caches["big"].concurrencyLimit, b.r.caches["small"].concurrencyLimit; big != 3*small {
		t.Errorf("first limits of %v and %v for sizes of 6 and 2", big, small)
	}
}

// The danger: each router's burst of retries is small, and all of them outnumber the first attempts.
func TestFleetsRetryBurst(t *testing.T) {
	retries := 0
	for _, b := range routers(t, 8) {
		for id := int64(1); id <= 5; id++ {
			if b.ask(id, "read", uint64(id)) != nil {
				retries += len(sends(b.answer(id, 0, ServerError, false)))
			}
		}
	}
	if most := maxFleetRetryBurst + manyRouters*5*retryRatio; float64(retries) > most {
		t.Errorf("%d retries of all routers in one burst, more than %v", retries, most)
	}
}

// The danger: to one router of many nearly all requests are likely misses, the origin is blamed for a
// cache that stands still, and that cache is sent ever more.
func TestSilentCacheIsBlamedWhileTheOriginServes(t *testing.T) {
	for _, serves := range []bool{true, false} {
		b := quietBench(t, 8, nil)
		to := b.ask(1, "read", 1).Cache
		other := int64(2)
		for b.ask(other, "read", uint64(other)).Cache == to {
			b.settle(other, 0)
			other++
		}
		limit, fetches := b.r.caches[to].concurrencyLimit, b.r.originLimit
		b.advance(50 * ms)
		if serves {
			b.feed(&AttemptDone{ID: other, Result: Served, Final: true, Miss: true, Load: LoadReport{Utilization: -1}})
		}
		b.advance(100 * ms)
		if blamed := b.r.caches[to].concurrencyLimit < limit; blamed != serves {
			t.Errorf("origin serves others: %v, silent cache blamed: %v", serves, blamed)
		}
		if spared := b.r.originLimit < fetches; spared == serves {
			t.Errorf("origin serves others: %v, origin blamed: %v", serves, spared)
		}
	}
}

// The danger: a cut limit lets so little out that the cache's recovery goes unnoticed.
func TestPromptProbeRestoresTheFirstLimit(t *testing.T) {
	s := settings()
	s.Routers = manyRouters
	b := newBench(t, s)
	b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: fleet(3)})
	c := b.r.caches["c01"]
	for len(probes(b.advance(1*ms))) == 0 {
	}
	c.concurrencyLimit = .01
	b.feed(&HealthCheckDone{Cache: "c01", Result: Served, Elapsed: 2 * b.r.latencyThreshold})
	if c.concurrencyLimit != .01 {
		t.Errorf("a slow probe raised the limit to %v", c.concurrencyLimit)
	}
	for len(probes(b.advance(1*ms))) == 0 {
		b.spare()
	}
	b.feed(&HealthCheckDone{Cache: "c01", Result: Served, Elapsed: 5 * ms})
	if c.concurrencyLimit != b.r.initialLimit(c) {
		t.Errorf("a prompt probe left the limit at %v", c.concurrencyLimit)
	}
}

// spare lets the next round of probes start at the next beat.
func (b *bench) spare() { b.r.healthCheckBudget = float64(len(b.r.inService)) }

// The danger: after a restart most of an old list may be gone, and each request goes to caches that
// are not there until its attempts are used up, at every router.
func TestCacheOutOfReachIsPassedOver(t *testing.T) {
	refused, served := 0, 0
	for _, b := range routers(t, 8) {
		for id := int64(1); id <= 60; id++ {
			b.advance(20 * ms)
			next := sends(b.feed(&Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Deadline: b.now + 800*ms}))
			for n := 0; len(next) > 0; n++ {
				if next[0].Cache < "c06" { // gone
					refused++
					next = sends(b.answer(id, n, ConnectFailed, false))
				} else {
					served++
					b.settle(id, n)
					next = nil
				}
			}
		}
	}
	if perCache := float64(refused) / manyRouters / 6; perCache > connectFailureThreshold+1.5 {
		t.Errorf("each router asked each cache that is gone %.1f times within 1.2 s", perCache)
	}
	if served < manyRouters*20 {
		t.Errorf("only %d of %d requests found a cache", served, manyRouters*60)
	}
}

// The danger: a cache whose connections fail for a moment is never tried again, or by all at once.
func TestCacheOutOfReachIsTriedAgain(t *testing.T) {
	trials := map[Time]int{}
	for _, b := range routers(t, 1) {
		c := b.r.caches["c00"]
		for range connectFailureThreshold {
			b.r.noteConnect(c, false)
		}
		if !b.r.circuitOpen(c) {
			t.Fatal("not passed over")
		}
		trials[(c.halfOpenAt-b.now)/(50*ms)]++
		b.now = c.halfOpenAt
		if b.feed(&TimerFired{}); b.r.circuitOpen(c) {
			t.Fatal("no trial")
		}
		if b.r.noteConnect(c, true); b.r.circuitOpen(c) {
			t.Fatal("passed over though it was reached")
		}
	}
	for at, n := range trials {
		if n > manyRouters/4 {
			t.Errorf("%d of %d routers try again within 50 ms of %d ms", n, manyRouters, at*50)
		}
	}
}

// The danger: each of many routers sends a cache that hangs one attempt after the other to halve its limit.
func TestFleetLeavesASilentCacheAtOnce(t *testing.T) {
	late, elsewhere := 0, 0
	for _, b := range routers(t, 8) {
		c := b.r.caches["c03"]
		b.r.eject(c)
		for id := int64(1); id <= 300; id++ {
			b.advance(10 * ms)
			if s := b.ask(id, "read", uint64(id)); s != nil && s.Cache == "c03" {
				late++
				b.answer(id, 0, ServerError, true)
			} else if s != nil {
				elsewhere++
				b.settle(id, 0)
			}
		}
	}
	if late > manyRouters {
		t.Errorf("%d attempts of %d routers went to a silent cache within 3 s", late, manyRouters)
	}
	if elsewhere < manyRouters*250 {
		t.Errorf("only %d of %d requests were sent elsewhere", elsewhere, manyRouters*300)
	}
	b := routers(t, 2)[0]
	c := b.r.caches["c00"]
	b.r.eject(c)
	for key := int64(1); c.ejected && key < 400; key++ {
		b.r.caches["c01"].healthy = false // so that c00 is used anyway
		b.advance(100 * ms)
		if s := b.ask(key, "read", uint64(key)); s != nil {
			b.settle(key, 0)
		}
	}
	if c.ejected || c.concurrencyLimit < b.r.initialLimit(c)/2 {
		t.Errorf("after an answer ejected is %v, the limit %v", c.ejected, c.concurrencyLimit)
	}
}

// The danger: what each router has saved up for a cache while it had nothing for it is spent by all at
// once when keys move there.
func TestFleetSavesUpLittleForACache(t *testing.T) {
	atOnce, soon := 0, 0
	for _, b := range routers(t, 1) {
		b.advance(5000 * ms)
		b.r.caches["c00"].recentKeys[0][7] = true
		for id := int64(1); id <= 3; id++ {
			if b.ask(id, "read", 7) != nil {
				atOnce++
			}
		}
		b.advance(60 * ms)
		soon += len(sends(b.answer(1, 0, Served, true)))
	}
	if atOnce > manyRouters || soon > 0 {
		t.Errorf("%d attempts of %d routers at once, %d more 60 ms later", atOnce, manyRouters, soon)
	}
}

// The danger: to one router of many the others' verdicts, good or bad, outweigh what it learnt of a cache.
func TestFleetPoolsAboveTheFirstLimit(t *testing.T) {
	r := routers(t, 12)[0].r
	high, low := r.caches["c00"], r.caches["c01"]
	first := r.initialLimit(high)
	high.concurrencyLimit, low.concurrencyLimit = 3*first, first/4
	for range 1000 {
		r.adjustAllLimits(false)
	}
	if high.concurrencyLimit != first {
		t.Errorf("bad verdicts on others took a limit to %v, not to the first of %v", high.concurrencyLimit, first)
	}
	for range 1000 {
		r.adjustAllLimits(true)
	}
	if low.concurrencyLimit != first/4 {
		t.Errorf("good verdicts on others took a cut limit to %v", low.concurrencyLimit)
	}
}

// The danger: sums in the order of a map differ by a rounding, and two like routers act differently.
func TestMeanSizeHasOneOrder(t *testing.T) {
	es := fleet(40)
	for i := range es {
		es[i].Weight = 1 / float64(i+3)
	}
	var want float64
	for i := range 20 {
		b := quietBench(t, 1, nil)
		b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
		if i == 0 {
			want = b.r.meanWeight
		} else if b.r.meanWeight != want {
			t.Fatalf("mean size %v, before it was %v", b.r.meanWeight, want)
		}
	}
}

// The danger: where many answers wait for the origin, a limit that was cut never gets up again.
func TestMissInTimeRaisesItsCachesLimit(t *testing.T) {
	for _, miss := range []bool{true, false} {
		b := routers(t, 8)[0]
		c := b.r.caches[b.ask(1, "read", 1).Cache]
		b.advance(b.r.latencyThreshold + 20*ms)
		limit := c.concurrencyLimit
		b.feed(&AttemptDone{ID: 1, Result: Served, Final: true, Miss: miss, Load: LoadReport{Utilization: -1}})
		if rose := c.concurrencyLimit > limit; rose != miss {
			t.Errorf("miss: %v, limit rose: %v (%v to %v)", miss, rose, limit, c.concurrencyLimit)
		}
	}
}

// The danger: two requests for a key among the few that one router of many sees make it look hot, all
// routers spread it, and it misses wherever it goes.
func TestFleetSpreadsWhatIsSurelyHot(t *testing.T) {
	seldom, often := map[string]bool{}, map[string]bool{}
	for _, b := range routers(t, 40) {
		id := int64(0)
		ask := func(key uint64, at map[string]bool) {
			id++
			b.advance(400 * ms)
			if s := b.ask(id, "read", key); s != nil {
				at[s.Cache] = true
				b.settle(id, 0)
			}
		}
		for n := range 20 {
			key := uint64(n) + 100
			if n%10 == 0 {
				key = 7
			}
			ask(key, map[string]bool{})
		}
		ask(7, seldom)
		for range 20 {
			ask(8, often)
		}
	}
	if len(seldom) > 1 {
		t.Errorf("a key seen three times was spread over %d caches", len(seldom))
	}
	if len(often) < 10 {
		t.Errorf("a key that half of all requests are for was spread over %d caches", len(often))
	}
}

// listed has the list say that one cache has so much of its size left.
func (b *bench) listed(cache string, left float64) {
	es := fleet(len(b.r.inService))
	for i := range es {
		if es[i].ID == cache {
			es[i].Weight *= left
		}
	}
	b.feed(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: es})
}

// The danger: each of many routers learns of a crowd at a cache by sending it one more attempt.
func TestFleetTakesKeysOffACrowdedCache(t *testing.T) {
	const home = "c03"
	id := int64(0)
	share := func(bs []*bench) float64 {
		asked, sent := 0, 0
		for _, b := range bs {
			for key := uint64(1); key <= 40; key++ {
				if b.r.rank(key); b.r.ranking.At(0).ID != home {
					continue
				}
				b.now += 50 * ms
				asked++
				b.r.keyCounts, b.r.requestCounts = [2]map[uint64]int{{}, {}}, [2]int{}
				id++
				if s := b.ask(id, "read", key); s != nil {
					if s.Cache == home {
						sent++
					}
					b.settle(id, 0)
				}
			}
		}
		return float64(sent) / float64(asked)
	}
	bs := routers(t, 8)
	for _, b := range bs {
		b.r.settings.LiveWeights = true
	}
	if got := share(bs); got < .95 {
		t.Fatalf("%.2f of a cache's keys went there before it was crowded", got)
	}
	for _, b := range bs {
		b.listed(home, .05) // it holds 19 requests for each core
	}
	if got := share(bs); got > .3 {
		t.Errorf("%.2f of a crowded cache's keys still went there", got)
	}
	for _, b := range bs {
		b.listed(home, 1)
		b.advance(10000 * ms)
		b.listed(home, 1)
	}
	if got := share(bs); got < .95 {
		t.Errorf("%.2f of a cache's keys came back after the crowd", got)
	}
}

// The danger: each of many routers learns of a crowd from each cache apart, and the clients' retries, sent
// on like first tries, keep the crowd up.
func TestFleetSendsOnWhatComesBackInTime(t *testing.T) {
	bs := routers(t, 40)
	sent := func(base int64, answered bool) float64 {
		n := 0
		for _, b := range bs {
			for id := base; id < base+100; id++ {
				if s := b.ask(id, "read", uint64(id)); s != nil {
					n++
					if answered {
						b.settle(id, 0)
					}
				}
				b.advance(20 * ms)
			}
		}
		return float64(n) / float64(100*len(bs))
	}
	if got := sent(1000, true); got < .95 {
		t.Fatalf("%.2f of the requests were sent on while all came back in time", got)
	}
	sent(2000, false)
	atOnce := 0
	for _, b := range bs {
		for id := int64(3000); id < 3050; id++ {
			b.ask(id, "read", uint64(id))
			atOnce += finals(b.acts)
		}
	}
	if atOnce < len(bs)*20 {
		t.Errorf("%d of %d requests were refused at once when none had come back for 2 s", atOnce, len(bs)*50)
	}
	for _, b := range bs {
		if b.advance(30000 * ms); b.r.currentAdmission() < 1 {
			t.Fatal("a router that was asked nothing for 30 s still sends on only a part")
		}
	}
}

// The danger: a request that no cache is open to is held, for nothing, and the client's retries pile up.
func TestShutKeyIsRefusedAtOnce(t *testing.T) {
	refused := 0
	for _, b := range routers(t, 8) {
		b.r.settings.LiveWeights = true
		es := fleet(8)
		for range 20 {
			for i := range es {
				es[i].Weight /= 2
			}
			b.feed(&EndpointsUpdate{Kind: UpdateDelta, Endpoints: es})
		}
		for id := int64(1); id <= 10; id++ {
			if b.ask(id, "read", uint64(id)); finals(b.acts) == 1 {
				refused++
			}
		}
	}
	if refused < 10*manyRouters*8/10 {
		t.Errorf("%d of %d requests were refused at once while all caches were crowded", refused, 10*manyRouters)
	}
}

// The danger: clients' retries of what is refused at once pay for probes, and a crowded fleet is probed most.
func TestRefusedAtOnceEarnNoProbes(t *testing.T) {
	b := routers(t, 8)[0]
	b.r.admissionRatio, b.r.admissionRatioAt = 0, b.now
	before := b.r.healthCheckBudget
	for id := int64(1); id <= 50; id++ {
		b.ask(id, "read", uint64(id))
	}
	if b.r.healthCheckBudget != before {
		t.Errorf("50 requests refused at once earned %v probes", b.r.healthCheckBudget-before)
	}
}

// The danger: all is late for a while as the origin is slow, next to nothing is sent on, and by the time the
// origin is well the caches have lost their keys.
func TestFleetKeepsAPartSentOn(t *testing.T) {
	sent := 0
	for _, b := range routers(t, 40) {
		for range 200 {
			b.r.updateAdmission(false)
		}
		for id := int64(1); id <= 20; id++ {
			if b.ask(id, "read", uint64(id)) != nil {
				sent++
				b.settle(id, 0)
			}
		}
	}
	if sent < 20*manyRouters/10 {
		t.Errorf("%d of %d requests were sent on after a time in which all was late", sent, 20*manyRouters)
	}
}

// The danger: a router without a descriptor to probe a cache with takes it for dead.
func TestProbeNotSentIsNoFailure(t *testing.T) {
	b := newBench(t, settings())
	b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: fleet(3)})
	b.rounds(3*unhealthyThreshold, "c01", result(NotSent))
	if c := b.r.caches["c01"]; !c.healthy || c.failedChecks > 0 {
		t.Errorf("healthy is %v after probes that were not sent, %d count as failed", c.healthy, c.failedChecks)
	}
}

// The danger: machines come and go, and memory grows with their names.
func TestGoneCachesAreForgotten(t *testing.T) {
	b := quietBench(t, 3, nil)
	for i := range 200 {
		es := append(fleet(3), Endpoint{ID: fmt.Sprint("new", i), Weight: 1})
		b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
		if s := b.ask(int64(i), "read", uint64(i)); s != nil {
			b.settle(int64(i), 0)
		}
		b.advance(1000 * ms)
	}
	if n := len(b.r.caches); n > 20 {
		t.Errorf("%d caches are remembered, of which 4 are listed", n)
	}
}

// The danger: what cold caches have lost is asked of the origin at once, all misses are late, and the routers
// refuse the hits with them.
func TestLateMissesOfAColdFleetShutOutNoHits(t *testing.T) {
	for _, c := range []struct {
		cold, hits bool
		want       bool // nearly all keys are still sent on
	}{{true, true, true}, {false, true, false}, {true, false, false}} {
		sum := 0.0
		for _, b := range routers(t, 40) {
			es := fleet(40)
			for i := range es {
				if c.cold && i%2 == 0 {
					es[i].StartedAt = b.now
				}
			}
			b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
			b.r.originLimit = math.Inf(1) // limits are not what is looked at
			for _, c := range b.r.inService {
				c.concurrencyLimit = math.Inf(1)
			}
			for id := int64(1); id <= 100; id++ {
				if b.ask(id, "read", uint64(id)) != nil && c.hits && id%2 == 0 {
					b.settle(id, 0) // every other one is a hit, the rest wait for the origin
				}
				b.advance(20 * ms)
			}
			sum += b.r.currentAdmission()
		}
		if mean := sum / manyRouters; mean > .9 != c.want {
			t.Errorf("cold %v, prompt hits %v: %.2f of the keys are sent on", c.cold, c.hits, mean)
		}
	}
}
