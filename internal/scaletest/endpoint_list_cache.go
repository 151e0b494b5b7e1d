package scaletest

// This file shares parsed endpoint lists between hollow routers.

import (
	"bytes"
	"sync"

	"marlstage/internal/discovery"
)

// endpointListCache keeps the last list that was parsed: most hollow routers of a process get the
// same one, and parsing it once leaves the processor time to what is measured.
type endpointListCache struct {
	mu     sync.Mutex
	raw    []byte
	parsed *discovery.EndpointList
}

// parse reads a reply of discovery, once for all routers in a row that got the same.
func (c *endpointListCache) parse(raw []byte) (*discovery.EndpointList, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parsed != nil && bytes.Equal(raw, c.raw) {
		return c.parsed, nil
	}
	list, err := discovery.ParseEndpointList(raw)
	if err != nil {
		return nil, err
	}
	c.raw = raw
	c.parsed = &list
	return c.parsed, nil
}
