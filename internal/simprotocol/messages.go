package simprotocol

import (
	"encoding/json"
	"fmt"
	"strconv"

	"marlstage/policy"
)

// Names of the messages that carry no event for the policy.
const (
	defineListMessage  = "DefineList"
	newInstanceMessage = "NewInstance"
	exitMessage        = "Exit"
)

// message holds the fields of all messages to an instance. Each kind of message
// uses some of them.
type message struct {
	Instance     *int64             `json:"i"`
	Seed         uint64             `json:"seed"`
	Info         json.RawMessage    `json:"info"` // settings of a new instance, or a number about the reply to an attempt
	EndpointList int64              `json:"rosterId"`
	UpdateKind   string             `json:"scope"`
	RequestID    int64              `json:"tid"`
	Class        string             `json:"tierClass"`
	Tenant       any                `json:"tenant"`
	Key          *uint64            `json:"entity"`
	Deadline     int64              `json:"dropDead"`
	Cost         int64              `json:"costGuess"`
	Write        bool               `json:"isWrite"`
	Cache        string             `json:"server"`
	Attempt      int                `json:"sendNo"`
	Result       string             `json:"stateCode"`
	Elapsed      int64              `json:"elapsed"`
	Final        bool               `json:"last"`
	LoadReport   map[string]float64 `json:"feedback"`
	TimerToken   int64              `json:"cookie"`
	From         int                `json:"originPeer"`
	Data         string             `json:"data"`
}

// eventDecoders maps the name of each message that carries an event to the
// function that decodes it.
var eventDecoders = map[string]func(*Adapter, *message) (policy.Event, error){
	"Registry":   (*Adapter).endpointsUpdate,
	"WorkItem":   decodeRequest,
	"UnderWay":   decodeResponseStarted,
	"AttemptEnd": decodeAttemptDone,
	"Left":       decodeClientGone,
	"Fired":      decodeTimerFired,
	"Checked":    decodeHealthCheckDone,
	"Datagram":   decodePeerMessage,
}

// isKnownMessage reports whether the protocol defines a message with the given
// name.
func isKnownMessage(name string) bool {
	switch name {
	case defineListMessage, newInstanceMessage, exitMessage:
		return true
	}
	return eventDecoders[name] != nil
}

var updateKinds = map[string]policy.UpdateKind{
	"D": policy.UpdateDelta,
	"F": policy.UpdateSnapshot,
	"C": policy.UpdateStale,
	"X": policy.UpdateFailed,
}

// endpointsUpdate decodes an update of the endpoint list. The update refers to a
// list that was defined before, except for the report of a failed poll or watch.
func (a *Adapter) endpointsUpdate(m *message) (policy.Event, error) {
	kind, ok := updateKinds[m.UpdateKind]
	if !ok {
		return nil, &FieldError{Field: "scope", Reason: fmt.Sprintf("unknown value %q", m.UpdateKind)}
	}
	if kind == policy.UpdateFailed {
		return &policy.EndpointsUpdate{Kind: kind}, nil
	}
	endpoints, ok := a.endpointLists[m.EndpointList]
	if !ok {
		return nil, &FieldError{Field: "rosterId", Reason: fmt.Sprintf("list %d was never defined", m.EndpointList)}
	}
	return &policy.EndpointsUpdate{Kind: kind, Endpoints: endpoints}, nil
}

func decodeRequest(_ *Adapter, m *message) (policy.Event, error) {
	request := &policy.Request{ID: m.RequestID, Class: m.Class, Deadline: m.Deadline, Cost: m.Cost, Write: m.Write}
	request.Tenant, _ = m.Tenant.(string) // a value of another type means that there is no tenant
	if m.Key != nil {
		request.Key = *m.Key
		request.HasKey = true
	}
	return request, nil
}

func decodeResponseStarted(_ *Adapter, m *message) (policy.Event, error) {
	return &policy.ResponseStarted{ID: m.RequestID, Attempt: m.Attempt}, nil
}

func decodeAttemptDone(_ *Adapter, m *message) (policy.Event, error) {
	result, err := m.result()
	if err != nil {
		return nil, err
	}
	return &policy.AttemptDone{
		ID:      m.RequestID,
		Attempt: m.Attempt,
		Result:  result,
		Elapsed: m.Elapsed,
		Final:   m.Final,
		Miss:    m.isMiss(),
		Load:    m.loadReport(),
	}, nil
}

func decodeClientGone(_ *Adapter, m *message) (policy.Event, error) {
	return &policy.ClientGone{ID: m.RequestID}, nil
}

func decodeTimerFired(_ *Adapter, m *message) (policy.Event, error) {
	return &policy.TimerFired{Token: m.TimerToken}, nil
}

func decodeHealthCheckDone(_ *Adapter, m *message) (policy.Event, error) {
	result, err := m.result()
	if err != nil {
		return nil, err
	}
	return &policy.HealthCheckDone{Cache: m.Cache, Result: result, Elapsed: m.Elapsed, Load: m.loadReport()}, nil
}

func decodePeerMessage(_ *Adapter, m *message) (policy.Event, error) {
	return &policy.PeerMessage{From: m.From, Data: m.Data}, nil
}

var results = map[string]policy.Result{
	"served":          policy.Served,
	"server_error":    policy.ServerError,
	"turned_away":     policy.Rejected,
	"no_answer":       policy.TimedOut,
	"no_connection":   policy.ConnectFailed,
	"connection_lost": policy.ConnectionLost,
	"called_off":      policy.Cancelled,
	"not_sent":        policy.NotSent,
	"not_stored":      policy.NotStored,
}

func (m *message) result() (policy.Result, error) {
	result, ok := results[m.Result]
	if !ok {
		return 0, &FieldError{Field: "stateCode", Reason: fmt.Sprintf("unknown outcome %q", m.Result)}
	}
	return result, nil
}

// minMissInfo is the smallest value of the info field that means a miss.
const minMissInfo = 2

// isMiss reports whether the cache server had to fetch the value. It returns
// false if the info field is not a number.
func (m *message) isMiss() bool {
	n, err := strconv.Atoi(string(m.Info))
	return err == nil && n >= minMissInfo
}

// unknownUtilization is the value of LoadReport.Utilization if the report
// contains no utilization.
const unknownUtilization = -1

func (m *message) loadReport() policy.LoadReport {
	report := policy.LoadReport{Utilization: unknownUtilization, ErrorRate: m.LoadReport["fail_rate"]}
	if utilization, ok := m.LoadReport["busy"]; ok {
		report.Utilization = utilization
	}
	return report
}
