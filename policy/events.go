package policy

// Event is anything that an Engine handles: *EndpointsUpdate, *Request, *ResponseStarted, *AttemptDone,
// *ClientGone, *TimerFired, *HealthCheckDone, *DelayReport or *PeerMessage.
type Event interface{ event() }

// EndpointState is what the endpoint list says of a cache.
type EndpointState uint8

// The states of an endpoint.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// Endpoint is one cache in the endpoint list.
type Endpoint struct {
	ID        string
	Zone      string
	Group     int
	Weight    float64
	StartedAt Time // last start; 0 is long ago
	State     EndpointState
}

// UpdateKind says which endpoints an EndpointsUpdate contains.
type UpdateKind uint8

// The kinds of an update.
const (
	UpdateDelta    UpdateKind = iota // the changed endpoints only
	UpdateSnapshot                   // every cache there is
	UpdateStale                      // every cache, as last known; may be old
	UpdateFailed                     // a poll failed or the watch broke; no endpoints
)

// EndpointsUpdate is an update of the endpoint list.
type EndpointsUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request asks for one final answer before Deadline.
type Request struct {
	ID       int64
	Class    string
	Tenant   string
	Key      uint64
	HasKey   bool
	Deadline Time
	Cost     Time // expected work; 0 where unknown
	Write    bool // goes on to the origin
}

// ResponseStarted says that a streamed response has begun: it belongs to the client now.
type ResponseStarted struct {
	ID      int64
	Attempt int
}

// Result tells how an attempt or a health check ended.
type Result uint8

// The results. Those that do not prove that the request never ran leave it open.
const (
	Served         Result = iota
	ServerError           // may have run
	Rejected              // proves it never ran
	TimedOut              // may have run, or may still
	ConnectFailed         // proves it never ran
	ConnectionLost        // may have run
	Cancelled             // may have run
	NotSent               // proves it never ran
	NotStored             // proves it never ran
)

// String returns the result's name, as it is logged.
func (r Result) String() string {
	return [...]string{
		"served", "server_error", "rejected", "timed_out", "connect_failed", "connection_lost", "cancelled", "not_sent",
		"not_stored",
	}[r]
}

// NeverRan reports whether the result proves that the request was not carried out.
func (r Result) NeverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == NotStored
}

// LoadReport is a cache's report on itself. Utilization is below 0 where it was not reported.
type LoadReport struct{ Utilization, ErrorRate float64 }

// AttemptDone tells how an attempt ended. Final means that nothing more is owed to the client.
type AttemptDone struct {
	ID      int64
	Attempt int
	Result  Result
	Elapsed Time
	Final   bool
	Miss    bool // the cache had to fetch from the origin
	Load    LoadReport
}

// ClientGone says that the client has gone: it is owed nothing more.
type ClientGone struct{ ID int64 }

// TimerFired is the echo of a SetTimer.
type TimerFired struct{ Token int64 }

// HealthCheckDone tells how a health check ended.
type HealthCheckDone struct {
	Cache   string
	Result  Result
	Elapsed Time
	Load    LoadReport
}

// DelayReport tells how late the router has handled the requests since the last report.
type DelayReport struct {
	Span       Time // since the last report
	LeastDelay Time // of a request from when it was read to when it was handled; 0 if there was none
	Taken      int  // requests that were handled
	Rejected   int  // requests beyond the limit of LimitRequests, which were not
}

// PeerMessage comes from another router. The policy shares nothing and ignores it.
type PeerMessage struct {
	From int
	Data string
}

func (*EndpointsUpdate) event() {}
func (*Request) event()         {}
func (*ResponseStarted) event() {}
func (*AttemptDone) event()     {}
func (*ClientGone) event()      {}
func (*TimerFired) event()      {}
func (*HealthCheckDone) event() {}
func (*DelayReport) event()     {}
func (*PeerMessage) event()     {}
