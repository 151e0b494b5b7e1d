package soaktest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// endpointState is the status of a cache in the endpoint list.
type endpointState string

const (
	stateInService   endpointState = "in_service"
	stateTerminating endpointState = "terminating"
	stateTerminated  endpointState = "terminated"
)

// endpoint is a cache's entry in the endpoint list.
type endpoint struct {
	name    string
	address string
	state   endpointState
	since   time.Time // start of the cache; zero if long ago
}

func (e endpoint) String() string {
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"weight":1,"since_ms":%d}`,
		e.name, e.address, e.state, since)
}

// endpointList is the endpoint list that all discovery services of a test serve. Each change has a version.
type endpointList struct {
	mu      sync.Mutex
	changes []endpoint    // changes[i] led to version i+1
	changed chan struct{} // closed with the next change
}

func newEndpointList(endpoints ...endpoint) *endpointList {
	return &endpointList{changes: endpoints, changed: make(chan struct{})}
}

// publish adds changes to the list.
func (l *endpointList) publish(changes ...endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, changes...)
	close(l.changed)
	l.changed = make(chan struct{})
}

// version returns the current version and a channel that is closed at the next change.
func (l *endpointList) version() (int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.changes), l.changed
}

// changesSince returns the changes after a version, and the current version.
func (l *endpointList) changesSince(version int) (changed []endpoint, now int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes[min(max(version, 0), len(l.changes)):]), len(l.changes)
}

// snapshot returns the complete list and its version.
func (l *endpointList) snapshot() ([]endpoint, int) {
	changes, version := l.changesSince(0)
	var list []endpoint
	for _, e := range changes {
		i := slices.IndexFunc(list, func(other endpoint) bool { return other.name == e.name })
		switch {
		case i < 0:
			list = append(list, e)
		case e.state == stateTerminated:
			list = slices.Delete(list, i, i+1)
		default:
			list[i] = e
		}
	}
	return list, version
}
