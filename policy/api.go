// Package policy makes the decisions of one router in front of a fleet of
// cache servers: which cache gets a request, when an attempt is given up or
// repeated, and when a request is refused.
//
// A Router is fed events and returns actions. It performs no I/O, reads no
// clock and starts no goroutines: the time comes in with each event, and equal
// events give equal actions.
package policy

import (
	"errors"
	"fmt"
	"math"
)

// Time is an instant or a span in microseconds. The zero of the clock is arbitrary.
type Time = int64

// NotificationDeadline is the time, by the protocol, after which a change of the list counts as told: since discovery has
// it and can be reached, whatever became of the calls for it.
const NotificationDeadline Time = 6_000_000

// Effect says what may happen when a request is carried out twice.
type Effect uint8

const (
	NonIdempotent     Effect = iota // must never run twice; also any class not in the settings
	Idempotent                      // may be repeated freely
	IdempotentWithKey               // repeats are dropped inside Scope for KeyTTL
)

// DedupScope names the caches that drop repeats of a keyed request.
type DedupScope uint8

const (
	ScopeGroup DedupScope = iota // those of the first cache's cell
	ScopeZone                    // those of its zone
	ScopeAll                     // every cache
)

// Class describes one kind of request.
type Class struct {
	Name             string
	Effect           Effect
	DedupScope       DedupScope // Keyed only
	KeyTTL           Time       // Keyed only, from the first send that may have run
	LatencyObjective Time       // full worth is earned up to here
	Timeout          Time       // the client's whole patience, over all its tries
	PriorityWeight   float64    // of an answer within the aim
	LateWeight       float64    // share of Worth earned after the aim
}

// Settings is what a router is told once, at its start.
type Settings struct {
	Routers       int // how many routers share the load
	Classes       []Class
	WatchRequired bool // the list is told only to those that ask
	LiveWeights   bool // Entry.Size is lowered by the load of the moment

	MaxAttempts         int
	HedgingAllowed      bool    // two attempts of a request may be pending at once
	CancelAllowed       bool    // Cancel is allowed
	HealthChecksAllowed bool    // Probe is allowed
	MaxRetryAfter       Time    // longest stay-away a client honours; 0 where it is not passed on
	DrainGrace          Time    // sends to a draining or gone cache must have ceased by then
	WarmupTime          Time    // a started cache is warm no later than this
	WarmupStartShare    float64 // a started cache can do this share of its work at least; sent over ...
	OverloadMultiple    float64 // ... this many times what it can do
	OverloadTime        Time    // ... for this long, it falls over
	PollInterval        Time    // without a watch for this long, the router is deemed told
	HealthCheckCost     float64 // points lost at one probe a request
	ConnectionCost      float64 // points lost at 100 open connections a cache
	HandshakeCost       float64 // points lost at one new connection a request
}

// ErrNoClasses is the error for settings without classes.
var ErrNoClasses = errors.New("policy: Classes is empty")

// SettingsError is the error for settings with a field that is out of range.
type SettingsError struct {
	Field string // for example Routers, or Classes[1].KeyTTL
	Value float64
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("policy: %s is %v, out of range", e.Field, e.Value)
}

// validate returns ErrNoClasses, or a SettingsError for the first field that is out of range.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return ErrNoClasses
	}
	type field struct {
		name      string
		v, lo, hi float64
	}
	inf := math.MaxFloat64
	fields := []field{
		{"Routers", float64(s.Routers), 0, inf}, {"MaxAttempts", float64(s.MaxAttempts), 1, inf},
		{"RefuseWait", float64(s.MaxRetryAfter), 0, inf}, {"DrainGrace", float64(s.DrainGrace), 0, inf},
		{"ColdTime", float64(s.WarmupTime), 0, inf}, {"ColdShare", s.WarmupStartShare, 0, 1},
		{"TipTime", float64(s.OverloadTime), 0, inf}, {"TipMultiple", s.OverloadMultiple, 0, inf},
		{"AskEvery", float64(s.PollInterval), 0, inf}, {"ProbePrice", s.HealthCheckCost, 0, inf},
		{"ConnPrice", s.ConnectionCost, 0, inf}, {"DialPrice", s.HandshakeCost, 0, inf},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{at + "Aim", float64(c.LatencyObjective), 0, inf},
			field{at + "Limit", float64(c.Timeout), 0, inf},
			field{at + "KeyTTL", float64(c.KeyTTL), 0, inf}, field{at + "Worth", c.PriorityWeight, 0, inf},
			field{at + "LateWorth", c.LateWeight, 0, 1})
	}
	for _, f := range fields {
		if !(f.v >= f.lo && f.v <= f.hi) { // also where it is not a number
			return &SettingsError{Field: f.name, Value: f.v}
		}
	}
	return nil
}

// EndpointState is what the list says of a cache.
type EndpointState uint8

const (
	InService EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of the list of caches.
type Endpoint struct {
	ID        string
	Zone      string
	Group     int
	Weight    float64
	StartedAt Time // last start; 0 is long ago
	State     EndpointState
}

// Result tells how an attempt or a probe ended.
type Result uint8

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

// NeverRan reports whether the result proves that the request was not carried out.
func (s Result) NeverRan() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent || s == NotStored
}

// LoadReport is a cache's report on itself. Busy is below 0 where it was not reported.
type LoadReport struct{ Utilization, ErrorRate float64 }

// Event is anything a Router is told: *List, *Request, *Started, *Outcome,
// *Departed, *Timer, *Probed or *PeerMessage.
type Event interface{ event() }

// UpdateKind says what a List holds.
type UpdateKind uint8

const (
	UpdateDelta    UpdateKind = iota // the changed entries only
	UpdateSnapshot                   // every cache there is
	UpdateStale                      // every cache, as last known; may be old
	UpdateFailed                     // a call failed or the watch broke; no entries
)

// EndpointsUpdate tells of the caches.
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

// ResponseStarted says that a streamed answer has begun: it belongs to the client now.
type ResponseStarted struct {
	ID      int64
	Attempt int
}

// AttemptDone tells how an attempt ended. Last means nothing more is owed.
type AttemptDone struct {
	ID      int64
	Attempt int
	Result  Result
	Elapsed Time
	Final   bool
	Miss    bool // the cache had to fetch
	Load    LoadReport
}

// ClientGone says that the client has gone: nothing is owed any more.
type ClientGone struct{ ID int64 }

// TimerFired is the echo of a SetTimer.
type TimerFired struct{ Token int64 }

// HealthCheckDone tells how a probe ended.
type HealthCheckDone struct {
	Cache   string
	Result  Result
	Elapsed Time
	Load    LoadReport
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
func (*PeerMessage) event()     {}

// Action is anything a Router asks for: Send, Cancel, Refuse, Fail, SetTimer,
// Probe, CloseIdle, Watch or Log. The caller carries them out in order.
type Action interface{ action() }

// Send starts the next attempt of a request, given up at StopAt. Where it has to wait for a connection, it is
// not begun at SendBy or later; 0 is no such limit.
type Send struct {
	ID          int64
	Cache       string
	Deadline    Time
	StartBefore Time
}

// Cancel ends the wait on an attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// Reject is a final answer: trying again is harmless.
type Reject struct {
	ID         int64
	RetryAfter Time // advice to stay away; 0 for none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID int64 }

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	Token int64
	At    Time
}

// HealthCheck asks for a health probe of a cache.
type HealthCheck struct{ Cache string }

// CloseIdleConnections closes the router's idle connections to a cache.
type CloseIdleConnections struct{ Cache string }

// Watch subscribes to changes of the list.
type Watch struct{}

// Log adds a line for the person on call.
type Log struct{ Text string }

func (Send) action()                 {}
func (Cancel) action()               {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (SetTimer) action()             {}
func (HealthCheck) action()          {}
func (CloseIdleConnections) action() {}
func (Watch) action()                {}
func (Log) action()                  {}
