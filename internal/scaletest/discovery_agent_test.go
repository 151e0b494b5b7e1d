package scaletest

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlstage/internal/discovery"
)

// receivedList is a decoded endpoint list.
type receivedList struct {
	Version   int64 `json:"index"`
	Snapshot  bool
	Endpoints []struct{ Address, Status string }
}

// callDiscovery calls discovery and returns the list, or nil if the status of the reply is not 200.
func callDiscovery(t *testing.T, agent *DiscoveryAgent, group int, query string) *receivedList {
	t.Helper()
	resp, err := http.Get("http://" + agent.Addrs[group] + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	if _, err := discovery.ParseEndpointList(body); err != nil {
		t.Fatal(err)
	}
	list := &receivedList{}
	if err := json.Unmarshal(body, list); err != nil {
		t.Fatal(err)
	}
	return list
}

// expectedList describes the list that a call must return.
type expectedList struct {
	snapshot  bool
	version   int64
	endpoints int
}

// expectList calls discovery and fails the test unless the reply is the expected list.
func expectList(t *testing.T, agent *DiscoveryAgent, group int, query string, want expectedList) *receivedList {
	t.Helper()
	list := callDiscovery(t, agent, group, query)
	if list == nil || list.Snapshot != want.snapshot || list.Version != want.version || len(list.Endpoints) != want.endpoints {
		t.Fatalf("%q: got %+v, want snapshot %v, version %d, %d endpoints", query, list, want.snapshot, want.version, want.endpoints)
	}
	return list
}

// TestDiscoveryAgentServesSnapshotsAndDeltas checks the replies to callers with the current, the previous, an
// older and no version, the addresses per group, invalid parameters, and the counters.
func TestDiscoveryAgentServesSnapshotsAndDeltas(t *testing.T) {
	agent := startTestDiscoveryAgent(t, [][]string{{"127.0.0.1:1", "127.0.0.1:2"}, {"127.0.0.1:3", "127.0.0.1:4"}, {"127.0.0.1:5", "127.0.0.1:6"}}, 2)
	for group, port := range []string{":3", ":4"} {
		list := expectList(t, agent, group, "", expectedList{snapshot: true, version: 1, endpoints: 3})
		if !strings.HasSuffix(list.Endpoints[1].Address, port) {
			t.Errorf("group %d gets address %s", group, list.Endpoints[1].Address)
		}
	}
	expectList(t, agent, 0, "?after=1&wait_ms=1", expectedList{version: 1})
	watched := make(chan *receivedList, 1)
	go func() { watched <- callDiscovery(t, agent, 0, "?after=1&wait_ms=60000") }()
	agent.ChangeWeights() // the reply is the same whether the call arrives before or after this
	if list := <-watched; list.Snapshot || list.Version != 2 || len(list.Endpoints) != 3 {
		t.Errorf("the watch got %+v", list)
	}
	agent.SetStatus(1, "terminated", 0)
	delta := expectList(t, agent, 0, "?after=2&wait_ms=60000", expectedList{version: 3, endpoints: 1})
	if delta.Endpoints[0].Status != "terminated" {
		t.Errorf("the delta has endpoints %+v", delta.Endpoints)
	}
	expectList(t, agent, 0, "?after=1&wait_ms=60000", expectedList{snapshot: true, version: 3, endpoints: 2})
	for _, query := range []string{"?after=x&wait_ms=1", "?after=1", "?after=-1&wait_ms=1", "?after=1&wait_ms=-1"} {
		if list := callDiscovery(t, agent, 1, query); list != nil {
			t.Errorf("%q got a list", query)
		}
	}
	checkDiscoveryStats(t, agent.Stats())
}

func checkDiscoveryStats(t *testing.T, stats []DiscoveryStats) {
	t.Helper()
	first, second := stats[0], stats[1]
	if first.Calls != 5 || first.Endpoints != 3+0+3+1+2 || second.Calls != 5 || second.Endpoints != 3 || first.BytesOut <= second.BytesOut {
		t.Errorf("stats %+v", stats)
	}
}

// TestDiscoveryAgentDoesNotReplyWhileDown checks that calls during an outage wait, and are answered when it
// ends.
func TestDiscoveryAgentDoesNotReplyWhileDown(t *testing.T) {
	agent := startTestDiscoveryAgent(t, [][]string{{"127.0.0.1:1"}}, 1)
	agent.SetDown(true)
	client := http.Client{Timeout: 50 * time.Millisecond}
	if resp, err := client.Get("http://" + agent.Addrs[0] + "/discovery/hosts"); err == nil {
		t.Errorf("got reply %s during the outage", resp.Status)
	}
	watched := make(chan *receivedList, 1)
	go func() { watched <- callDiscovery(t, agent, 0, "?after=1&wait_ms=0") }()
	agent.SetDown(false)
	if list := <-watched; list == nil || len(list.Endpoints) != 0 {
		t.Errorf("the reply after the outage was %+v", list)
	}
}
