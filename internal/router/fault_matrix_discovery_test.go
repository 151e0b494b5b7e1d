package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	discoveryFaultInterval = 2 // every so manieth call of discovery has a fault
	discoveryFaults        = 3 // in one cell
	discoveryHangs         = 1 // calls that are never answered, in one cell
)

// matrixDiscovery is a discovery service with faults. A watch is answered when there is a newer list
// than the caller's.
type matrixDiscovery struct {
	addr string
	kind faultKind // empty for none

	mu      sync.Mutex
	version int
	list    string
	changed chan struct{} // closed with the next list
	calls   int
	faults  int
	called  chan struct{} // closed at the first call
}

// newMatrixDiscovery runs a discovery service until the test is over.
func newMatrixDiscovery(t *testing.T, kind faultKind) *matrixDiscovery {
	t.Helper()
	d := &matrixDiscovery{kind: kind, changed: make(chan struct{}), called: make(chan struct{})}
	d.addr = serveHTTP(t, d.serve)
	return d
}

// publish replaces the list and answers the watches.
func (d *matrixDiscovery) publish(version int, endpoints ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	d.list = endpointListJSON(version, true, endpoints...)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *matrixDiscovery) serve(w http.ResponseWriter, r *http.Request, done <-chan struct{}) {
	known, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		known = -1 // a call for the complete list
	}
	faulty := d.countCall()
	if faulty && d.kind == faultTimeout {
		waitForCallEnd(r, done)
		return
	}
	list, ok := d.await(r, done, known)
	if !ok {
		return
	}
	if !faulty {
		_, _ = io.WriteString(w, list) // fails only if the router has gone
		return
	}
	d.answerWithFault(w, list)
}

// countCall counts a call and reports whether it has a fault.
func (d *matrixDiscovery) countCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls == 0 {
		close(d.called)
	}
	d.calls++
	limit := discoveryFaults
	if d.kind == faultTimeout {
		limit = discoveryHangs
	}
	if d.kind == "" || d.calls%discoveryFaultInterval == 0 || d.faults >= limit {
		return false
	}
	d.faults++
	return true
}

// faultCount returns how many calls had a fault.
func (d *matrixDiscovery) faultCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// await waits for a list that is newer than the known one.
func (d *matrixDiscovery) await(r *http.Request, done <-chan struct{}, known int) (list string, ok bool) {
	for {
		d.mu.Lock()
		version, list, changed := d.version, d.list, d.changed
		d.mu.Unlock()
		if version > known {
			return list, true
		}
		select {
		case <-changed:
		case <-done:
			return "", false
		case <-r.Context().Done():
			return "", false
		}
	}
}

// answerWithFault answers a call with the list, spoilt.
func (d *matrixDiscovery) answerWithFault(w http.ResponseWriter, list string) {
	if d.kind == faultTransient {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	nc, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	write := func(wire string) {
		_, _ = buffered.WriteString(wire) // fails only if the router has gone
		_ = buffered.Flush()
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	half := list[:len(list)/2]
	switch d.kind {
	case faultInterrupted: // a call that ends before it is answered
	case faultShortCount: // a body that is cut off
		write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(list), half))
	case faultReset: // without a length, so that only the reset tells that the body is not whole
		write(head + "Connection: close\r\n\r\n" + half)
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	case faultStall:
		write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(list), half))
		select {
		case <-stallEnd():
		case <-time.After(testTimeout):
		}
		write(list[len(list)/2:])
	}
}
