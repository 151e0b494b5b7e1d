package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// returningDiscovery answers nothing until it is up; then each watch it holds is told of.
func returningDiscovery(t *testing.T) (addr string, up *atomic.Bool, watches chan struct{}) {
	t.Helper()
	up, watches = new(atomic.Bool), make(chan struct{}, 100)
	over := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			panic(http.ErrAbortHandler)
		}
		watches <- struct{}{}
		select {
		case <-over:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(over)
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String(), up, watches
}

// TestIdleCrowdWhileDiscoveryIsDown: idle clients that fill the descriptors and queue for more give way at once,
// and nobody waits for them to read what they were never told. Requests are answered, also by a cache that has
// to be dialled again, none with work in hand gives way, and the watch opens at discovery's return.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	for _, descriptors := range []int{leastSockets, 128, 256} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			cache := newFakeCache(t)
			discovery, up, watches := returningDiscovery(t)
			srv, err := New(testConfig(t, discovery, func(in map[string]any) {
				in["limits"].(map[string]any)["sockets"] = descriptors
				in["settings"].(map[string]any)["discovery"] = "push" // else the time between calls is long
			}, host("c1", cache.addr(), "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			srv.arrivals = 0
			srv.firstWait = 10 * time.Millisecond
			srv.lingerTime = 2 * patience
			r := startServer(t, srv)
			busy := dial(t, r.addr)
			busy.send(get("busy"))
			held := receive(t, cache.commands, "command")
			for range 400 {
				dial(t, r.addr)
			}
			for i := range 20 {
				c := dial(t, r.addr)
				c.send(get(fmt.Sprint("r", i)))
				cmd := receive(t, cache.commands, "command")
				cmd.reply(t, served)
				c.want("value")
				c.nc.Close()
				if i == 10 {
					cmd.conn.Close() // as the cache restarts
					await(t, "news of it", func() bool {
						conns := make(chan int, 1)
						srv.loop.post(func() { conns <- srv.loop.conns })
						return receive(t, conns, "number of connections") == 1 // the one that is held
					})
				}
			}
			up.Store(true)
			receive(t, watches, "watch")
			held.reply(t, served)
			busy.want("value")
		})
	}
}
