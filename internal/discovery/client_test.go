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

// TestInvalidResponseFailsWatch: no part of an invalid list is handed on.
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

// TestResponseSizeLimit at the smallest memory: a list of 1,024 endpoints with
// the longest names is accepted, and one over the size bound fails the watch.
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

// TestRejectedVersionIsOutOfOrder: a status that rejects the call asks for a
// snapshot, and one of an overloaded service does not.
func TestRejectedVersionIsOutOfOrder(t *testing.T) {
	for status, want := range map[int]bool{http.StatusGone: true, http.StatusBadRequest: true, http.StatusServiceUnavailable: false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		defer srv.Close()
		_, err := newTestClient(srv.Listener.Addr().String()).Poll(context.Background(), 5)
		if got := errors.Is(err, ErrOutOfOrder); err == nil || got != want {
			t.Errorf("%d: %v", status, err)
		}
		if statusErr := (*StatusError)(nil); !errors.As(err, &statusErr) || statusErr.Code != status {
			t.Errorf("%d: %v names no such status", status, err)
		}
	}
}

// serveStalled accepts one connection, and writes to it after the request has
// come. It leaves the connection open.
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

// TestStalledResponseTimesOut before its first byte and at any place within.
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

// TestFruitlessRepliesDoNotSpin: a service that replies at once though it has nothing new is not called as fast as it
// replies.
func TestFruitlessRepliesDoNotSpin(t *testing.T) {
	addr, bodies := newFakeService(t)
	lists, _ := startWatch(t, newTestClient(addr))
	const replies = 5
	begun := time.Now()
	for range replies {
		bodies <- listJSON(5, false)
		receive(t, lists, "list")
	}
	if elapsed := time.Since(begun); elapsed < (replies-1)*minCallInterval {
		t.Errorf("%d calls within %v", replies, elapsed)
	}
}
