package scaletest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"

	"marlstage/policy"
)

// endpointList is a reply of discovery.
type endpointList struct {
	Version   int64 `json:"index"`
	Snapshot  bool
	Endpoints []listedEndpoint
	Policy    []policy.Endpoint `json:"-"` // the same endpoints in the form of the policy engine
}

// listedEndpoint is an endpoint as it is on the wire.
type listedEndpoint struct {
	Name, Address, Zone, Status string
	Group                       int
	Weight                      float64
	SinceMS                     int64 `json:"since_ms"`
}

// The states of an endpoint on the wire.
const (
	statusInService   = "in_service"
	statusTerminating = "terminating"
	statusTerminated  = "terminated"
)

var endpointStates = map[string]policy.EndpointState{
	statusInService:   policy.InService,
	statusTerminating: policy.Draining,
	statusTerminated:  policy.Removed,
}

const microsecondsPerMillisecond = 1000

// parseEndpointList reads a reply of discovery.
func parseEndpointList(raw []byte) (*endpointList, error) {
	list := &endpointList{}
	if err := json.Unmarshal(raw, list); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	for _, e := range list.Endpoints {
		list.Policy = append(list.Policy, policy.Endpoint{
			ID:        e.Name,
			Zone:      e.Zone,
			Group:     e.Group,
			Weight:    e.Weight,
			StartedAt: e.SinceMS * microsecondsPerMillisecond,
			State:     endpointStates[e.Status],
		})
	}
	return list, nil
}

// endpointListCache keeps the last list that was parsed: most hollow routers of a process get the
// same one, and parsing it once leaves the processor time to what is measured.
type endpointListCache struct {
	mu     sync.Mutex
	raw    []byte
	parsed *endpointList
}

// parse reads a reply of discovery, once for all routers in a row that got the same.
func (c *endpointListCache) parse(raw []byte) (*endpointList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parsed != nil && bytes.Equal(raw, c.raw) {
		return c.parsed, nil
	}
	list, err := parseEndpointList(raw)
	if err != nil {
		return nil, err
	}
	c.raw = raw
	c.parsed = list
	return list, nil
}
