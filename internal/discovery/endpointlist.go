package discovery

import (
	"bytes"
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
	Version   *int64       `json:"index"`
	Snapshot  bool         `json:"snapshot"`
	Endpoints *endpointSet `json:"endpoints"`
}

// endpointSet is the array of endpoints in a list. Each is validated and converted as it is decoded, so that the memory
// needed is bounded by that of valid endpoints, however short the elements of an array are.
type endpointSet struct {
	endpoints []policy.Endpoint
	addresses []string
	listed    map[string]bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *endpointSet) UnmarshalJSON(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if start, err := decoder.Token(); err != nil || start != json.Delim('[') {
		return &FieldError{Field: "endpoints", Reason: "not an array"}
	}
	*s = endpointSet{listed: map[string]bool{}}
	for i := 0; decoder.More(); i++ {
		var doc endpointDocument
		if err := decoder.Decode(&doc); err != nil {
			return err
		}
		if err := s.add(doc); err != nil {
			return fmt.Errorf("endpoints[%d].%w", i, err)
		}
	}
	return nil
}

// add validates an endpoint and adds it to the set.
func (s *endpointSet) add(doc endpointDocument) error {
	if err := doc.validate(s.listed); err != nil {
		return err
	}
	s.listed[doc.Name] = true
	s.endpoints = append(s.endpoints, doc.endpoint())
	s.addresses = append(s.addresses, doc.Address)
	return nil
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
	return EndpointList{
		Version:   *d.Version,
		Snapshot:  d.Snapshot,
		Endpoints: d.Endpoints.endpoints,
		Addresses: d.Endpoints.addresses,
	}, nil
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
