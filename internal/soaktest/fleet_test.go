package soaktest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// endpointState is a state of a cache in the endpoint list.
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
	since   time.Time // start of the cache; zero for long ago
}

func (e endpoint) String() string {
	since := int64(0)
	if !e.since.IsZero() {
		since = e.since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"weight":1,"since_ms":%d}`,
		e.name, e.address, e.state, since)
}

// fleet is the endpoint list that all discovery services of a play tell. Each change has a version.
type fleet struct {
	mu      sync.Mutex
	changes []endpoint    // by version, the first of which is 1
	changed chan struct{} // closed with the next change
}

func newFleet(endpoints ...endpoint) *fleet {
	return &fleet{changes: endpoints, changed: make(chan struct{})}
}

// publish adds changes to the list.
func (f *fleet) publish(changes ...endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, changes...)
	close(f.changed)
	f.changed = make(chan struct{})
}

// version returns the present version, and a channel that is closed with the next one.
func (f *fleet) version() (int, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.changes), f.changed
}

// since returns what has changed after a version, and the version that it leads to.
func (f *fleet) since(version int) (changed []endpoint, now int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.changes[min(max(version, 0), len(f.changes)):]), len(f.changes)
}

// list returns the complete list and its version.
func (f *fleet) list() ([]endpoint, int) {
	changes, version := f.since(0)
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
