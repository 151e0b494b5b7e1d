// The state that a router keeps for each cache.

package policy

import (
	"marlstage/internal/splitmix"
	"marlstage/internal/stats"
)

const recentKeysDivisor = 4 // divides the warm-up time to give the window of a cache's recent keys

// cache is the state of one cache server.
type cache struct {
	Endpoint
	circuitBreaker
	zone       *circuitBreaker // circuit breaker of its zone
	group      *cacheGroup     // nil unless the cache is in service
	hash       uint64          // hash of its ID
	warmupFrom Time            // start of its warm-up: the start of its process, if known
	warmAt     Time            // end of its warm-up

	healthy           bool
	failedChecks      int  // consecutive failed health checks
	checkRound        int  // round of the health check in flight; 0 for none
	checkedAt         Time // start of the last check
	nextCheckAt       Time // next regular check, where not every round checks all caches
	suspect           bool // an attempt since the last check failed or got no reply
	unconfirmedChecks int  // consecutive checks as a suspect that confirmed no fault
	ejected           bool // it was silent for too long, and has not served a request since

	inFlight            int     // attempts in flight, including those of finished requests
	concurrencyLimit    float64 // limit of this router; below one, the share of time in use
	limitFloor          float64 // outcomes of attempts at other caches lower the limit no further
	timeTokens          float64 // time earned under a limit below one, as of timeTokensAt
	timeTokensAt        Time
	attemptsSent        int // in all, for as long as the cache has been known
	recentAttempts      stats.DecayingCount
	recentRejections    stats.DecayingCount // those of the recent attempts that were rejected
	lastSentAt          Time
	lastReplyAt         Time
	lastLikelyHitInTime bool           // it served the last likely hit in time
	hitLatency          stats.Quantile // latency of its quicker hits, in microseconds

	recentKeys         stats.KeySet // keys that it served recently, so that they are likely cached
	loadPerCore        float64      // requests per core, from the endpoint list
	acceptedKeyShare   float64      // share of its keys that it is sent, as of acceptedKeyShareAt
	acceptedKeyShareAt Time
}

func newCache(id string) *cache {
	c := &cache{hash: splitmix.String(id), lastLikelyHitInTime: true}
	c.reset()
	return c
}

// reset clears the state that belongs to an earlier process of the cache.
func (c *cache) reset() {
	c.healthy, c.failedChecks, c.connectFailures = true, 0, 0
	c.recentKeys, c.loadPerCore, c.acceptedKeyShare = stats.NewKeySet(), 0, 1
}

// usable reports whether the cache is healthy and not ejected.
func (c *cache) usable() bool { return c.healthy && !c.ejected }

// maxKeysPerCache returns the number of keys in one window of a cache's recent keys, or 0 for no limit.
func (e *Engine) maxKeysPerCache() int {
	if e.settings.MaxTrackedKeys == 0 {
		return 0
	}
	return max(1, e.settings.MaxTrackedKeys/max(1, len(e.caches)))
}

// likelyCached reports whether the cache served the key recently.
func (c *cache) likelyCached(key uint64) bool { return c.recentKeys.Contains(key) }
