package soaktest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const watchTime = 500 * time.Millisecond // after which a watch without news is answered

// discovery is a discovery service whose list does not change. While it is down it says nothing.
type discovery struct {
	server    *httptest.Server
	down      atomic.Bool
	endpoints []string
}

func startDiscovery(t *testing.T, endpoints []string) *discovery {
	t.Helper()
	d := &discovery{endpoints: endpoints}
	d.server = httptest.NewServer(http.HandlerFunc(d.handle))
	t.Cleanup(func() {
		d.server.CloseClientConnections()
		d.server.Close()
	})
	return d
}

func (d *discovery) addr() string { return d.server.Listener.Addr().String() }

func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	for d.down.Load() {
		if !sleepUnlessGone(r, watchTime/10) {
			return
		}
	}
	if r.URL.Query().Has("after") {
		if !sleepUnlessGone(r, watchTime) {
			return
		}
		_, _ = io.WriteString(w, `{"index":1,"snapshot":false,"endpoints":[]}`) // the caller may have gone
		return
	}
	_, _ = io.WriteString(w, endpointList(1, d.endpoints)) // the caller may have gone
}

func sleepUnlessGone(r *http.Request, duration time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// endpointList is a complete list in discovery's form.
func endpointList(index int, endpoints []string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(endpoints, ","))
}
