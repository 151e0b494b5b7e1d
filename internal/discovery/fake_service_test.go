package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds each wait for an event that must come. Only a failing
// test waits so long.
const testTimeout = 30 * time.Second

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

// newTestClient returns a client with the bounds of a router with 192 MB of
// memory, where a watch is required.
func newTestClient(addr string) *Client {
	return NewClient(ClientConfig{Address: addr, MaxResponseSize: MaxResponseSize(192), WatchWait: WatchWait(true)})
}

// startWatch runs a watch from version 5 on. It sends the lists that are
// received to one channel, and why the watch ended to the other.
func startWatch(t *testing.T, client *Client) (lists <-chan EndpointList, failed <-chan error) {
	t.Helper()
	received, ended := make(chan EndpointList, 1), make(chan error, 1)
	go func() {
		ended <- client.Watch(t.Context(), 5, func(list EndpointList) { received <- list })
	}()
	return received, ended
}

// endpointJSON is an endpoint of the service's list.
func endpointJSON(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"weight":1,"since_ms":0}`, name, addr, status)
}

// listJSON is a list as the service sends it.
func listJSON(version int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, version, snapshot, strings.Join(endpoints, ","))
}

// newFakeService returns the address of a service that responds to each call
// with the next body from the channel, or with status 503 where that is empty.
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
