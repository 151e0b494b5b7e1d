package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// fleetDay is a stretch of service in which caches start cold while something else goes wrong. All Routers are
// real; caches, clients and discovery are as simple as they can be.
type fleetDay struct {
	name            string
	routers, caches int
	load            float64 // of what all caches can do when warm
	cold            float64 // share of the caches that starts cold at once
	tip             float64 // multiple of its present capacity at which a cold cache falls; 3 where 0
	joins           bool    // the cold ones were not listed before
	late            Time    // by which the routers hear of the start, one after the other
	restarted       float64 // share of the routers that start anew with them, with the list from before
	hot             float64 // share of all requests that are for one key whose home is cold
	flash           Time    // after the start before it is asked for at all
	hangs, fails    float64 // share of the caches that, warm, answer nothing or fail from then on
	burst           float64 // times the load, a second after the start; 1 where 0
	span            Time    // looked at after the start
	seed            int64
	large           int // caches of the day of the largest fleet; 0 where it is not played
}

const (
	fleetStart  = 4000 * ms // when the caches start, after the routers
	fleetRate   = 20.       // requests of mean work a second that a warm cache of size 1 can do
	fleetCores  = 2         // of each cache
	fleetQueue  = 8         // requests that wait at a cache at most
	clientTries = 4
	clientWait  = 100 * ms // between two tries of a client
	clientLimit = 800 * ms // for one try
)

// fleetCache is a cache of the day.
type fleetCache struct {
	Endpoint
	i       int
	busy    [fleetCores]Time // when each core will have done what it took
	arrived []arrival        // since its start
	fair    float64          // requests that were its part by what each cache could do just then
}

// arrival is work that reached a cache, done or turned away, from a router that had been told of its start or not.
type arrival struct {
	at   Time
	work float64 // in requests of mean work
	told bool
}

// capacity is how many requests of mean work a second the cache can do.
func (c *fleetCache) capacity(s *Settings, now Time) float64 {
	full := fleetRate * c.Weight
	if c.StartedAt == 0 {
		return full
	}
	return full * min(1, s.WarmupStartShare+(1-s.WarmupStartShare)*float64(now-c.StartedAt)/float64(s.WarmupTime))
}

// slack is how much of n requests beyond them is put down to chance.
func slack(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// worst is the window of TipTime in which the cache came closest to a fall, by the work in it and the budget of
// it, of those windows of which over two thirds came from routers that had been told: the others break no rule.
// What comes after a fall by others counts no more.
func (c *fleetCache) worst(s *Settings) (work, budget float64) {
	from, sum, told := 0, 0., 0.
	for _, a := range c.arrived {
		sum += a.work
		told += float64(boolToInt(a.told)) * a.work
		for ; c.arrived[from].at <= a.at-s.OverloadTime; from++ {
			old := c.arrived[from]
			sum -= old.work
			told -= float64(boolToInt(old.told)) * old.work
		}
		most := s.OverloadMultiple * c.capacity(s, max(a.at-s.OverloadTime/2, c.StartedAt)) * float64(s.OverloadTime) / 1e6
		most += slack(most)
		if a.at >= c.StartedAt+s.WarmupTime {
			break // it is warm
		}
		if 3*told > 2*sum && (budget == 0 || sum*budget > work*most) {
			work, budget = sum, most
		}
		if sum > most && 3*told <= 2*sum {
			break // it is down, and not by what routers that knew of its start sent
		}
	}
	return work, budget
}

func (d fleetDay) settings() Settings {
	s := coldSettings(d.routers)
	if d.tip > 0 {
		s.OverloadMultiple = d.tip
	}
	s.Classes = []Class{{Name: "read", Effect: Idempotent, LatencyObjective: 600 * ms, Timeout: 2000 * ms, PriorityWeight: 5}}
	return s
}

// play has the day happen and returns the caches that started, and how much of what was asked for since was
// served.
func (d fleetDay) play(t *testing.T) (cold []*fleetCache, served float64) {
	t.Helper()
	rng := rand.New(rand.NewSource(1 + d.seed))
	s := d.settings()
	begin := Time(1e9)
	now, n, starts := begin, 0, begin+fleetStart
	end := starts + d.span
	var plan agenda
	at := func(when Time, f func()) {
		if n++; when < end {
			heap.Push(&plan, due{when, n, f})
		}
	}
	var caches []*fleetCache
	byID := map[string]*fleetCache{}
	size := 0.
	for i := range d.caches {
		c := &fleetCache{Endpoint: Endpoint{ID: fmt.Sprintf("c%03d", i), Weight: []float64{1, .5, 1.5}[i%3]}, i: i}
		size += c.Weight
		caches, byID[c.ID] = append(caches, c), c
	}
	startsCold := func(c *fleetCache) bool { return float64(c.i%10) < 10*d.cold }
	in := func(c *fleetCache, from, share float64) bool { // from the end, where caches stay warm
		at := (float64(9-c.i%10) + .5) / 10
		return now >= starts && !startsCold(c) && at >= from && at < from+share
	}
	list := func(old bool) []Endpoint {
		var es []Endpoint
		for _, c := range caches {
			if e := c.Endpoint; !old || !d.joins || !startsCold(c) {
				if old {
					e.StartedAt = 0
				}
				es = append(es, e)
			}
		}
		return es
	}
	rs := make([]*Engine, d.routers)
	tries, answered, asked := map[int64]int{}, 0, 0
	keyOf := map[int64]uint64{}
	var feed func(i int, ev Event)
	id := int64(0)
	ask := func(key uint64, try int) {
		i := rng.Intn(d.routers)
		if rng.Intn(3) == 0 {
			i /= 10 // some see several times the mean
		}
		id++
		tries[id], keyOf[id] = try, key
		feed(i, &Request{ID: id, Class: "read", Key: key, HasKey: true, Deadline: now + clientLimit})
	}
	again := func(id int64) {
		key, try := keyOf[id], tries[id]+1
		if try < clientTries {
			at(now+clientWait, func() { ask(key, try) })
		}
	}
	launch := func(i int, old bool) {
		r, err := New(s, rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		rs[i] = r
		feed(i, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: list(old)})
	}
	failure := 0
	feed = func(i int, ev Event) {
		r := rs[i]
		outcome := func(after Time, o *AttemptDone) {
			at(now+after, func() {
				if rs[i] != r {
					return
				}
				if q := r.requests[o.ID]; o.Result == Served && q != nil && !q.done && now > starts {
					answered++
				}
				feed(i, o)
			})
		}
		for _, a := range r.Handle(now, ev) {
			switch a := a.(type) {
			case SetTimer:
				at(a.At, func() {
					if rs[i] == r {
						feed(i, &TimerFired{a.Token})
					}
				})
			case Reject:
				again(a.ID)
			case Fail:
				again(a.ID)
			case Cancel:
				outcome(1*ms, &AttemptDone{ID: a.ID, Attempt: a.Attempt, Result: Cancelled, Final: true})
			case Send:
				c := byID[a.Cache]
				work := .5 + rng.Float64()
				c.arrived = append(c.arrived, arrival{now, work, r.caches[a.Cache].StartedAt == c.StartedAt})
				o := &AttemptDone{ID: a.ID, Attempt: len(r.requests[a.ID].attempts) - 1, Load: LoadReport{Utilization: -1}}
				core := 0
				for k := range c.busy {
					if c.busy[k] = max(c.busy[k], now); c.busy[k] < c.busy[core] {
						core = k
					}
				}
				takes := Time(work * fleetCores * 1e6 / c.capacity(&s, now))
				switch {
				case in(c, 0, d.hangs):
					o.Result = TimedOut
					outcome(a.Deadline-now, o)
				case in(c, d.hangs, d.fails):
					failure++
					o.Result = []Result{ServerError, Rejected, ConnectionLost}[failure%3]
					outcome(2*ms, o)
				case c.busy[core] > now+fleetQueue/fleetCores*takes:
					o.Result = Rejected
					outcome(1*ms, o)
				default:
					c.busy[core] += takes
					o.Result, o.Final = Served, true
					outcome(c.busy[core]-now, o)
				}
			}
		}
	}
	for i := range rs {
		launch(i, true)
	}
	keys := rand.NewZipf(rng, 1.1, 2, 1<<20)
	hot, hotHome := uint64(0), ""
	for _, c := range list(false) { // the key is at home at the largest of those that will be cold
		if cc := byID[c.ID]; startsCold(cc) && (hotHome == "" || c.Weight > byID[hotHome].Weight) {
			hotHome = c.ID
		}
	}
	home := func(key uint64) (id string) {
		best := math.Inf(1)
		for _, c := range caches {
			if score := -math.Log(unitInterval(mix(key^hash(c.ID)))+1e-18) / c.Weight; score < best {
				best, id = score, c.ID
			}
		}
		return id
	}
	for d.hot > 0 && (hot == 0 || home(hot) != hotHome || unitInterval(mix(mix(hot)+1)) >= s.WarmupStartShare) {
		hot++
	}
	warm := 0. // of the sizes, before the start
	for _, c := range caches {
		if !d.joins || !startsCold(c) {
			warm += c.Weight
		}
	}
	var arrive func()
	arrive = func() {
		rate := d.load * fleetRate * size
		if now < starts {
			rate = d.load * fleetRate * warm
		} else {
			asked++
			all := 0.
			for _, c := range caches {
				all += c.capacity(&s, now)
			}
			for _, c := range cold {
				c.fair += c.capacity(&s, now) / all
			}
		}
		if now > starts+1000*ms && d.burst > 0 {
			rate *= d.burst
		}
		key := mix(keys.Uint64())
		if rng.Float64() < d.hot && (d.flash == 0 || now > starts+d.flash) {
			key = hot
		}
		ask(key, 0)
		at(now+Time(rng.ExpFloat64()*1e6/rate), arrive)
	}
	at(now, arrive)
	at(starts, func() {
		for _, c := range caches {
			if c.arrived = nil; startsCold(c) {
				c.StartedAt, c.busy = now, [fleetCores]Time{}
				cold = append(cold, c)
			}
		}
		for i := range rs {
			if float64(i%10) < 10*d.restarted {
				launch(i, true)
			}
			hears := Time(rng.Float64() * float64(d.late))
			at(now+hears, func() { feed(i, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: list(false)}) })
		}
	})
	for len(plan) > 0 {
		next := heap.Pop(&plan).(due)
		now = next.at
		next.f()
	}
	return cold, float64(answered) / float64(asked)
}

// The danger: what each of many routers sends a cold cache is little, and all of it pushes it over.
func TestFleetKeepsColdCachesWithinTheirBudget(t *testing.T) {
	for _, size := range []struct {
		routers, caches int // or as the day has it
		span            Time
	}{
		{2, 12, 10500 * ms}, {8, 12, 10500 * ms}, {20, 14, 10500 * ms}, {30, 20, 10500 * ms}, {80, 54, 5000 * ms},
		{300, 0, 2500 * ms},
	} {
		for _, d := range []fleetDay{
			{name: "one starts", load: .8, cold: .1},
			{name: "release", load: .5, cold: .5, large: 200},
			{name: "release, burst", load: .6, cold: .5, burst: 1.5, tip: 2},
			{name: "narrow", load: .7, cold: .3, tip: 1.5},
			{name: "hot 1%", load: .6, cold: .2, hot: .01},
			{name: "hot 3%", load: .6, cold: .2, hot: .03},
			{name: "hot 8%", load: .6, cold: .2, hot: .08, large: 200},
			{name: "hot 3%, narrow", load: .6, cold: .2, hot: .03, tip: 1.5},
			{name: "soon hot 1%", load: .6, cold: .2, hot: .01, flash: 500 * ms},
			{name: "hang", load: .6, cold: .2, hangs: .3},
			{name: "hang, narrow", load: .6, cold: .2, hangs: .3, tip: 1.5},
			{name: "fail", load: .6, cold: .2, fails: .3},
			{name: "burst", load: .8, cold: .3, burst: 1.5, tip: 2, large: 120},
			{name: "burst, hot 3%", load: .8, cold: .3, burst: 1.5, hot: .03, joins: true},
			{name: "held", load: 1.3, cold: .2, joins: true, late: 200 * ms, large: 120},
			{name: "held, tip 2", load: 1.3, cold: .2, joins: true, late: 200 * ms, tip: 2},
			{name: "held, tip 2, again", load: 1.3, cold: .2, joins: true, late: 200 * ms, tip: 2, seed: 2},
			{name: "restart", load: .6, cold: .5, restarted: .3, late: 2000 * ms},
			{name: "all", load: .6, cold: .5, restarted: .3, late: 500 * ms, hangs: .2, burst: 1.5, hot: .02, tip: 2,
				large: 200},
		} {
			if d.routers, d.caches, d.span = size.routers, size.caches, size.span; d.caches == 0 {
				if d.caches = d.large; d.large == 0 {
					continue
				}
			}
			t.Run(fmt.Sprintf("%d routers/%s", d.routers, d.name), func(t *testing.T) {
				t.Parallel()
				s := d.settings()
				cold, served := d.play(t)
				got, fair, work, budget := 0., 0., 0., 0.
				for _, c := range cold {
					got += float64(len(c.arrived))
					fair += c.fair
					w, b := c.worst(&s)
					if w > b {
						t.Errorf("%s of size %v got %.1f in %v us, more than %.1f", c.ID, c.Weight, w, s.OverloadTime, b)
					}
					if b > 0 && (budget == 0 || w*budget > work*b) {
						work, budget = w, b
					}
				}
				t.Logf("%d, %s: worst window %.1f of %.1f (%.2f), cold caches got %.2f of their part, served %.2f", d.routers,
					d.name, work, budget, work/budget, got/fair, served)
			})
		}
	}
}

// The danger: the check holds every day, as it passes over what it should see.
func TestWorstWindowOfAColdCache(t *testing.T) {
	s := coldSettings(1)
	most := s.OverloadMultiple * fleetRate * s.WarmupStartShare * 1.5 // a budget right after the start
	full := int(most + slack(most))
	for _, c := range []struct {
		name        string
		n, untold   int // requests at once right after the start, the first ones of routers that were not told
		then        int // told ones a second later
		judged, bad bool
	}{
		{"within", full, 0, 0, true, false},
		{"one more", full + 1, 0, 0, true, true},
		{"nobody was told", full + 1, full + 1, 0, false, false},
		{"over a third was not told", 41, 14, 0, false, false},
		{"nearly a third was not told", 41, 13, 0, true, true},
		{"it was down by then", 60, 60, 300, false, false},
		{"both windows count as one", full, 0, full, true, true},
	} {
		cold := fleetCache{Endpoint: Endpoint{Weight: 1, StartedAt: 1e9}}
		for i := range c.n + c.then {
			a := arrival{1e9 + 1, 1, i >= c.untold}
			if i >= c.n {
				a = arrival{1e9 + 1000*ms, 1, true}
			}
			cold.arrived = append(cold.arrived, a)
		}
		work, budget := cold.worst(&s)
		if budget > 0 != c.judged || work > budget != c.bad {
			t.Errorf("%s: worst window %v of %v", c.name, work, budget)
		}
	}
}

// The danger: in overload each router takes what is asked for as what can be done, and a cold cache gets its part
// of that.
func TestColdCacheGetsLessInOverload(t *testing.T) {
	const many = 300
	sent := func(taken Result, seen int) (n int) {
		for i := range many {
			r, err := New(coldSettings(many), uint64(i)*7919+1)
			if err != nil {
				t.Fatal(err)
			}
			es := fleet(200)
			es[3].StartedAt = 1e9
			r.Handle(1e9, &EndpointsUpdate{Kind: UpdateSnapshot, Endpoints: es})
			q := &request{Request: &Request{Key: 1, Deadline: 2e9}, class: &Class{LatencyObjective: 600 * ms}}
			for id := range 10 * goodputWindow { // one of four attempts at warm caches is served
				result := taken
				if id%4 == 0 {
					result = Served
				}
				r.updateGoodput(&attempt{cache: r.caches["c00"], sentAt: 1e9}, q, result)
			}
			r.now = 1e9 + 5000*ms
			keys := 20
			for ; keys > 0; q.Key++ {
				if h := unitInterval(mix(mix(q.Key) + 1)); seen == 1 || h < .2 { // all keys, or those it always gets
					keys--
					r.requestCounts[0], r.keyCounts[0][q.Key] = 600, seen
					n += boolToInt(r.slowStartAllows(q, r.caches["c03"]))
				}
			}
		}
		return n
	}
	for _, seen := range []int{1, 6} {
		if calm, over := sent(Served, seen), sent(Rejected, seen); over > calm/2 || over < calm/5 {
			t.Errorf("keys seen %d times: sent %d times when warm caches serve a quarter, %d when all", seen, over, calm)
		}
	}
	if calm, lost := sent(Served, 1), sent(ConnectionLost, 1); lost != calm {
		t.Errorf("sent %d times when connections broke, %d when not", lost, calm)
	}
}
