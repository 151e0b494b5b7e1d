package router

import (
	"testing"

	"marlstage/policy"
)

// TestLimitIsSharedAmongConnections guards against a limit on requests that the connection which sends the most uses up:
// the requests of a client within its share are all admitted, and those of one at full speed only as far as the limit
// allows.
func TestLimitIsSharedAmongConnections(t *testing.T) {
	const (
		perSecond  = 1000
		periods    = 50
		modest     = 10 // requests in a period, of 100 that the limit allows
		fullSpeed  = 5000
		fullShares = perSecond / 10 * (periods + 1)
	)
	limiter := newRequestLimiter()
	limiter.set(policy.LimitRequests{PerSecond: perSecond})
	var quiet, busy connRequests
	admitted := 0
	for period := range policy.Time(periods) {
		now := (1 + period) * delayReportInterval
		for i := range fullSpeed {
			if limiter.admitOrReject(&busy, now) == nil {
				admitted++
			}
			if i%(fullSpeed/modest) == 0 && limiter.admitOrReject(&quiet, now) != nil {
				t.Fatalf("a request of the modest client was rejected in period %d", period)
			}
		}
	}
	if admitted > fullShares {
		t.Errorf("%d requests of the client at full speed were admitted, at most %d wanted", admitted, fullShares)
	}
}

// TestSharesFollowTheActiveConnections checks that a connection has an equal share of those that are active.
func TestSharesFollowTheActiveConnections(t *testing.T) {
	const limit = 100
	for _, connections := range []int{1, 4, 50, 200} {
		var shares requestShares
		conns := make([]connRequests, connections)
		inShare := func(now policy.Time) (count int) {
			for range limit {
				for i := range conns {
					if shares.note(&conns[i], now, limit) {
						count++
					}
				}
			}
			return count
		}
		inShare(delayReportInterval) // in the first period it is not known yet how many will be active
		if got := inShare(2 * delayReportInterval); got > limit || connections <= limit && got < limit/2 {
			t.Errorf("%d connections: %d requests in their shares, of %d", connections, got, limit)
		}
	}
}
