package policy

// Action is a request of the Engine to its caller: Send, Cancel, Reject, Fail, SetTimer, HealthCheck,
// CloseIdleConnections, Watch, LimitRequests or Log. The caller carries out actions in order.
type Action interface{ action() }

// Send starts an attempt of a request, which ends at Deadline at the latest. An attempt that waits for a connection
// must not start at StartBefore or later; 0 means no such limit. The engine reserves capacity for the attempt until
// an AttemptDone with the same ID and Attempt. The caller owes exactly one, with NotSent if the attempt can't start,
// as when its client has just gone.
type Send struct {
	ID          int64
	Attempt     int // number of the attempt among those of the request, from 0
	Cache       string
	Deadline    Time
	StartBefore Time
}

// Cancel cancels a pending attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// Reject is a final answer that promises that a retry is harmless.
type Reject struct {
	ID         int64
	RetryAfter Time // advised wait before a retry; 0 means no advice
}

// Fail is a final answer that does not promise that a retry is harmless.
type Fail struct{ ID int64 }

// SetTimer asks for a TimerFired event at or after At.
type SetTimer struct {
	Token int64
	At    Time
}

// HealthCheck asks for a health check of a cache. The caller owes exactly one HealthCheckDone, with NotSent if the
// check can't start.
type HealthCheck struct{ Cache string }

// CloseIdleConnections closes the router's idle connections to a cache.
type CloseIdleConnections struct{ Cache string }

// Watch asks for the endpoint list and its changes.
type Watch struct{}

// LimitRequests limits the requests per second that the router accepts; 0 means no limit. Requests above it are
// rejected before any other work, with RetryAfter as the advised wait before a retry; 0 means no advice.
type LimitRequests struct {
	PerSecond  float64
	RetryAfter Time
}

// Log adds a line to the log: a message with its attributes, each as key=value.
type Log struct{ Text string }

func (Send) action()                 {}
func (Cancel) action()               {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (SetTimer) action()             {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (Watch) action()                {}
func (LimitRequests) action()        {}
func (Log) action()                  {}
