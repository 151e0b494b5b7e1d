package router

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// otherSettings differ from testSettings in as many ways as possible: a class that must not run twice, a
// request with an idempotency key that is deduplicated in its group only, two attempts, no hedged requests,
// no health checks, load reports with other names, a short idle time.
const otherSettings = `{"instances":3,"discovery":"automatic","weights":"none",
 "categories":[{"name":"seat-map","effect":"read_like","dedupScope":"all","aim":5000000,"hardLimit":20000000,"keyTtl":5000000,"worth":3},
  {"name":"hold-check","effect":"idempotency_key","dedupScope":"cell","aim":5000000,"hardLimit":20000000,"keyTtl":20000000,"worth":4},
  {"name":"seat-buy","effect":"non_idempotent","dedupScope":"all","aim":5000000,"hardLimit":20000000,"keyTtl":5000000,"worth":12}],
 "limits":{"cancel":true,"probes":false,"secondCopies":false,"retryAfter":true,"maxAttempts":2,"maxRetryAfter":900000,"dialTimeout":20000000,"keepalive":2000000},
 "report":{"fields":["lat_ms","rif"],"via":"answers"},
 "rules":{"drainGrace":700000,"cold":3000000,"fall":2000000,"startCapacity":0.2,"tipMultiple":2,"askEvery":10000000}}`

// closeConnection, in place of a reply, has the cache close the connection.
const closeConnection = ""

// settingsCase is a request under otherSettings.
type settingsCase struct {
	class     string
	replies   []string // to the attempts in their order
	want      string
	sameGroup bool // all attempts go to the group of the first
}

// TestRetriesFollowSettings checks that the settings alone determine whether and where a request is retried.
func TestRetriesFollowSettings(t *testing.T) {
	for name, c := range map[string]settingsCase{
		"idempotent, retried":                 {"seat-map", []string{closeConnection, servedReply}, "value", false},
		"attempts are limited":                {"seat-map", []string{closeConnection, closeConnection}, "-BUSY 900", false},
		"not idempotent, may have run":        {"seat-buy", []string{closeConnection}, "-ERR failed", false},
		"not idempotent, failed":              {"seat-buy", []string{"-ERR failed\r\n"}, "-ERR failed", false},
		"not idempotent, rejected once":       {"seat-buy", []string{"-BUSY\r\n", servedReply}, "value", false},
		"not idempotent, rejected twice":      {"seat-buy", []string{"-BUSY\r\n", "-BUSY\r\n"}, "-BUSY 900", false},
		"not idempotent, malformed reply":     {"seat-buy", []string{"*3\r\n$5\r\nvalueXX"}, "-ERR failed", false},
		"idempotency key, retried in group":   {"hold-check", []string{closeConnection, servedReply}, "value", true},
		"idempotency key, may have run":       {"hold-check", []string{closeConnection, closeConnection}, "-ERR failed", true},
		"load report with other names":        {"seat-map", []string{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$14\r\nlat_ms=3,rif=2\r\n"}, "value", false},
		"load report behind an error message": {"seat-map", []string{"-ERR failed lat_ms=3,rif=2\r\n", servedReply}, "value", false},
	} {
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// run sends the request to a router with two caches in different groups.
func (c settingsCase) run(t *testing.T) {
	t.Helper()
	caches := map[string]*fakeCache{"c1": newFakeCache(t), "c2": newFakeCache(t)}
	otherGroup := strings.Replace(endpointJSON("c2", caches["c2"].addr(), "in_service"), `"group":1`, `"group":2`, 1)
	router := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["settings"] = json.RawMessage(otherSettings)
	}, endpointJSON("c1", caches["c1"].addr(), "in_service"), otherGroup))
	client := dial(t, router.addr)
	client.send(encodeCommand("C.GET", "k1", "r1", "c="+c.class+",t=hall,d=20000,k=ab12"))
	first := ""
	for i, reply := range c.replies {
		id, cmd := receiveAttempt(t, caches["c1"], caches["c2"], i)
		if i == 0 {
			first = id
		} else if c.sameGroup && id != first {
			t.Errorf("attempt %d went to %s, the first to %s", i, id, first)
		}
		if reply == closeConnection {
			cmd.conn.Close()
		} else {
			cmd.reply(t, reply)
		}
	}
	client.wantLine(c.want)
	for id, cache := range caches {
		select {
		case cmd := <-cache.commands:
			t.Errorf("%s was sent %q too", id, cmd.args)
		default:
		}
	}
}

// receiveAttempt returns the next attempt at either cache and the cache's name.
func receiveAttempt(t *testing.T, c1, c2 *fakeCache, attempt int) (id string, cmd fakeCommand) {
	t.Helper()
	select {
	case cmd = <-c1.commands:
		return "c1", cmd
	case cmd = <-c2.commands:
		return "c2", cmd
	case <-time.After(testTimeout):
		t.Fatalf("attempt %d did not arrive", attempt)
		panic("unreachable")
	}
}
