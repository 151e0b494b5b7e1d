package router

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// otherSettings are far from those of the other tests: a class that must not run twice, a keyed read inside its
// cell, two attempts, no second copies, no probes, reports under other names, a short idle time.
const otherSettings = `{"instances":3,"discovery":"automatic","weights":"none",
 "categories":[{"name":"seat-map","effect":"read_like","dedupScope":"all","aim":5000000,"hardLimit":20000000,"keyTtl":5000000,"worth":3},
  {"name":"hold-check","effect":"idempotency_key","dedupScope":"cell","aim":5000000,"hardLimit":20000000,"keyTtl":20000000,"worth":4},
  {"name":"seat-buy","effect":"non_idempotent","dedupScope":"all","aim":5000000,"hardLimit":20000000,"keyTtl":5000000,"worth":12}],
 "limits":{"cancel":true,"probes":false,"secondCopies":false,"retryAfter":true,"maxAttempts":2,"maxRetryAfter":900000,"dialTimeout":20000000,"keepalive":2000000},
 "report":{"fields":["lat_ms","rif"],"via":"answers"},
 "rules":{"drainGrace":700000,"cold":3000000,"fall":2000000,"startCapacity":0.2,"tipMultiple":2,"askEvery":10000000}}`

// TestOtherSettings: what may go again, and where, comes from the settings alone.
func TestOtherSettings(t *testing.T) {
	const broken = "" // the cache ends the connection instead
	for name, c := range map[string]struct {
		class   string
		replies []string // of the attempts in their order
		answer  string
		stays   bool // in the first attempt's cell
	}{
		"read again":                    {"seat-map", []string{broken, servedReply}, "value", false},
		"no more than two attempts":     {"seat-map", []string{broken, broken}, "-BUSY 900", false},
		"may have run":                  {"seat-buy", []string{broken}, "-ERR failed", false},
		"failed, may have run":          {"seat-buy", []string{"-ERR failed\r\n"}, "-ERR failed", false},
		"proven never to have run":      {"seat-buy", []string{"-BUSY\r\n", servedReply}, "value", false},
		"never run by either":           {"seat-buy", []string{"-BUSY\r\n", "-BUSY\r\n"}, "-BUSY 900", false},
		"a spoilt answer may have run":  {"seat-buy", []string{"*3\r\n$5\r\nvalueXX"}, "-ERR failed", false},
		"keyed read inside its cell":    {"hold-check", []string{broken, servedReply}, "value", true},
		"keyed read that may have run":  {"hold-check", []string{broken, broken}, "-ERR failed", true},
		"report under other names":      {"seat-map", []string{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$14\r\nlat_ms=3,rif=2\r\n"}, "value", false},
		"report behind an error's text": {"seat-map", []string{"-ERR failed lat_ms=3,rif=2\r\n", servedReply}, "value", false},
	} {
		t.Run(name, func(t *testing.T) {
			caches := map[string]*fakeCache{"c1": newFakeCache(t), "c2": newFakeCache(t)}
			r := startRouter(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
				in["settings"] = json.RawMessage(otherSettings)
			}, endpointJSON("c1", caches["c1"].addr(), "in_service"),
				strings.Replace(endpointJSON("c2", caches["c2"].addr(), "in_service"), `"group":1`, `"group":2`, 1)))
			client := dial(t, r.addr)
			client.send(encodeCommand("C.GET", "k1", "r1", "c="+c.class+",t=hall,d=20000,k=ab12"))
			first := ""
			for i, reply := range c.replies {
				var cmd fakeCommand
				at := ""
				select {
				case cmd = <-caches["c1"].commands:
					at = "c1"
				case cmd = <-caches["c2"].commands:
					at = "c2"
				case <-time.After(testTimeout):
					t.Fatalf("attempt %d did not come", i)
				}
				if i == 0 {
					first = at
				} else if c.stays && at != first {
					t.Errorf("attempt %d went to %s, the first to %s", i, at, first)
				}
				if reply == broken {
					cmd.conn.Close()
				} else {
					cmd.reply(t, reply)
				}
			}
			client.wantLine(c.answer)
			for id, cache := range caches {
				select {
				case cmd := <-cache.commands:
					t.Errorf("%s was sent %q too", id, cmd.args)
				default:
				}
			}
		})
	}
}
