// What an engine holds for requests and attempts, for statistics and checks.

package policy

// Usage counts what an Engine holds for requests and attempts. All of it is zero once each request has its
// final answer or has lost its client, and each attempt has its outcome.
type Usage struct {
	Requests     int // requests without a final answer, or with attempts in flight
	Queued       int // requests that wait for capacity
	Attempts     int // attempts in flight, each of which takes capacity of its cache
	LikelyMisses int // likely misses in flight, each of which takes capacity of the origin
}

// Usage returns what the engine holds at present. Its cost grows with the number of known caches.
func (e *Engine) Usage() Usage {
	usage := Usage{Requests: len(e.requests), Queued: len(e.queue), LikelyMisses: e.missesInFlight}
	for _, c := range e.caches {
		usage.Attempts += c.inFlight
	}
	return usage
}
