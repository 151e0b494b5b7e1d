// The origin: what it likely has to serve, and how much of that is let out.

package policy

const (
	leastFetches    = 1   // likely misses that one router may have out, at least
	originTolerated = .15 // share of overdue likely misses that their limit bears: the origin is slow to recover
	originShare     = .65 // of the aim after which a likely miss speaks against the origin
	missWindow      = 64  // likely misses over which the share of true ones fades
)

// fetch reports whether the origin likely has to serve a read that is sent to the cache.
func (r *Engine) fetch(q *request, c *cache) bool { return !q.Write && !c.knows(q.Key) }

// knows reports whether the cache has answered for the key lately, so that it likely keeps it.
func (c *cache) knows(key uint64) bool { return c.keeps[0][key] || c.keeps[1][key] }

func (r *Engine) originIdles() bool { return float64(r.fetching) < r.fetches/2 }

// fetchTime is how long a likely miss may take before it speaks against the origin. The danger: where
// misses are slow by themselves, fewer of them are no faster, and the limit finds no rest until
// nothing is fetched. Once all routers together have one out at each cache, it may take its whole aim.
func (r *Engine) fetchTime(q *request, c *cache) Time {
	if r.fetches <= float64(len(r.ready))*r.alone() {
		return q.class.LatencyObjective
	}
	slow := r.patienceAt(c, q.class) - q.class.patience()
	return min(q.class.LatencyObjective, Time(originShare*float64(q.class.LatencyObjective))+slow)
}

// overdue blames a late attempt on the origin if it is a likely miss and the cache answered the
// last likely hit in time, else on the cache. The danger: an origin that is asked for too much serves all of
// it late, writes too, and goes on with work that nobody waits for; a cache likewise.
func (r *Engine) overdue(q *request, n int) {
	a := &q.attempts[n]
	c := a.to
	if a.fetch && c.prompt && r.now >= c.warmAt { // a cold one is slow itself and has few hits
		r.at(a.sent+r.fetchTime(q, c), func() {
			a := &q.attempts[n]
			switch {
			case !a.pending:
			case c.answered <= a.sent && r.fetched > a.sent:
				// The danger: one router of many knows few keys, and nearly all that a stuck cache
				// leaves lying counts as a likely miss. The origin has served others meanwhile.
				r.eject(c)
			default:
				r.adjust(&r.fetches, false, originTolerated)
				r.fetches = max(1, r.fetches)
			}
		})
		return
	}
	c.prompt = false
	if c.limit > r.alone() {
		r.pool(false)
		r.adjust(&c.limit, false, tolerated)
		return
	}
	// The danger: where all caches are slow by themselves, less load makes none of them faster,
	// and a share of nothing is served. Alone, an attempt may take its whole aim.
	r.at(a.sent+q.class.LatencyObjective, func() {
		if q.attempts[n].pending {
			r.adjust(&c.limit, false, tolerated)
		}
	})
}
