package scaletest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"marlstage/internal/router"
	"marlstage/policy"
)

// The backoff after a failed watch: doubled with each in a row, and at most half of the drain grace.
const (
	watchBackoffBase  = 100_000 // microseconds
	maxWatchDoublings = 4
)

// watchReplyAllowance is how much longer than discovery may hold a watch open its reply may take.
const watchReplyAllowance = time.Second

// newDiscoveryClient makes a client whose bytes are counted at the fleet.
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

// startWatch keeps a watch going until a call fails.
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

// watchFailed notifies the engine where it is the one to start the next watch, and else starts
// that after a backoff.
func (h *hollowRouter) watchFailed() {
	h.watching = false
	if h.fleet.settings.WatchRequired {
		h.notify(&policy.EndpointsUpdate{Kind: policy.UpdateFailed})
		return
	}
	h.scheduleAt(h.now+h.watchBackoff(), h.startWatch)
}

// watchBackoff differs between the routers, so that they do not all call again at the same time.
func (h *hollowRouter) watchBackoff() policy.Time {
	backoff := min(watchBackoffBase<<min(h.failedWatches, maxWatchDoublings), h.fleet.settings.DrainGrace/2)
	h.failedWatches++
	return policy.Time(float64(backoff) * (.5 + rand.Float64()/2))
}

// callDiscovery waits for what has changed after a version of the endpoint list.
func (h *hollowRouter) callDiscovery(version int64) (*endpointList, error) {
	wait := router.WatchWait(h.fleet.settings.WatchRequired)
	ctx, cancel := context.WithTimeout(h.fleet.ctx, wait+watchReplyAllowance)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?after=%d&wait_ms=%d", h.fleet.spec.DiscoveryAddr, discoveryPath, version, wait.Milliseconds())
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
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return h.fleet.lists.parse(body)
}

// applyEndpoints takes over an endpoint list.
func (h *hollowRouter) applyEndpoints(list *endpointList) {
	h.endpointsVersion = list.Version
	h.failedWatches = 0
	h.fleet.endpoints.Add(int64(len(list.Policy)))
	kind := policy.UpdateDelta
	if list.Snapshot {
		kind = policy.UpdateSnapshot
		for _, p := range h.pools {
			p.inService = false // unless it is listed
		}
	}
	for _, endpoint := range list.Policy {
		if p := h.poolsByName[endpoint.ID]; p != nil {
			p.inService = endpoint.State == policy.InService
		}
	}
	for _, p := range h.pools {
		p.dispatch()
	}
	h.notify(&policy.EndpointsUpdate{Kind: kind, Endpoints: list.Policy})
	if h.fleet.spec.OnEndpoints != nil {
		h.fleet.spec.OnEndpoints(list.Version)
	}
}
