package scaletest

// This file defines the counters of traffic at a cache server.

// CacheCount is what one cache server got from the routers of one group. Bytes are those of
// commands and replies, without TCP's own.
type CacheCount struct {
	HealthChecks     int64
	Attempts         int64
	Handshakes       int64
	RejectedConns    int64
	HealthCheckBytes int64
	AttemptBytes     int64
	OpenConns        int64 // open now
}

func (c *CacheCount) add(other CacheCount) {
	c.HealthChecks += other.HealthChecks
	c.Attempts += other.Attempts
	c.Handshakes += other.Handshakes
	c.RejectedConns += other.RejectedConns
	c.HealthCheckBytes += other.HealthCheckBytes
	c.AttemptBytes += other.AttemptBytes
	c.OpenConns += other.OpenConns
}

// since is what came after an earlier count, with the connections that are open now.
func (c CacheCount) since(earlier CacheCount) CacheCount {
	return CacheCount{
		HealthChecks:     c.HealthChecks - earlier.HealthChecks,
		Attempts:         c.Attempts - earlier.Attempts,
		Handshakes:       c.Handshakes - earlier.Handshakes,
		RejectedConns:    c.RejectedConns - earlier.RejectedConns,
		HealthCheckBytes: c.HealthCheckBytes - earlier.HealthCheckBytes,
		AttemptBytes:     c.AttemptBytes - earlier.AttemptBytes,
		OpenConns:        c.OpenConns,
	}
}
