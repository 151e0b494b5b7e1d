// The ranking of the caches for a key by rendezvous hashing. Only the ranks that are needed are computed.

package policy

import (
	"math"
	"slices"
	"sort"

	"marlstage/internal/partialsort"
	"marlstage/internal/splitmix"
)

const (
	rankedPrefix = 16    // least number of caches that are ranked for a request
	minUnit      = 1e-18 // keeps the logarithm of a hash finite

	unitRounding = 1e-12 // upper bound of the relative rounding error of a cutoff
)

// score returns the score of a cache for a key. The lowest score ranks first. unit is the hash of the cache and
// the key, in [0, 1).
func (c *cache) score(unit float64) float64 { return -math.Log(unit+minUnit) / c.Weight }

// cutoff returns a hash in [0, 1) below which no cache scores less than the limit, if its weight is not larger
// than the given one.
func cutoff(limit, weight float64) float64 {
	return math.Exp(-limit*weight)*(1-unitRounding) - minUnit
}

// rankCaches returns the caches of the first ranks for a key. The order is the same on all routers.
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

// rankedFor returns the caches of the first ranks for a request, at least as many as asked for if there are as
// many. The result is cached in the request until the caches in service or their weights change.
func (e *Engine) rankedFor(req *request, count int) []*cache {
	count = min(count, len(e.inService))
	if req.rankedVersion != e.rankingVersion || len(req.ranked) < count {
		req.ranked, req.rankedVersion = e.rankCaches(req.Key, max(count, rankedPrefix)), e.rankingVersion
	}
	return req.ranked
}

// search looks through the ranking for a request, behind its first ranks, for the next caches that a pick would
// consider.
type search struct {
	engine     *Engine
	request    *request
	ranked     []*cache                    // the caches of the first ranks, which the search leaves out
	considered *partialsort.Lowest[*cache] // the next caches that a pick would consider
	unreached  *partialsort.Lowest[*cache] // the first cache with an open circuit that has capacity
}

// searchRanking returns the next caches in the ranking that a pick can use, in order: up to count caches to
// consider, and the first one that has capacity but an open circuit, unless it ranks behind all of the count.
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

// searchable returns how many caches, from the start of a group, the slow start may allow for a request.
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

// scan offers the search the first count caches of a group whose hash can rank high enough.
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

// cutoff returns a hash below which the search needs no cache of the group.
func (s *search) cutoff(group *cacheGroup) float64 {
	limit := s.unreachedLimit()
	if !s.engine.breakerOpen(group.zone, zoneFailureThreshold) {
		limit = max(limit, s.considered.Limit())
	}
	return cutoff(limit, group.maxWeight)
}

// unreachedLimit returns the score from which on the search needs no cache with an open circuit.
func (s *search) unreachedLimit() float64 { return min(s.unreached.Limit(), s.considered.Limit()) }

// offer adds a cache to the results if its score is low enough, and reports whether it did. unit is the hash of
// the cache and the key.
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
