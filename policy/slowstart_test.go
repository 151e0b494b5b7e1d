package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// coldDay is a stretch of service in which a part of the caches starts cold at once. All Routers are real;
// caches and clients are as simple as they can be.
type coldDay struct {
	routers, caches int
	cold            float64 // share of the caches that starts anew
	load            float64 // of what all caches can do when warm
	late            Time    // by which the routers hear of the start, one after the other
	fresh           float64 // share of the routers that start anew with them
	zipf            float64 // how uneven the keys are
}

const (
	coldStart  = 4000 * ms // when the caches start, after the routers
	coldSpan   = 3500 * ms // how long they are looked at
	cacheRate  = 20.       // requests a second that a warm cache of size 1 can do
	cacheQueue = 300 * ms  // of work that a cache lets wait
)

// coldCache is a cache of the day.
type coldCache struct {
	Endpoint
	busyTo Time // when it will have done what it took
	sends  []coldSend
	served int
}

// coldSend is one sending to it, by a router that had been told of its start or not.
type coldSend struct {
	at   Time
	told bool
}

func (c *coldCache) rate(s *Settings, now Time) float64 {
	rate := cacheRate * c.Weight
	if c.StartedAt > 0 {
		rate *= min(1, s.WarmupStartShare+(1-s.WarmupStartShare)*float64(now-c.StartedAt)/float64(s.WarmupTime))
	}
	return rate
}

// worst is the window of TipTime in which most was sent to the cache, against what it may be sent in it: a
// multiple of what it can do, and a little for chance. Windows in which over a third came from routers that could
// not know of its start do not count.
func (c *coldCache) worst(s *Settings) (worst, budget float64) {
	from, told := 0, 0
	for i, sent := range c.sends {
		at := sent.at
		told += boolToInt(sent.told)
		for ; c.sends[from].at <= at-s.OverloadTime; from++ {
			told -= boolToInt(c.sends[from].told)
		}
		if 3*told < 2*(i-from+1) {
			continue
		}
		most := s.OverloadMultiple * c.rate(s, max(at-s.OverloadTime/2, c.StartedAt)) * float64(s.OverloadTime) / 1e6
		most += math.Sqrt(most)
		if sent := float64(i - from + 1); budget == 0 || sent/most > worst/budget {
			worst, budget = sent, most
		}
	}
	return worst, budget
}

func coldSettings(routers int) Settings {
	s := settings()
	s.Routers, s.HealthChecksAllowed, s.OverloadMultiple = routers, false, 3
	s.WarmupTime, s.WarmupStartShare, s.OverloadTime, s.DrainGrace = 9000*ms, .31, 1500*ms, 1500*ms
	return s
}

// agenda holds what is to happen, by time.
type agenda []due

type due struct {
	at Time
	n  int // equal times keep their order
	f  func()
}

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	d := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return d
}

// play has the day happen. It returns the caches that started, and how many requests of that time were
// served, of how many.
func (d coldDay) play(t *testing.T) (cold []*coldCache, served, asked int) {
	t.Helper()
	rng := rand.New(rand.NewSource(1))
	s := coldSettings(d.routers)
	now, n := Time(1e9), 0
	end := now + coldStart + coldSpan
	var plan agenda
	at := func(when Time, f func()) {
		if n++; when < end {
			heap.Push(&plan, due{when, n, f})
		}
	}
	caches, entries := map[string]*coldCache{}, []Endpoint{}
	size := 0.
	for i := range d.caches {
		e := Endpoint{ID: fmt.Sprintf("c%03d", i), Weight: []float64{1, .5, 1.5}[i%3]}
		size += e.Weight
		caches[e.ID], entries = &coldCache{Endpoint: e}, append(entries, e)
	}
	rs := make([]*Engine, d.routers)
	var feed func(i int, ev Event)
	start := func(i int) {
		r, err := New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		rs[i] = r
		feed(i, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: entries})
	}
	feed = func(i int, ev Event) {
		r := rs[i]
		for _, a := range r.Handle(now, ev) {
			switch a := a.(type) {
			case SetTimer:
				at(a.At, func() {
					if rs[i] == r {
						feed(i, &TimerFired{a.Token})
					}
				})
			case Send:
				c := caches[a.Cache]
				c.sends = append(c.sends, coldSend{now, r.caches[a.Cache].StartedAt == c.StartedAt})
				c.busyTo = max(c.busyTo, now)
				o := &AttemptDone{ID: a.ID, Attempt: len(r.requests[a.ID].attempts) - 1, Result: Rejected, Load: LoadReport{Utilization: -1}}
				wait := Time(1 * ms)
				if c.busyTo < now+cacheQueue {
					c.busyTo += Time(1e6 / c.rate(&s, now))
					o.Result, o.Final, wait = Served, true, max(c.busyTo-now, 20*ms)
				}
				at(now+wait, func() {
					if rs[i] != r {
						return
					}
					if q := r.requests[o.ID]; o.Final && q != nil && !q.done {
						c.served++
						if now > end-coldSpan {
							served++
						}
					}
					feed(i, o)
				})
			}
		}
	}
	for i := range rs {
		start(i)
	}
	keys := rand.NewZipf(rng, d.zipf, 2, 1<<20)
	id := int64(0)
	gap := 1e6 / (d.load * cacheRate * size)
	var arrive func()
	arrive = func() {
		id++
		if now > end-coldSpan {
			asked++
		}
		i := rng.Intn(d.routers)
		if rng.Intn(3) == 0 {
			i /= 10 // some see several times the mean
		}
		feed(i, &Request{ID: id, Class: "read", Key: mix(keys.Uint64()), HasKey: true, Deadline: now + 800*ms})
		at(now+Time(rng.ExpFloat64()*gap), arrive)
	}
	at(now, arrive)
	at(now+coldStart, func() {
		for i := range entries {
			if e := &entries[i]; float64(i%10) < 10*d.cold {
				e.StartedAt = now
				c := caches[e.ID]
				c.StartedAt, c.sends, c.busyTo, c.served = now, nil, now, 0
				cold = append(cold, c)
			}
		}
		for i := range rs {
			if float64(i%10) < 10*d.fresh {
				start(i)
			} else {
				at(now+Time(rng.Float64()*float64(d.late)), func() { feed(i, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: entries}) })
			}
		}
	})
	for len(plan) > 0 {
		next := heap.Pop(&plan).(due)
		now = next.at
		next.f()
	}
	return cold, served, asked
}

// The danger: what each of many routers sends a cold cache is little, and all of it pushes it over.
func TestFleetSparesColdCaches(t *testing.T) {
	for _, d := range []coldDay{
		{routers: 300, caches: 200, cold: .6, load: .4, zipf: 1.1},
		{routers: 300, caches: 200, cold: .1, load: .8, zipf: 1.1},
		{routers: 300, caches: 200, cold: .6, load: .4, zipf: 1.1, late: 1000 * ms},
		{routers: 350, caches: 200, cold: .6, load: .5, zipf: 1.2, fresh: .7},
		{routers: 350, caches: 600, cold: .6, load: .5, zipf: 1.1},
		{routers: 350, caches: 12, cold: .3, load: 1.2, zipf: 1.1},
		{routers: 60, caches: 60, cold: .6, load: .5, zipf: 1.1},
		{routers: 60, caches: 60, cold: 1, load: .5, zipf: 1.1, fresh: 1},
		{routers: 2, caches: 12, cold: .6, load: 1, zipf: 1.1},
	} {
		t.Run(fmt.Sprintf("%+v", d), func(t *testing.T) {
			t.Parallel()
			s := coldSettings(d.routers)
			cold, served, asked := d.play(t)
			did, could := 0., 0.
			for _, c := range cold {
				if worst, budget := c.worst(&s); worst > budget {
					t.Errorf("%s of size %v was sent %.0f in %v us, more than %.0f", c.ID, c.Weight, worst, s.OverloadTime, budget)
				}
				did += float64(c.served)
				could += c.rate(&s, c.StartedAt+coldSpan/2) * coldSpan / 1e6
			}
			t.Logf("cold caches did %.2f of what they could; %d of %d requests were served", did/could, served, asked)
			if did < could*d.load/8 {
				t.Errorf("cold caches did %.2f of what they could at a load of %v", did/could, d.load)
			}
		})
	}
}

// The danger: all that is asked for twice is kept off cold caches, by some routers and not by others, and is
// fetched at two places.
func TestColdCacheGetsItsPartOfAKey(t *testing.T) {
	const many = 300
	for _, c := range []struct {
		seen      int // requests of 600 that were for the key
		low, high int // routers of many that send the next one to the cold cache
	}{{1, many, many}, {2, many / 3, many * 6 / 10}, {6, many / 10, many / 5}, {60, 0, many / 20}} {
		sent := 0
		for i := range many {
			r, err := New(coldSettings(many), uint64(i)*7919+1)
			if err != nil {
				t.Fatal(err)
			}
			es := fleet(200)
			es[3].StartedAt = 1e9
			r.Handle(1e9, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
			key := uint64(1)
			for unitInterval(mix(mix(key)+1)) >= r.settings.WarmupStartShare {
				key++ // of those that any cold cache may have
			}
			r.requestCounts[0], r.keyCounts[0][key] = 600, c.seen
			q := &request{Request: &Request{Key: key, Deadline: 2e9}, class: &Class{}}
			sent += boolToInt(r.slowStartAllows(q, r.caches["c03"]))
		}
		if sent < c.low || sent > c.high {
			t.Errorf("a key seen %d times: %d of %d routers send it to a cold cache, want %d to %d", c.seen, sent, many,
				c.low, c.high)
		}
	}
}

// The danger: a start that is dated in the future, told again or told late shuts a warm cache out, or lets a
// cold one in.
func TestStartsAsListsTellThem(t *testing.T) {
	const told = 1000 * ms // since the start of the clock of the test
	for _, c := range []struct {
		name   string
		starts []Time // one a second, from told on
		warmAt Time   // or 0 where it is not cold
	}{
		{"in the future", []Time{told + 60000*ms}, told + 10000*ms},
		{"in the future, told again", []Time{told + 60000*ms, told + 60000*ms, told + 60000*ms}, told + 10000*ms},
		{"told again", []Time{told, told, told, told}, told + 10000*ms},
		{"told late", []Time{told - 4000*ms}, told + 6000*ms},
		{"told when it is warm", []Time{told - 11000*ms}, 0},
		{"an older one told after it", []Time{told, told - 8000*ms}, told + 10000*ms},
		{"a second one", []Time{told, told + 1000*ms}, told + 11000*ms},
	} {
		b := quietBench(t, 3, nil)
		es, zero := fleet(3), b.now
		b.now += told
		for _, at := range c.starts {
			es[1].StartedAt = zero + at
			b.feed(&EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
			b.now += 1000 * ms
		}
		cold := b.r.caches["c01"]
		if got := cold.warmAt - zero; got != c.warmAt && (c.warmAt > 0 || cold.warmAt > b.now) {
			t.Errorf("%s: cold until %d ms, not %d", c.name, got/ms, c.warmAt/ms)
		}
	}
}
