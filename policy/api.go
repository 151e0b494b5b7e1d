// Package policy makes the decisions of one router in front of a fleet of cache servers: which cache gets a
// request, when an attempt is cancelled or retried, and when a request is rejected.
//
// An Engine receives events and returns actions. It performs no I/O, reads no clock and starts no goroutines:
// each event comes with the time, and equal settings, seeds and events give equal actions.
//
// The exported interface is in api.go, settings.go, events.go and actions.go; the other files implement it.
package policy

// Time is a point in time or a duration, in microseconds. The zero point of the clock is arbitrary.
type Time = int64

// NotificationTimeout is the time after which, by the protocol, a router counts as notified of a change of
// the endpoint list. It starts when discovery has the change and is reachable, whether or not polls succeed.
const NotificationTimeout Time = 6_000_000
