package policy

// Event is anything that an Engine handles: *EndpointsUpdate, *Request, *ResponseStarted, *AttemptDone,
// *ClientGone, *TimerFired, *HealthCheckDone, *DelayReport or *PeerMessage.
type Event interface{ event() }

// EndpointState is the state of a cache in the endpoint list.
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
	StartedAt Time // last start of the cache; 0 means long ago
	State     EndpointState
}

// UpdateKind says which endpoints an EndpointsUpdate contains.
type UpdateKind uint8

// The kinds of an update.
const (
	UpdateDelta    UpdateKind = iota // only the changed endpoints
	UpdateSnapshot                   // all endpoints
	UpdateStale                      // all endpoints as last known, which may be outdated
	UpdateFailed                     // no endpoints, as a poll failed or a watch ended
)

// EndpointsUpdate is an update of the endpoint list.
type EndpointsUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request. It must get one final answer before Deadline.
type Request struct {
	ID       int64
	Class    string
	Tenant   string
	Key      uint64 // only valid with HasKey
	HasKey   bool
	Deadline Time
	Cost     Time // expected work; 0 if unknown
	Write    bool // passed on to the origin
}

// ResponseStarted reports that a streamed response has begun to reach the client, so that the request can no
// longer be retried, rejected or failed.
type ResponseStarted struct {
	ID      int64
	Attempt int
}

// Result is the result of an attempt or a health check.
type Result uint8

// The results. Each either proves that the request never ran, or leaves open whether it did.
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

// LoadReport is a load report of a cache. Utilization is negative if it was not reported.
type LoadReport struct{ Utilization, ErrorRate float64 }

// AttemptDone reports the end of the attempt that a Send with the same ID and Attempt began. Final means that the
// request needs no further reply to the client.
type AttemptDone struct {
	ID      int64
	Attempt int
	Result  Result
	Elapsed Time
	Final   bool
	Miss    bool // the cache had to fetch from the origin
	Load    LoadReport
}

// ClientGone reports that the request needs no reply from the engine, as the client has gone or has got one.
type ClientGone struct{ ID int64 }

// TimerFired reports that the timer of a SetTimer with the same token has expired.
type TimerFired struct{ Token int64 }

// HealthCheckDone reports the end of a health check.
type HealthCheckDone struct {
	Cache   string
	Result  Result
	Elapsed Time
	Load    LoadReport
}

// DelayReport reports the delay with which the router has handled requests since the last report.
type DelayReport struct {
	Interval Time // time since the last report
	MinDelay Time // least delay of a request from being read to being handled; 0 without requests
	Handled  int  // requests that were handled
	Rejected int  // requests that were rejected because of LimitRequests
}

// PeerMessage is a message from another router. The policy sends none, and ignores them.
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
