package scaletest

// This file answers the calls to the discovery agent.

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// discoveryPath is where discovery serves the endpoint list.
const discoveryPath = "/discovery/hosts"

// maxWatchWait bounds how long a caller may have a watch held open.
const maxWatchWait = 60_000 // milliseconds

// discoveryQuery is what a call asks for.
type discoveryQuery struct {
	isWatch bool
	after   int64         // version that the caller has, or noVersion
	wait    time.Duration // for a change
}

const noVersion = -1

// parseDiscoveryQuery reads the parameters of a call, and reports whether they are valid.
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

// serve answers a call for the complete list, or a watch.
func (a *DiscoveryAgent) serve(group int, w http.ResponseWriter, r *http.Request) {
	port := a.ports[group]
	port.calls.Add(1)
	query, ok := parseDiscoveryQuery(r.URL.Query())
	if !ok {
		http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
		return
	}
	list, ok := a.waitForList(group, query, r.Context().Done())
	if !ok {
		return
	}
	port.endpoints.Add(int64(list.endpoints))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(list.body)))
	_, _ = w.Write(list.body) // it fails for a router that has gone, which needs no list
}

// waitForList waits until there is a list to send. It reports false if the caller is gone before.
func (a *DiscoveryAgent) waitForList(group int, query discoveryQuery, gone <-chan struct{}) (encodedList, bool) {
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
		case <-gone:
			a.mu.Lock()
			return encodedList{}, false
		}
		a.mu.Lock()
	}
	return a.listSince(group, query.after), true
}

// listSince is what the caller lacks: nothing, the last change, or else the complete list. The
// caller holds the lock.
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
