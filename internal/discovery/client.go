// Package discovery is the client of the discovery service, which publishes
// the endpoint list of the cache servers. The client uses long polling: a call
// names the version of the list that the client has, and the service delays its
// response until the list changes or the requested wait is over.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// ResponseAllowance is the time that a call may take in addition to its wait.
	ResponseAllowance = time.Second

	// requiredWatchWait is the wait of a watch where lists are sent only to
	// routers that watch. It is the longer one because each watch has a cost.
	requiredWatchWait = 3 * time.Second
	// optionalWatchWait is the wait elsewhere. It is shorter because a change that
	// a stalled watch misses must be received before policy.NotificationTimeout.
	optionalWatchWait = 2 * time.Second

	// minCallInterval is the minimum time between the start of a call that returns
	// no change and the next call. It limits the processor time that is spent on a
	// service that responds without waiting. It is short enough not to count as a
	// gap in the watch.
	minCallInterval = 50 * time.Millisecond

	hostsPath       = "/discovery/hosts"
	maxResponseSize = 8 << 20 // bytes in the body of a response
	// responseMemoryDivisor limits a response's body to this fraction of the
	// memory, because parsing takes several times the size of the body.
	responseMemoryDivisor = 16
	// minMaxEndpoints is the smallest limit on the number of endpoints, and memoryPerEndpoint the ratio of the memory in
	// bytes to the limit.
	minMaxEndpoints   = 4096
	memoryPerEndpoint = 8 << 10
	maxHeaderSize     = 64 << 10 // bytes in the header of a response
	idleConnTimeout   = 90 * time.Second
)

var (
	// ErrOutOfOrder reports that the service cannot supply the changes since the
	// requested version. The next call has to request a snapshot, because the same
	// call would fail each time.
	ErrOutOfOrder = errors.New("out of order")

	// ErrTooManyEndpoints reports a list with more endpoints than the router has memory for.
	ErrTooManyEndpoints = errors.New("too many endpoints")

	// ErrResponseTooLong reports a response whose body exceeds the size limit.
	ErrResponseTooLong = errors.New("response is too long")
)

// StatusError reports a response whose status is not 200 OK.
type StatusError struct {
	Code   int
	Status string // code and reason phrase
}

// Error describes the status.
func (e *StatusError) Error() string { return "response status is " + e.Status }

// isClientError reports a 4xx status, with which the service rejects the call as
// invalid.
func (e *StatusError) isClientError() bool { return e.Code/100 == 4 }

// WatchWait returns how long the service may hold a call of a watch open.
// watchRequired tells whether lists are sent only to routers that watch.
func WatchWait(watchRequired bool) time.Duration {
	if watchRequired {
		return requiredWatchWait
	}
	return optionalWatchWait
}

// MaxResponseSize returns the size limit of a response's body, in bytes, for a
// machine with the given memory.
func MaxResponseSize(memoryMB int64) int64 {
	return min(maxResponseSize, memoryMB<<20/responseMemoryDivisor)
}

// MaxEndpoints returns the largest number of endpoints of a list for a machine with the given memory.
func MaxEndpoints(memoryMB int64) int {
	return int(max(minMaxEndpoints, memoryMB<<20/memoryPerEndpoint))
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	Address         string        // of the discovery service
	MaxResponseSize int64         // bytes in the body of a response
	MaxEndpoints    int           // in a response; 0 for no limit
	WatchWait       time.Duration // how long the service may hold a call open
}

// Client calls the discovery service. It has at most one connection, as each one
// counts against the router's limit on descriptors.
type Client struct {
	url             string
	maxResponseSize int64
	maxEndpoints    int
	watchWait       time.Duration
	http            *http.Client
}

// NewClient returns a client. It opens no connection before the first call.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		url:             "http://" + cfg.Address + hostsPath,
		maxResponseSize: cfg.MaxResponseSize,
		maxEndpoints:    cfg.MaxEndpoints,
		watchWait:       cfg.WatchWait,
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:        1,
				MaxIdleConnsPerHost:    1,
				IdleConnTimeout:        idleConnTimeout,
				MaxResponseHeaderBytes: maxHeaderSize,
				// Connecting has its own, shorter timeout: an unreachable machine must not
				// block a call for as long as a watch may take.
				DialContext: (&net.Dialer{Timeout: ResponseAllowance}).DialContext,
			},
			// Redirects are not followed, as they would lead away from the configured address.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// CloseIdleConnections closes the connection if no call uses it.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Watch passes each list that follows the given version to handle. It returns an
// error when a call fails or the context ends. It makes the next call immediately
// after each response, as a pause would be a gap in the watch. The exception is a
// response without a change: then it waits until minCallInterval has passed since
// the start of the call.
func (c *Client) Watch(ctx context.Context, version int64, handle func(EndpointList)) error {
	for {
		start := time.Now()
		list, err := c.Poll(ctx, version)
		if err != nil {
			return err
		}
		changed := list.Version != version
		version = list.Version
		handle(list)
		if !changed {
			if err := sleepUntil(ctx, start.Add(minCallInterval)); err != nil {
				return err
			}
		}
	}
}

// sleepUntil waits until the given time. It returns an error if the context ends
// first.
func sleepUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Poll makes one call. It waits for changes since the given version. With
// NoVersion, it requests a snapshot, which the service sends without waiting.
func (c *Client) Poll(ctx context.Context, version int64) (EndpointList, error) {
	// The timeout also covers the body: a service that stalls in the middle of a
	// response must not block the watch indefinitely.
	ctx, cancel := context.WithTimeout(ctx, c.timeout(version))
	defer cancel()
	body, err := c.fetch(ctx, c.pollURL(version))
	if err != nil {
		return EndpointList{}, markOutOfOrder(err, version)
	}
	list, err := ParseEndpointList(body)
	if err != nil {
		return EndpointList{}, err
	}
	if c.maxEndpoints > 0 && len(list.Endpoints) > c.maxEndpoints {
		return EndpointList{}, ErrTooManyEndpoints
	}
	return list, checkOrder(&list, version)
}

// timeout returns the time limit for a call including its response. The service
// does not delay its response to a call for a snapshot, so the limit does not
// depend on the client's wait there.
func (c *Client) timeout(version int64) time.Duration {
	if version == NoVersion {
		return optionalWatchWait + ResponseAllowance
	}
	return c.watchWait + ResponseAllowance
}

func (c *Client) pollURL(version int64) string {
	if version == NoVersion {
		return c.url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", c.url, version, c.watchWait.Milliseconds())
}

// fetch returns the body of a response with status 200 OK.
func (c *Client) fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Code: resp.StatusCode, Status: resp.Status}
	}
	return c.readBody(resp)
}

// readBody reads the body of a response. If the service tells its length, it needs no more memory than that.
func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	switch length := resp.ContentLength; {
	case length > c.maxResponseSize:
		return nil, ErrResponseTooLong
	case length >= 0:
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseSize+1))
	if err == nil && int64(len(body)) > c.maxResponseSize {
		err = ErrResponseTooLong
	}
	return body, err
}

// markOutOfOrder wraps the error in ErrOutOfOrder if the service rejected a call for
// changes as invalid, because it may not know the version.
func markOutOfOrder(err error, version int64) error {
	var status *StatusError
	if version != NoVersion && errors.As(err, &status) && status.isClientError() {
		return fmt.Errorf("%w: %w", ErrOutOfOrder, err)
	}
	return err
}

// checkOrder returns ErrOutOfOrder for changes that do not follow the given
// version. A snapshot follows every version.
func checkOrder(list *EndpointList, version int64) error {
	if list.Snapshot || version != NoVersion && list.Version >= version {
		return nil
	}
	return fmt.Errorf("%w: changes up to version %d do not follow version %d", ErrOutOfOrder, list.Version, version)
}
