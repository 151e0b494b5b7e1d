// Package discovery is the client of the discovery service, which publishes
// the endpoint list of the cache servers. The client long-polls: a call names
// the version that is known, and the service holds it open until the list
// changes or the wait is over.
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
	// ResponseAllowance is how much longer than its wait a call may take.
	ResponseAllowance = time.Second

	// Where each watch has a cost, the service may hold it open for longer.
	requiredWatchWait = 3 * time.Second
	// Elsewhere the wait is shorter: a change that a stalled watch misses must
	// be received before policy.NotificationTimeout.
	optionalWatchWait = 2 * time.Second

	// minCallInterval is the least time from one call that brings no news to the
	// next. It keeps a service that does not wait from taking all processor
	// time, and is short enough not to end the watch.
	minCallInterval = 50 * time.Millisecond

	hostsPath             = "/discovery/hosts"
	maxResponseSize       = 8 << 20  // bytes of a response's body, ...
	responseMemoryDivisor = 16       // ... also bounded by this part of the memory: parsing takes several times the size
	maxHeaderSize         = 64 << 10 // bytes of a response's header
	idleConnTimeout       = 90 * time.Second
)

var (
	// ErrOutOfOrder reports that the changes since a version cannot be had. The
	// next call has to ask for a snapshot; the same call would fail for ever.
	ErrOutOfOrder = errors.New("out of order")

	// ErrResponseTooLong reports a response over the size bound.
	ErrResponseTooLong = errors.New("response is too long")
)

// StatusError reports a response whose status is not 200 OK.
type StatusError struct {
	Code   int
	Status string // code and text
}

// Error names the status.
func (e *StatusError) Error() string { return "response status is " + e.Status }

// isClientError reports whether the service rejected the call itself.
func (e *StatusError) isClientError() bool { return e.Code/100 == 4 }

// WatchWait returns how long the service may hold a watch open. It depends on
// whether lists come only to routers that watch.
func WatchWait(watchRequired bool) time.Duration {
	if watchRequired {
		return requiredWatchWait
	}
	return optionalWatchWait
}

// MaxResponseSize returns the bound on a response's body for a machine with
// the given memory.
func MaxResponseSize(memoryMB int64) int64 {
	return min(maxResponseSize, memoryMB<<20/responseMemoryDivisor)
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	Address         string        // of the discovery service
	MaxResponseSize int64         // bytes of a response's body
	WatchWait       time.Duration // how long the service may hold a watch open
}

// Client calls the discovery service. It holds one connection at most, as
// that counts against the router's descriptors.
type Client struct {
	url             string
	maxResponseSize int64
	watchWait       time.Duration
	http            *http.Client
}

// NewClient returns a client that has made no call yet.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		url:             "http://" + cfg.Address + hostsPath,
		maxResponseSize: cfg.MaxResponseSize,
		watchWait:       cfg.WatchWait,
		http: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost:        1,
				MaxIdleConnsPerHost:    1,
				IdleConnTimeout:        idleConnTimeout,
				MaxResponseHeaderBytes: maxHeaderSize,
				// An unreachable machine must not hold a call for as long as a watch may take.
				DialContext: (&net.Dialer{Timeout: ResponseAllowance}).DialContext,
			},
			// A redirect would lead away from the address that was configured.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// CloseIdleConnections closes the connection that waits for another call.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Watch hands on each list that follows the given version, until a call fails
// or the context ends; it returns why. It calls again at once after each
// response, as a pause would be a gap in the watch, unless the service responds
// without any news faster than is of use.
func (c *Client) Watch(ctx context.Context, version int64, handle func(EndpointList)) error {
	for {
		begun := time.Now()
		list, err := c.Poll(ctx, version)
		if err != nil {
			return err
		}
		hasNews := list.Version != version
		version = list.Version
		handle(list)
		if !hasNews {
			if err := sleepUntil(ctx, begun.Add(minCallInterval)); err != nil {
				return err
			}
		}
	}
}

// sleepUntil waits until the given time. It fails if the context ends first.
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

// Poll makes one call. It waits for changes since the given version, or asks
// for a snapshot without waiting where that is NoVersion.
func (c *Client) Poll(ctx context.Context, version int64) (EndpointList, error) {
	// The timeout covers the body too: a service that stalls in the middle of a
	// response must not hold the watch for ever.
	ctx, cancel := context.WithTimeout(ctx, c.timeout(version))
	defer cancel()
	body, err := c.fetch(ctx, c.pollURL(version))
	if err != nil {
		return EndpointList{}, classify(err, version)
	}
	list, err := ParseEndpointList(body)
	if err != nil {
		return EndpointList{}, err
	}
	return list, checkOrder(&list, version)
}

// timeout bounds a call with its response. One for a snapshot involves no wait.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseSize+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > c.maxResponseSize {
		return nil, ErrResponseTooLong
	}
	return body, nil
}

// classify marks an error as out of order where the service rejected a call
// for changes: it may not know the version.
func classify(err error, version int64) error {
	var status *StatusError
	if version != NoVersion && errors.As(err, &status) && status.isClientError() {
		return fmt.Errorf("%w: %w", ErrOutOfOrder, err)
	}
	return err
}

// checkOrder reports changes that do not follow the given version. A snapshot
// follows any.
func checkOrder(list *EndpointList, version int64) error {
	if list.Snapshot || version != NoVersion && list.Version >= version {
		return nil
	}
	return fmt.Errorf("%w: changes up to version %d do not follow version %d", ErrOutOfOrder, list.Version, version)
}
