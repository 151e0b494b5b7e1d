package policy

// Action is anything that an Engine asks for: Send, Cancel, Reject, Fail, SetTimer, HealthCheck,
// CloseIdleConnections, Watch, LimitRequests or Log. The caller carries them out in order.
type Action interface{ action() }

// Send starts the next attempt of a request, given up at Deadline. An attempt that has to wait for a
// connection must not begin at StartBefore or later; 0 is no such limit.
type Send struct {
	ID          int64
	Cache       string
	Deadline    Time
	StartBefore Time
}

// Cancel ends the wait for an attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// Reject is a final answer: a retry is harmless.
type Reject struct {
	ID         int64
	RetryAfter Time // advised wait before a retry; 0 for none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID int64 }

// SetTimer asks for a TimerFired event at or after At.
type SetTimer struct {
	Token int64
	At    Time
}

// HealthCheck asks for a health check of a cache.
type HealthCheck struct{ Cache string }

// CloseIdleConnections closes the router's idle connections to a cache.
type CloseIdleConnections struct{ Cache string }

// Watch asks for the endpoint list and its changes.
type Watch struct{}

// LimitRequests has the router take so many requests a second at most; 0 is no limit. Those beyond are
// rejected before any work on them, with the advice to retry after the given time; 0 for none.
type LimitRequests struct {
	PerSecond  float64
	RetryAfter Time
}

// Log adds a line to the log: a message, followed by its attributes, each as key=value.
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
