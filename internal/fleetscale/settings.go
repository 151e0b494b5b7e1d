package fleetscale

import (
	"encoding/json"
	"time"
)

// The classes of requests, and the share of all that are writes.
const (
	readClass  = "page-view"
	writeClass = "annotate"
	writeShare = .07
)

// Settings is what the stand-in fleet tells its routers, in the form of the wire.
type Settings struct {
	Routers    int
	Subscribe  bool // the list is told only to those that ask
	Probes     bool
	DrainGrace time.Duration // 0 for the fleet's 1.5 s
	Dial       time.Duration // 0 for the fleet's 250 ms
	Keepalive  time.Duration // 0 for the fleet's 60 s
}

// JSON is the settings as a router reads them. Times are in microseconds there.
func (s Settings) JSON() json.RawMessage {
	us := func(d, otherwise time.Duration) int64 {
		if d == 0 {
			d = otherwise
		}
		return d.Microseconds()
	}
	type object = map[string]any
	discovery := "automatic"
	if s.Subscribe {
		discovery = "subscribe"
	}
	raw, err := json.Marshal(object{
		"instances": s.Routers, "discovery": discovery, "weights": "live",
		"categories": []object{
			{"name": readClass, "effect": "read_like", "dedupScope": "all", "aim": us(600*time.Millisecond, 0),
				"hardLimit": us(2*time.Second, 0), "keyTtl": us(5*time.Second, 0), "worth": 5},
			{"name": writeClass, "effect": "idempotency_key", "dedupScope": "all", "aim": us(1200*time.Millisecond, 0),
				"hardLimit": us(4*time.Second, 0), "keyTtl": us(8*time.Second, 0), "worth": 10}},
		"limits": object{"cancel": true, "probes": s.Probes, "secondCopies": true, "retryAfter": true, "maxAttempts": 3,
			"maxRetryAfter": us(2*time.Second, 0), "maxOpen": 20000, "dialTimeout": us(s.Dial, 250*time.Millisecond),
			"keepalive": us(s.Keepalive, time.Minute)},
		"rules": object{"askEvery": us(10*time.Second, 0), "cold": us(9*time.Second, 0),
			"drainGrace": us(s.DrainGrace, 1500*time.Millisecond), "fall": us(1500*time.Millisecond, 0),
			"startCapacity": .31, "tipMultiple": 3},
		"report":    object{"fields": []string{"fail_rate", "rate", "busy"}, "via": "answers"},
		"penalties": object{"probe": .0074, "handshake": .02, "connection": 0},
	})
	if err != nil {
		panic(err) // of constants alone
	}
	return raw
}

// patienceShare is the part of its class's limit that a client waits for one try: between these two.
const (
	patienceLeast = .3
	patienceMost  = .55
)
