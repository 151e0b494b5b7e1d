// Groups of similar caches in service, which let a search skip many caches at once.

package policy

import (
	"math"
	"slices"
	"sort"
	"strings"
)

// groupKey holds the properties that the caches of a group share.
type groupKey struct {
	zone           *circuitBreaker
	weightExponent int // binary exponent of the weight
	warmingUp      bool
}

// cacheGroup holds similar caches in service. Caches that are warming up are ordered by their start times.
type cacheGroup struct {
	groupKey
	maxWeight float64 // upper bound of the weights in the group
	caches    []*cache
	hashes    []uint64 // hashes of the caches, in the same order
}

// cacheGroups holds all caches in service. The zero value is empty.
type cacheGroups struct {
	groups     []*cacheGroup
	byKey      map[groupKey]*cacheGroup
	nextWarmAt Time // when the next cache will be warm
}

func (e *Engine) groupKeyOf(c *cache) groupKey {
	_, exponent := math.Frexp(c.Weight)
	return groupKey{c.zone, exponent, e.now < c.warmAt}
}

// add adds a cache to the group with the key, which it creates if needed.
func (g *cacheGroups) add(c *cache, key groupKey) {
	group := g.byKey[key]
	if group == nil {
		group = &cacheGroup{groupKey: key}
		g.groups = append(g.groups, group)
		if g.byKey == nil {
			g.byKey = map[groupKey]*cacheGroup{}
		}
		g.byKey[key] = group
	}
	group.insert(c)
	c.group = group
	if key.warmingUp {
		g.updateNextWarmAt()
	}
}

// remove removes a cache from its group, if it has one.
func (g *cacheGroups) remove(c *cache) {
	group := c.group
	if group == nil {
		return
	}
	c.group = nil
	i := slices.Index(group.caches, c)
	group.caches = slices.Delete(group.caches, i, i+1)
	group.hashes = slices.Delete(group.hashes, i, i+1)
	if len(group.caches) == 0 {
		delete(g.byKey, group.groupKey)
		i := slices.Index(g.groups, group)
		g.groups = slices.Delete(g.groups, i, i+1)
	}
	if group.warmingUp {
		g.updateNextWarmAt()
	}
}

// insert adds a cache to the group, at its place in the order.
func (g *cacheGroup) insert(c *cache) {
	i := len(g.caches)
	if g.warmingUp {
		i = sort.Search(len(g.caches), func(i int) bool { return g.caches[i].warmupFrom > c.warmupFrom })
	}
	g.caches = slices.Insert(g.caches, i, c)
	g.hashes = slices.Insert(g.hashes, i, c.hash)
	g.maxWeight = max(g.maxWeight, c.Weight)
}

func (g *cacheGroups) updateNextWarmAt() {
	g.nextWarmAt = math.MaxInt64
	for _, group := range g.groups {
		if group.warmingUp {
			g.nextWarmAt = min(g.nextWarmAt, group.caches[0].warmAt)
		}
	}
}

// regroup moves a cache to the group that it now belongs to. restarted says that its start time has changed.
func (e *Engine) regroup(c *cache, restarted bool) {
	if c.State != InService {
		e.leaveService(c)
		return
	}
	key := e.groupKeyOf(c)
	if group := c.group; group != nil && group.groupKey == key && !restarted {
		group.maxWeight = max(group.maxWeight, c.Weight)
		return
	}
	e.leaveGroup(c)
	e.groups.add(c, key)
	if c.isWarmMember() {
		e.warmLoad.Adjust(e.now, e.settings.OverloadTime, e.recentlyAccepted(c))
	}
	if i, found := e.findInService(c.ID); !found {
		e.inService = slices.Insert(e.inService, i, c)
	}
}

// leaveService removes a cache from those in service, if it is one of them.
func (e *Engine) leaveService(c *cache) {
	e.leaveGroup(c)
	if i, found := e.findInService(c.ID); found {
		e.inService = slices.Delete(e.inService, i, i+1)
	}
}

// leaveGroup removes a cache from its group and, if it counted as warm, its attempts from warmLoad.
func (e *Engine) leaveGroup(c *cache) {
	if c.isWarmMember() {
		e.warmLoad.Adjust(e.now, e.settings.OverloadTime, -e.recentlyAccepted(c))
	}
	e.groups.remove(c)
}

// findInService returns the index of a cache in inService, or the index to insert it at.
func (e *Engine) findInService(id string) (index int, found bool) {
	byID := func(c *cache, id string) int { return strings.Compare(c.ID, id) }
	return slices.BinarySearchFunc(e.inService, id, byID)
}

// isWarmMember reports whether the cache is in service and counts as warm.
func (c *cache) isWarmMember() bool { return c.group != nil && !c.group.warmingUp }

// settleWarmedUp moves caches whose warm-up has ended to groups of warm caches.
func (e *Engine) settleWarmedUp() {
	if len(e.groups.groups) == 0 || e.now < e.groups.nextWarmAt {
		return
	}
	var warmedUp []*cache
	for _, group := range e.groups.groups {
		for _, c := range group.caches {
			if !group.warmingUp || e.now < c.warmAt {
				break
			}
			warmedUp = append(warmedUp, c)
		}
	}
	for _, c := range warmedUp {
		e.regroup(c, false)
	}
	e.sums.known = false
}

// changeRecent calls change, which changes the recent attempts or rejections of a cache, and updates warmLoad
// by the difference.
func (e *Engine) changeRecent(c *cache, change func()) {
	before := e.recentlyAccepted(c)
	change()
	if c.isWarmMember() {
		e.warmLoad.Adjust(e.now, e.settings.OverloadTime, e.recentlyAccepted(c)-before)
	}
}

// weightSums holds cached sums of the weights of the caches in service.
type weightSums struct {
	known                  bool // the sums are up to date
	total, warm, warmingUp float64
}

// weightSums returns the sums, and updates them first if needed. It adds the weights in the order of the
// caches, so that rounding does not differ between equal routers.
func (e *Engine) weightSums() *weightSums {
	if e.sums.known {
		return &e.sums
	}
	e.sums = weightSums{known: true}
	for _, c := range e.inService {
		e.sums.total += c.Weight
		if e.now < c.warmAt {
			e.sums.warmingUp += c.Weight
		} else {
			e.sums.warm += c.Weight
		}
	}
	return &e.sums
}
