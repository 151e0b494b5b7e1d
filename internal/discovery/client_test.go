package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestInvalidResponseFailsWatch checks that an invalid list ends the watch and that no part of it is delivered.
func TestInvalidResponseFailsWatch(t *testing.T) {
	good := endpointJSON("c1", "127.0.0.1:1", "in_service")
	for _, body := range []string{"", "not JSON", "{}", `{"index":5}`, `{"index":-5,"snapshot":true,"endpoints":[]}`,
		listJSON(3, false), // older than the known version
		listJSON(9, true, good, good),
		listJSON(9, true, endpointJSON("", "127.0.0.1:1", "in_service")),
		listJSON(9, true, endpointJSON("c2", "example.org:1", "in_service")),
		listJSON(9, true, endpointJSON("c2", "", "in_service")),
		listJSON(9, true, endpointJSON("c2", "127.0.0.1:1", "odd")),
		listJSON(9, true, strings.Replace(good, `"weight":1`, `"weight":-1`, 1)),
		listJSON(9, true, strings.Replace(good, `"since_ms":0`, `"since_ms":-1`, 1)),
	} {
		addr, bodies := newFakeService(t)
		lists, failed := startWatch(t, newTestClient(addr))
		bodies <- body
		select {
		case err := <-failed:
			if err == nil {
				t.Errorf("%q: no error", body)
			}
		case list := <-lists:
			t.Errorf("%q was accepted: %+v", body, list)
		}
	}
}

// TestTooManyEndpointsFailWatch checks that a list with more endpoints than the limit fails the watch.
func TestTooManyEndpointsFailWatch(t *testing.T) {
	const limit = 3
	for n, want := range map[int]error{limit: nil, limit + 1: ErrTooManyEndpoints} {
		var endpoints []string
		for i := range n {
			endpoints = append(endpoints, endpointJSON(fmt.Sprint("c", i), "127.0.0.1:1", "in_service"))
		}
		addr, bodies := newFakeService(t)
		client := NewClient(ClientConfig{Address: addr, MaxResponseSize: MaxResponseSize(32), MaxEndpoints: limit, WatchWait: WatchWait(true)})
		lists, failed := startWatch(t, client)
		bodies <- listJSON(9, true, endpoints...)
		select {
		case err := <-failed:
			if !errors.Is(err, want) {
				t.Errorf("%d endpoints: error %v, want %v", n, err, want)
			}
		case <-lists:
			if want != nil {
				t.Errorf("%d endpoints were accepted", n)
			}
		}
	}
}

// TestResponseSizeLimit checks with the smallest memory that a list of 1,024 endpoints with the longest names
// is accepted, and that a list over the size limit fails the watch.
func TestResponseSizeLimit(t *testing.T) {
	for _, n := range []int{1024, 20 * 1024} {
		var endpoints []string
		for i := range n {
			endpoints = append(endpoints, endpointJSON(fmt.Sprintf("%0*d", maxNameLength, i), "127.123.123.123:65535", "in_service"))
		}
		addr, bodies := newFakeService(t)
		client := NewClient(ClientConfig{Address: addr, MaxResponseSize: MaxResponseSize(32), WatchWait: WatchWait(true)})
		lists, failed := startWatch(t, client)
		bodies <- listJSON(9, true, endpoints...)
		select {
		case err := <-failed:
			if n == 1024 || !strings.Contains(err.Error(), "too long") {
				t.Errorf("%d endpoints: %v", n, err)
			}
			if !errors.Is(err, ErrResponseTooLong) {
				t.Errorf("%d endpoints: %v is not ErrResponseTooLong", n, err)
			}
		case list := <-lists:
			if n > 1024 || len(list.Endpoints) != n {
				t.Errorf("%d endpoints: %d accepted", n, len(list.Endpoints))
			}
		}
	}
}

// TestRejectedVersionIsOutOfOrder checks that a 4xx status makes the client request a snapshot, and that the
// status of an overloaded service does not.
func TestRejectedVersionIsOutOfOrder(t *testing.T) {
	for status, want := range map[int]bool{http.StatusGone: true, http.StatusBadRequest: true, http.StatusServiceUnavailable: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		defer srv.Close()
		_, err := newTestClient(srv.Listener.Addr().String()).Poll(context.Background(), 5)
		if got := errors.Is(err, ErrOutOfOrder); err == nil || got != want {
			t.Errorf("%d: %v", status, err)
		}
		if statusErr := (*StatusError)(nil); !errors.As(err, &statusErr) || statusErr.Code != status {
			t.Errorf("%d: error %v is no StatusError with this code", status, err)
		}
	}
}

// serveStalled accepts one connection, reads the request and sends the given bytes. Then it sends no more and
// leaves the connection open until the client closes it.
func serveStalled(ln net.Listener, wire string) {
	nc, err := ln.Accept()
	if err != nil {
		return
	}
	defer nc.Close()
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return // the client gave up first
	}
	_, _ = io.WriteString(nc, wire)
	_, _ = io.Copy(io.Discard, nc)
}

// TestStalledResponseTimesOut checks that a call times out if the response stalls before its first byte, in its
// header or in its body.
func TestStalledResponseTimesOut(t *testing.T) {
	body := listJSON(9, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, sent := range []int{0, 12, len(response) - len(body), len(response) - 1} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go serveStalled(ln, response[:sent])
		client := newTestClient(ln.Addr().String())
		client.watchWait = -ResponseAllowance + 50*time.Millisecond
		failed := make(chan error, 1)
		go func() {
			_, err := client.Poll(context.Background(), 5)
			failed <- err
		}()
		if err := receive(t, failed, "end of the stalled call"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%d bytes: %v", sent, err)
		}
	}
}

// TestUnchangedRepliesAreRateLimited guards against a busy loop of calls to a service that responds
// immediately although the list has not changed.
func TestUnchangedRepliesAreRateLimited(t *testing.T) {
	addr, bodies := newFakeService(t)
	lists, _ := startWatch(t, newTestClient(addr))
	const replies = 5
	start := time.Now()
	for range replies {
		bodies <- listJSON(5, false)
		receive(t, lists, "list")
	}
	if elapsed := time.Since(start); elapsed < (replies-1)*minCallInterval {
		t.Errorf("%d calls within %v", replies, elapsed)
	}
}
