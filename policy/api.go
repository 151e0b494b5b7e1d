// Package policy makes the decisions of one router in front of a fleet of cache servers: which cache gets a
// request, when an attempt is given up or repeated, and when a request is rejected.
//
// An Engine is fed events and returns actions. It performs no I/O, reads no clock and starts no goroutines:
// the time comes in with each event, and equal settings, seeds and events give equal actions.
//
// The interface stands in api.go, settings.go, events.go and actions.go; the other files hold what decides.
package policy

// Time is an instant or a span in microseconds. The zero of the clock is arbitrary.
type Time = int64

// NotificationDeadline is the time after which, by the protocol, a router counts as notified of a change of
// the endpoint list: counted from when discovery has the change and can be reached, whatever became of the
// polls.
const NotificationDeadline Time = 6_000_000
