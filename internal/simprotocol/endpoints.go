package simprotocol

import (
	"encoding/json"

	"marlstage/policy"
)

// endpointListDocument is the JSON form of an endpoint list.
type endpointListDocument struct {
	List      *int64             `json:"rosterId"`
	Endpoints []endpointDocument `json:"hosts"`
}

// endpointDocument is the JSON form of an endpoint.
type endpointDocument struct {
	Group     int      `json:"unitGroup"`
	StartedAt int64    `json:"startTime"`
	Weight    *float64 `json:"size"`
	Zone      string   `json:"failureDomain"`
	State     string   `json:"condition"`
	ID        string   `json:"server"`
}

var endpointStates = map[string]policy.EndpointState{
	"up":       policy.InService,
	"draining": policy.Draining,
	"removed":  policy.Removed,
}

// defineList stores an endpoint list, to which later messages refer by its ID.
func (a *Adapter) defineList(body []byte) error {
	var doc endpointListDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return decodeError(err)
	}
	if doc.List == nil {
		return &FieldError{Field: "rosterId", Reason: "missing"}
	}
	endpoints := make([]policy.Endpoint, 0, len(doc.Endpoints))
	for _, e := range doc.Endpoints {
		endpoint, err := e.endpoint()
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	a.endpointLists[*doc.List] = endpoints
	return nil
}

// endpoint validates the document and converts it.
func (d *endpointDocument) endpoint() (policy.Endpoint, error) {
	state, ok := endpointStates[d.State]
	if !ok || d.ID == "" {
		return policy.Endpoint{}, &EndpointError{ID: d.ID, State: d.State}
	}
	weight := 1.0
	if d.Weight != nil {
		weight = *d.Weight
	}
	return policy.Endpoint{
		ID:        d.ID,
		Zone:      d.Zone,
		Group:     d.Group,
		Weight:    weight,
		StartedAt: d.StartedAt,
		State:     state,
	}, nil
}
