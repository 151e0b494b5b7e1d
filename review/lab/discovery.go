//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the list of cache servers.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`

	changed int64
}

// List is a list as discovery sends it.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery is the agent of the discovery service on a router's machine. It answers at once with what it has, and
// holds a watch until there is something newer or the wait is over.
type Discovery struct {
	Addr string

	// Delay is how much later each answer leaves. It is set before the router starts.
	Delay time.Duration
	// Log is told of each call and its answer, if it is set.
	Log func(format string, args ...any)

	mu      sync.Mutex
	index   int64
	entries []Endpoint
	news    chan struct{}
}

// StartDiscovery starts an agent that lists the given entries.
func StartDiscovery(entries []Endpoint) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	d := &Discovery{Addr: ln.Addr().String(), index: 41, news: make(chan struct{}), entries: entries}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.call)
	go http.Serve(ln, mux)
	return d
}

// Known returns the whole list.
func (d *Discovery) Known() List { return d.since(-1) }

// Change changes the entry with the given name.
func (d *Discovery) Change(name string, change func(*Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for i := range d.entries {
		if d.entries[i].Name == name {
			change(&d.entries[i])
			d.entries[i].changed = d.index
		}
	}
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) since(after int64) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Index: d.index, Snapshot: after < 0, Endpoints: []Endpoint{}}
	for _, e := range d.entries {
		if after < 0 || e.changed > after {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

func (d *Discovery) call(w http.ResponseWriter, r *http.Request) {
	after := int64(-1)
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.ParseInt(text, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		d.await(after, time.After(time.Duration(min(wait, 60_000))*time.Millisecond))
	}
	list := d.since(after)
	time.Sleep(d.Delay)
	if r.Context().Err() != nil {
		d.log("the call %s was given up before its answer", r.URL.RequestURI())
		return
	}
	body, err := json.Marshal(list)
	Must(err)
	d.log("the answer to %s has version %d and %d entries", r.URL.RequestURI(), list.Index, len(list.Endpoints))
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (d *Discovery) await(after int64, end <-chan time.Time) {
	for {
		d.mu.Lock()
		index, news := d.index, d.news
		d.mu.Unlock()
		if index > after {
			return
		}
		select {
		case <-news:
		case <-end:
			return
		}
	}
}

func (d *Discovery) log(format string, args ...any) {
	if d.Log != nil {
		d.Log(format, args...)
	}
}
