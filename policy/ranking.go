// The ranking of the caches for a key, by rendezvous hashing, as far as a pick needs it.

package policy

import (
	"math"
	"slices"
	"sort"

	"marlstage/internal/partialsort"
	"marlstage/internal/splitmix"
)

const (
	rankedPrefix = 16    // caches that are ranked for a request at once
	minUnit      = 1e-18 // keeps the logarithm of a hash finite

	unitRounding = 1e-12 // more than what rounding can change about a cutoff
)

// score is what a cache ranks by for a key; the lowest ranks first. unit is the hash of both, from 0 to 1.
func (c *cache) score(unit float64) float64 { return -math.Log(unit+minUnit) / c.Weight }

// cutoff returns a hash, from 0 to 1, below which no cache of the weight scores less than the limit.
func cutoff(limit, weight float64) float64 {
	return math.Exp(-limit*weight)*(1-unitRounding) - minUnit
}

// rankCaches returns the caches of the first ranks for a key. All routers agree on the order.
func (e *Engine) rankCaches(key uint64, count int) []*cache {
	first := &e.ranking
	first.Reset(count)
	for _, group := range e.groups.groups {
		lowest := cutoff(first.Limit(), group.maxWeight)
		for i, hash := range group.hashes {
			unit := splitmix.Unit(mix(key ^ hash))
			if unit < lowest {
				continue
			}
			c := group.caches[i]
			if first.Add(c, c.score(unit)) {
				lowest = cutoff(first.Limit(), group.maxWeight)
			}
		}
	}
	return slices.Clone(first.Elements())
}

// rankedFor returns the caches of the first ranks for a request, as many as asked for or more. They are kept
// until the caches in service or their weights change.
func (e *Engine) rankedFor(req *request, count int) []*cache {
	count = min(count, len(e.inService))
	if req.rankedVersion != e.rankingVersion || len(req.ranked) < count {
		req.ranked, req.rankedVersion = e.rankCaches(req.Key, max(count, rankedPrefix)), e.rankingVersion
	}
	return req.ranked
}

// search looks for the next caches in the ranking for a request that a pick would consider, among those
// behind the first ranks.
type search struct {
	engine     *Engine
	request    *request
	ranked     []*cache                    // the first ranks
	considered *partialsort.Lowest[*cache] // the first caches that would be considered
	unreached  *partialsort.Lowest[*cache] // the first cache with an open circuit that has capacity
}

// searchRanking returns the next caches in the ranking that a pick could use, in order: as many as it would
// consider, and the first one with an open circuit that has capacity.
func (e *Engine) searchRanking(req *request, ranked []*cache, count int) []*cache {
	s := &search{engine: e, request: req, ranked: ranked, considered: &e.ranking, unreached: &e.unreached}
	s.considered.Reset(count)
	s.unreached.Reset(1)
	for _, group := range e.groups.groups {
		s.scan(group, e.searchable(req, group))
	}
	found := slices.Clone(s.considered.Elements())
	if len(s.unreached.Elements()) == 0 || s.unreached.Score(0) >= s.considered.Limit() {
		return found
	}
	rank := sort.Search(len(found), func(i int) bool { return s.considered.Score(i) > s.unreached.Score(0) })
	return slices.Insert(found, rank, s.unreached.Elements()[0])
}

// searchable returns how many caches of a group, from its first, the slow start may allow for a request.
func (e *Engine) searchable(req *request, group *cacheGroup) int {
	if !group.warmingUp {
		return len(group.caches)
	}
	if e.keptOffWarming(req) {
		return 0
	}
	share := e.slowStartShare(group.caches[0]) // the largest of the group
	if e.sparseTraffic() && e.weightSums().warm > 0 && e.mayBeHotKey(req.Key, group.maxWeight, share) {
		return 0
	}
	unit := slowStartUnit(req.Key)
	return sort.Search(len(group.caches), func(i int) bool { return unit >= e.slowStartShare(group.caches[i]) })
}

func (s *search) scan(group *cacheGroup, count int) {
	lowest := s.cutoff(group)
	for i, hash := range group.hashes[:count] {
		unit := splitmix.Unit(mix(s.request.Key ^ hash))
		if unit < lowest {
			continue
		}
		if s.offer(group.caches[i], unit) {
			lowest = s.cutoff(group)
		}
	}
}

func (s *search) cutoff(group *cacheGroup) float64 {
	limit := s.unreachedLimit()
	if !s.engine.breakerOpen(group.zone, zoneFailureThreshold) {
		limit = max(limit, s.considered.Limit())
	}
	return cutoff(limit, group.maxWeight)
}

// unreachedLimit is the score from which on a cache with an open circuit is of no use.
func (s *search) unreachedLimit() float64 { return min(s.unreached.Limit(), s.considered.Limit()) }

// offer takes a cache whose hash with the key may rank it high enough, and reports whether it was kept.
func (s *search) offer(c *cache, unit float64) bool {
	e := s.engine
	score := c.score(unit)
	open := e.circuitOpen(c)
	kept := s.considered
	if open {
		if score >= s.unreachedLimit() || !e.hasCapacity(c) {
			return false
		}
		kept = s.unreached
	}
	if score >= kept.Limit() || slices.Contains(s.ranked, c) || !e.mayTake(s.request, c) {
		return false
	}
	return kept.Add(c, score)
}
