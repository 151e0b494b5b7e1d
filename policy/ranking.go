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
	minRankedCaches = 16    // least number of caches that are ranked for a request
	minUnit         = 1e-18 // keeps the logarithm of a hash finite

	unitRounding = 1e-12 // upper bound of the relative rounding error of a cutoff
)

// score returns the score of a cache for a key. The lowest score ranks first. unit is the hash of the cache
// and the key, in [0, 1).
func (c *cache) score(unit float64) float64 { return -math.Log(unit+minUnit) / c.Weight }

// cutoff returns a hash in [0, 1) such that no cache with a lower hash and at most the given weight scores
// less than the limit.
func cutoff(limit, weight float64) float64 {
	return math.Exp(-limit*weight)*(1-unitRounding) - minUnit
}

// rankCaches returns the caches of the first ranks for a key. The order is the same on all routers.
func (e *Engine) rankCaches(key uint64, count int) []*cache {
	ranking := &e.lowestScores
	ranking.Reset(count)
	for _, group := range e.groups.groups {
		minHash := cutoff(ranking.Limit(), group.maxWeight)
		for i, hash := range group.hashes {
			unit := splitmix.Unit(mix(key ^ hash))
			if unit < minHash {
				continue
			}
			c := group.caches[i]
			if ranking.Add(c, c.score(unit)) {
				minHash = cutoff(ranking.Limit(), group.maxWeight)
			}
		}
	}
	return slices.Clone(ranking.Elements())
}

// rankedFor returns the caches of the first ranks for a request: at least count caches, or all caches in
// service if they are fewer. The result is cached in the request until the caches in service or their weights
// change.
func (e *Engine) rankedFor(req *request, count int) []*cache {
	count = min(count, len(e.inService))
	if req.rankedVersion != e.rankingVersion || len(req.ranked) < count {
		req.ranked, req.rankedVersion = e.rankCaches(req.Key, max(count, minRankedCaches)), e.rankingVersion
	}
	return req.ranked
}

// rankingSearch looks through the ranking for a request, behind its first ranks, for the next caches that a
// cacheSelection would consider.
type rankingSearch struct {
	engine            *Engine
	request           *request
	ranked            []*cache                    // the caches of the first ranks, which the search leaves out
	considered        *partialsort.Lowest[*cache] // the next caches that a cacheSelection would consider
	lowestUnreachable *partialsort.Lowest[*cache] // the first cache with an open circuit that has capacity
}

// searchRanking returns the next caches in the ranking that a cacheSelection can use, in order: up to count
// caches to consider, and the first one that has capacity but an open circuit, unless it ranks behind all of
// the count.
func (e *Engine) searchRanking(req *request, ranked []*cache, count int) []*cache {
	s := &rankingSearch{
		engine: e, request: req, ranked: ranked,
		considered: &e.lowestScores, lowestUnreachable: &e.lowestUnreachable,
	}
	s.considered.Reset(count)
	s.lowestUnreachable.Reset(1)
	for _, group := range e.groups.groups {
		s.scan(group, e.searchableCaches(req, group))
	}
	found := slices.Clone(s.considered.Elements())
	if len(s.lowestUnreachable.Elements()) == 0 || s.lowestUnreachable.Score(0) >= s.considered.Limit() {
		return found
	}
	rank := sort.Search(len(found), func(i int) bool {
		return s.considered.Score(i) > s.lowestUnreachable.Score(0)
	})
	return slices.Insert(found, rank, s.lowestUnreachable.Elements()[0])
}

// searchableCaches returns how many caches, from the start of a group, the slow start may allow for a
// request.
func (e *Engine) searchableCaches(req *request, group *cacheGroup) int {
	if !group.warmingUp {
		return len(group.caches)
	}
	if e.mustAvoidWarmingCaches(req) {
		return 0
	}
	share := e.slowStartShare(group.caches[0]) // the largest of the group
	if e.sparseTraffic && e.weightSums().warm > 0 && e.mayBeHotKey(req.Key, group.maxWeight, share) {
		return 0
	}
	unit := slowStartHash(req.Key)
	return sort.Search(len(group.caches), func(i int) bool { return unit >= e.slowStartShare(group.caches[i]) })
}

// scan adds caches to the results, out of the first count of a group, whose hash can rank high enough.
func (s *rankingSearch) scan(group *cacheGroup, count int) {
	minHash := s.cutoff(group)
	for i, hash := range group.hashes[:count] {
		unit := splitmix.Unit(mix(s.request.Key ^ hash))
		if unit < minHash {
			continue
		}
		if s.add(group.caches[i], unit) {
			minHash = s.cutoff(group)
		}
	}
}

// cutoff returns a hash below which the search needs no cache of the group.
func (s *rankingSearch) cutoff(group *cacheGroup) float64 {
	limit := s.unreachableLimit()
	if !s.engine.breakerOpen(group.zone, zoneFailureThreshold) {
		limit = max(limit, s.considered.Limit())
	}
	return cutoff(limit, group.maxWeight)
}

// unreachableLimit returns the score from which on the search needs no cache with an open circuit.
func (s *rankingSearch) unreachableLimit() float64 {
	return min(s.lowestUnreachable.Limit(), s.considered.Limit())
}

// add adds a cache to the results if its score is low enough, and reports whether it did. unit is the hash of
// the cache and the key.
func (s *rankingSearch) add(c *cache, unit float64) bool {
	e := s.engine
	score := c.score(unit)
	open := e.circuitOpen(c)
	results := s.considered
	if open {
		if score >= s.unreachableLimit() || !e.hasCapacity(c) {
			return false
		}
		results = s.lowestUnreachable
	}
	if score >= results.Limit() || slices.Contains(s.ranked, c) || !e.eligible(s.request, c) {
		return false
	}
	return results.Add(c, score)
}
