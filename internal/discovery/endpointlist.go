package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"marlstage/policy"
)

// NoVersion stands for the version of the endpoint list as long as none has been received.
const NoVersion = -1

const (
	maxNameLength              = 256 // bytes of a cache server's name
	microsecondsPerMillisecond = 1000
)

// EndpointList is a validated endpoint list. It is either a snapshot or the
// changes since an earlier version.
type EndpointList struct {
	Version   int64
	Snapshot  bool // the list is complete: endpoints that are not listed no longer exist
	Endpoints []policy.Endpoint
	Addresses []string // addresses of the endpoints, in the same order
}

// Kind returns how the policy has to apply the list.
func (l *EndpointList) Kind() policy.UpdateKind {
	if l.Snapshot {
		return policy.UpdateSnapshot
	}
	return policy.UpdateDelta
}

// HasInService reports whether a listed cache server accepts requests.
func (l *EndpointList) HasInService() bool {
	return slices.ContainsFunc(l.Endpoints, func(e policy.Endpoint) bool { return e.State == policy.InService })
}

// FieldError reports a field of an endpoint list that is missing or invalid.
type FieldError struct {
	Field  string // JSON key
	Reason string
}

// Error returns the field's key and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// listDocument is the JSON form of an endpoint list. Unknown keys are ignored.
type listDocument struct {
	Version   *int64              `json:"index"`
	Snapshot  bool                `json:"snapshot"`
	Endpoints *[]endpointDocument `json:"endpoints"`
}

// endpointDocument is the JSON form of an endpoint.
type endpointDocument struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Group       int      `json:"group"`
	Status      string   `json:"status"`
	Weight      *float64 `json:"weight"`
	StartedAtMS int64    `json:"since_ms"`
}

var endpointStates = map[string]policy.EndpointState{
	"in_service":  policy.InService,
	"terminating": policy.Draining,
	"terminated":  policy.Removed,
}

// ParseEndpointList parses an endpoint list as the discovery service sends it.
// A single invalid endpoint invalidates the whole list, because a partially
// applied list would be worse than the previous one.
func ParseEndpointList(raw []byte) (EndpointList, error) {
	var doc listDocument
	if err := json.Unmarshal(raw, &doc); err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", err)
	}
	if key := duplicateKey(raw, "index", "snapshot", "endpoints"); key != "" {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", &FieldError{Field: key, Reason: "given twice"})
	}
	list, err := doc.endpointList()
	if err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: %w", err)
	}
	return list, nil
}

// endpointList validates the document and converts it.
func (d *listDocument) endpointList() (EndpointList, error) {
	if d.Version == nil || *d.Version < 0 {
		return EndpointList{}, &FieldError{Field: "index", Reason: "missing or negative"}
	}
	if d.Endpoints == nil {
		return EndpointList{}, &FieldError{Field: "endpoints", Reason: "missing"}
	}
	list := EndpointList{Version: *d.Version, Snapshot: d.Snapshot}
	listed := make(map[string]bool, len(*d.Endpoints))
	for i, doc := range *d.Endpoints {
		if err := doc.validate(listed); err != nil {
			return EndpointList{}, fmt.Errorf("endpoints[%d].%w", i, err)
		}
		listed[doc.Name] = true
		list.Endpoints = append(list.Endpoints, doc.endpoint())
		list.Addresses = append(list.Addresses, doc.Address)
	}
	return list, nil
}

// validate returns a *FieldError for the first invalid field. listed holds the
// names of the preceding endpoints, as a name may occur only once. A removed
// endpoint needs no address.
func (d *endpointDocument) validate(listed map[string]bool) error {
	if d.Name == "" || len(d.Name) > maxNameLength || listed[d.Name] {
		return &FieldError{Field: "name", Reason: "empty, too long or listed twice"}
	}
	state, known := endpointStates[d.Status]
	if !known {
		return &FieldError{Field: "status", Reason: "unknown value"}
	}
	if d.StartedAtMS < 0 || d.StartedAtMS > math.MaxInt64/microsecondsPerMillisecond {
		return &FieldError{Field: "since_ms", Reason: "out of range"}
	}
	if _, err := netip.ParseAddrPort(d.Address); err != nil && state != policy.Removed {
		return &FieldError{Field: "address", Reason: "not an IP address with a port"}
	}
	if w := d.Weight; w != nil && (!(*w >= 0) || math.IsInf(*w, 0)) {
		return &FieldError{Field: "weight", Reason: "out of range"}
	}
	return nil
}

// endpoint converts a valid document.
func (d *endpointDocument) endpoint() policy.Endpoint {
	weight := 1.0
	if d.Weight != nil {
		weight = *d.Weight
	}
	return policy.Endpoint{
		ID:        d.Name,
		Zone:      d.Zone,
		Group:     d.Group,
		Weight:    weight,
		StartedAt: d.StartedAtMS * microsecondsPerMillisecond,
		State:     endpointStates[d.Status],
	}
}
