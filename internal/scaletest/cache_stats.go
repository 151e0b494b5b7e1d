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

func (s *CacheStats) add(other CacheStats) {
	s.HealthChecks += other.HealthChecks
	s.Attempts += other.Attempts
	s.Handshakes += other.Handshakes
	s.RejectedConns += other.RejectedConns
	s.HealthCheckBytes += other.HealthCheckBytes
	s.AttemptBytes += other.AttemptBytes
	s.OpenConns += other.OpenConns
}

// since returns the difference from earlier counters; OpenConns keeps its current value.
func (s CacheStats) since(earlier CacheStats) CacheStats {
	return CacheStats{
		HealthChecks:     s.HealthChecks - earlier.HealthChecks,
		Attempts:         s.Attempts - earlier.Attempts,
		Handshakes:       s.Handshakes - earlier.Handshakes,
		RejectedConns:    s.RejectedConns - earlier.RejectedConns,
		HealthCheckBytes: s.HealthCheckBytes - earlier.HealthCheckBytes,
		AttemptBytes:     s.AttemptBytes - earlier.AttemptBytes,
		OpenConns:        s.OpenConns,
	}
}
