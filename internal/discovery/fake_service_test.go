package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout limits each wait for an expected event. Only a failing test waits
// that long.
const testTimeout = 30 * time.Second

// receive returns the next value from the channel. what describes the value in
// the failure message.
func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s within %v", what, testTimeout)
		panic("unreachable")
	}
}

// newTestClient returns a client with the limits for a router that has 192 MB of
// memory and where a watch is required.
func newTestClient(addr string) *Client {
	return NewClient(ClientConfig{Address: addr, MaxResponseSize: MaxResponseSize(192), WatchWait: WatchWait(true)})
}

// startWatch starts a watch from version 5. It returns a channel of the received
// lists and a channel of the error that ends the watch.
func startWatch(t *testing.T, client *Client) (lists <-chan EndpointList, failed <-chan error) {
	t.Helper()
	received, ended := make(chan EndpointList, 1), make(chan error, 1)
	go func() {
		ended <- client.Watch(t.Context(), 5, func(list EndpointList) { received <- list })
	}()
	return received, ended
}

// endpointJSON returns the JSON form of an endpoint.
func endpointJSON(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"weight":1,"since_ms":0}`, name, addr, status)
}

// listJSON returns the JSON form of an endpoint list.
func listJSON(version int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, version, snapshot, strings.Join(endpoints, ","))
}

// newFakeService starts a fake discovery service and returns its address. It
// responds to each call with the next body from the channel, or with status 503
// if that body is empty.
func newFakeService(t *testing.T) (addr string, bodies chan<- string) {
	t.Helper()
	responses := make(chan string)
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case body := <-responses:
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprint(w, body) // fails only if the client has gone
		case <-done:
		}
	}))
	t.Cleanup(func() {
		close(done)
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String(), responses
}
