// What a router knows of a cache server.

package policy

import (
	"marlstage/internal/splitmix"
	"marlstage/internal/stats"
)

const recentKeysDivisor = 4 // part of the warm-up time that is the window of a cache's recent keys

type cache struct {
	Endpoint
	circuitBreaker
	zone       *circuitBreaker // shared by the caches of its zone
	group      *cacheGroup     // nil unless it is in service
	hash       uint64
	warmupFrom Time // assumed start of its process
	warmAt     Time // it is warming up until then

	healthy           bool
	failedChecks      int  // consecutive failed health checks
	checkRound        int  // number of the round whose check is in flight; 0 for none
	checkedAt         Time // start of the last check
	nextCheckAt       Time // in a fleet too large to check in each round
	suspect           bool // since the last check an attempt failed or got no reply
	unconfirmedChecks int  // consecutive checks of a suspect that confirmed no fault
	ejected           bool // it was silent for too long and has served nothing since

	inFlight         int     // attempts, those of finished requests included
	concurrencyLimit float64 // of this router; below one it is the share of time in use
	timeTokens       float64 // time earned under a limit below one, as of timeTokensAt
	timeTokensAt     Time
	attemptsSent     int // ever
	recentAttempts   stats.DecayingCount
	recentRejections stats.DecayingCount // of those attempts
	lastSentAt       Time
	lastReplyAt      Time
	lastHitOnTime    bool           // it served the last likely hit in time
	hitLatency       stats.Quantile // of the quicker ones of its hits, in microseconds

	recentKeys         stats.KeySet // served lately, so likely cached
	loadPerCore        float64      // requests per core, by the endpoint list
	acceptedKeyShare   float64      // share of its keys that it is still sent, as of acceptedKeyShareAt
	acceptedKeyShareAt Time
}

func newCache(id string) *cache {
	c := &cache{hash: splitmix.String(id), lastHitOnTime: true}
	c.reset()
	return c
}

// reset forgets what was learnt about an earlier process of the cache.
func (c *cache) reset() {
	c.healthy, c.failedChecks, c.connectFailures = true, 0, 0
	c.recentKeys, c.loadPerCore, c.acceptedKeyShare = stats.NewKeySet(), 0, 1
}

// usable reports whether neither health checks nor its silence speak against the cache.
func (c *cache) usable() bool { return c.healthy && !c.ejected }

func (c *cache) likelyCached(key uint64) bool { return c.recentKeys.Contains(key) }
