package scaletest

// This file shares parsed endpoint lists between hollow routers.

import (
	"bytes"
	"sync"

	"marlstage/internal/discovery"
)

// endpointListCache keeps the endpoint list that was parsed last. Most hollow routers of a process
// receive the same list. Parsing it only once leaves more processor time to the measured processes, which
// run on the same machine.
type endpointListCache struct {
	mu     sync.Mutex
	raw    []byte
	parsed *discovery.EndpointList
}

// parse parses a reply of discovery, or returns the cached list if the previous reply was the same.
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
