package scaletest

// This file serves the HTTP requests to the discovery agent.

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// discoveryPath is the URL path of the endpoint list.
const discoveryPath = "/discovery/hosts"

// maxWatchWait is the longest time for which a watch is held open.
const maxWatchWait = 60_000 // milliseconds

// discoveryQuery holds the parameters of a call.
type discoveryQuery struct {
	isWatch bool
	after   int64         // version that the caller has, or noVersion
	wait    time.Duration // longest wait for a change
}

// noVersion means that the caller has no endpoint list yet.
const noVersion = -1

// parseDiscoveryQuery parses the parameters of a call and reports whether they are valid.
func parseDiscoveryQuery(values url.Values) (query discoveryQuery, ok bool) {
	if !values.Has("after") {
		return discoveryQuery{after: noVersion}, true
	}
	after, err := strconv.ParseInt(values.Get("after"), 10, 64)
	if err != nil || after < 0 {
		return discoveryQuery{}, false
	}
	wait, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		return discoveryQuery{}, false
	}
	return discoveryQuery{
		isWatch: true,
		after:   after,
		wait:    time.Duration(min(wait, maxWatchWait)) * time.Millisecond,
	}, true
}

// serve answers a request for the complete list or a watch.
func (a *DiscoveryAgent) serve(group int, w http.ResponseWriter, r *http.Request) {
	port := a.ports[group]
	port.calls.Add(1)
	query, ok := parseDiscoveryQuery(r.URL.Query())
	if !ok {
		http.Error(w, "invalid after or wait_ms", http.StatusBadRequest)
		return
	}
	list, ok := a.waitForList(group, query, r.Context().Done())
	if !ok {
		return
	}
	port.endpoints.Add(int64(list.endpoints))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list.body)))
	_, _ = w.Write(list.body) // fails only if the router has disconnected
}

// waitForList waits until there is a list to send: until discovery is up and, for a watch, the list has
// changed or the wait has ended. It reports false if callerGone is closed first.
func (a *DiscoveryAgent) waitForList(group int, query discoveryQuery, callerGone <-chan struct{}) (encodedList, bool) {
	timeout := time.After(query.wait)
	mayWait := query.isWatch
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.down || mayWait && a.version == query.after {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			mayWait = false
		case <-callerGone:
			a.mu.Lock()
			return encodedList{}, false
		}
		a.mu.Lock()
	}
	return a.listSince(group, query.after), true
}

// listSince returns the changes since a version: an empty list for the current version, the last delta
// for the one before, or else the complete list. The caller holds the lock.
func (a *DiscoveryAgent) listSince(group int, version int64) encodedList {
	switch version {
	case a.version:
		return a.encode(group, false, func(*host) bool { return false })
	case a.version - 1:
		return a.deltas[group]
	default:
		return a.snapshots[group]
	}
}
