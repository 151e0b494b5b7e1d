package scaletest

// This file implements a hollow router's watch of the endpoint list.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"marlstage/internal/discovery"
	"marlstage/policy"
)

// newDiscoveryClient returns an HTTP client that adds its bytes to the fleet's counters.
func newDiscoveryClient(f *Fleet) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{Conn: nc, bytesIn: &f.bytesIn, bytesOut: &f.bytesOut}, nil
		},
	}}
}

// startWatch starts a watch, unless one is running. It ends when a call to discovery fails.
func (h *hollowRouter) startWatch() {
	if h.watching {
		return
	}
	h.watching = true
	go h.watch(h.endpointsVersion)
}

func (h *hollowRouter) watch(version int64) {
	for {
		list, err := h.callDiscovery(version)
		if err != nil {
			h.run(h.watchFailed)
			return
		}
		version = list.Version
		h.run(func() { h.applyEndpoints(list) })
	}
}

// watchFailed notifies the engine if the engine is responsible for starting the next watch. Otherwise it
// starts the next watch after a backoff.
func (h *hollowRouter) watchFailed() {
	h.watching = false
	if h.fleet.settings.WatchRequired {
		h.notify(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
		return
	}
	backoff := h.watchBackoff.Next(h.fleet.settings.DrainGrace)
	h.scheduleAt(h.now+backoff, h.startWatch)
}

// callDiscovery requests the changes of the endpoint list since a version and waits for the reply.
func (h *hollowRouter) callDiscovery(version int64) (*discovery.EndpointList, error) {
	wait := discovery.WatchWait(h.fleet.settings.WatchRequired)
	ctx, cancel := context.WithTimeout(h.fleet.ctx, wait+discovery.ResponseAllowance)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?after=%d&wait_ms=%d",
		h.fleet.spec.DiscoveryAddr, discoveryPath, version, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body := make([]byte, max(0, resp.ContentLength))
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &discovery.StatusError{Code: resp.StatusCode, Status: resp.Status}
	}
	return h.fleet.listCache.parse(body)
}

// applyEndpoints updates the pools with an endpoint list and passes it to the engine.
func (h *hollowRouter) applyEndpoints(list *discovery.EndpointList) {
	h.endpointsVersion = list.Version
	h.watchBackoff.Reset()
	h.fleet.endpoints.Add(int64(len(list.Endpoints)))
	if list.Snapshot {
		for _, p := range h.pools {
			p.inService = false // set again below if it is listed
		}
	}
	for _, endpoint := range list.Endpoints {
		if p := h.poolsByName[endpoint.ID]; p != nil {
			p.inService = endpoint.State == policy.InService
		}
	}
	for _, p := range h.pools {
		p.dispatch()
	}
	h.notify(&policy.EndpointsUpdate{Kind: list.Kind(), Endpoints: list.Endpoints})
	if h.fleet.spec.OnEndpoints != nil {
		h.fleet.spec.OnEndpoints(list.Version)
	}
}
