package scaletest

// This file defines the counters of a cache server's traffic.

// CacheStats holds the traffic between one cache server and the routers of one group. Bytes are those of
// commands and replies, without TCP and IP headers.
type CacheStats struct {
	HealthChecks     int64
	Attempts         int64
	Handshakes       int64
	RejectedConns    int64
	HealthCheckBytes int64
	AttemptBytes     int64
	OpenConns        int64 // currently open
}

func (c *CacheStats) add(other CacheStats) {
	c.HealthChecks += other.HealthChecks
	c.Attempts += other.Attempts
	c.Handshakes += other.Handshakes
	c.RejectedConns += other.RejectedConns
	c.HealthCheckBytes += other.HealthCheckBytes
	c.AttemptBytes += other.AttemptBytes
	c.OpenConns += other.OpenConns
}

// since returns the difference from an earlier count; OpenConns keeps its current value.
func (c CacheStats) since(earlier CacheStats) CacheStats {
	return CacheStats{
		HealthChecks:     c.HealthChecks - earlier.HealthChecks,
		Attempts:         c.Attempts - earlier.Attempts,
		Handshakes:       c.Handshakes - earlier.Handshakes,
		RejectedConns:    c.RejectedConns - earlier.RejectedConns,
		HealthCheckBytes: c.HealthCheckBytes - earlier.HealthCheckBytes,
		AttemptBytes:     c.AttemptBytes - earlier.AttemptBytes,
		OpenConns:        c.OpenConns,
	}
}
