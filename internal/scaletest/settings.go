package scaletest

import (
	"encoding/json"
	"time"
)

// The classes of requests, how long clients wait at most, and the share of writes. For one try a
// client waits a part of the limit that lies between the two shares.
const (
	readClass     = "page-view"
	readLimit     = 2 * time.Second
	writeClass    = "annotate"
	writeLimit    = 4 * time.Second
	writeShare    = .07
	patienceLeast = .3
	patienceMost  = .55
)

// keepalive is how long a cache server lets a connection stand idle.
const keepalive = time.Minute

// Settings is what the stand-in fleet tells its routers.
type Settings struct {
	Routers          int
	Subscribe        bool // the list is told only to those that ask
	Probes           bool
	DrainGrace, Dial time.Duration // 0 for those of the fleet: 1.5 s, and 250 ms for a new connection
}

// JSON is the settings in the form of the wire.
func (s Settings) JSON() json.RawMessage {
	us := func(d, otherwise time.Duration) int64 {
		if d == 0 {
			d = otherwise
		}
		return d.Microseconds()
	}
	discovery := "automatic"
	if s.Subscribe {
		discovery = "subscribe"
	}
	type object = map[string]any
	class := func(name, effect string, aim, limit, ttl time.Duration, worth int) object {
		return object{"name": name, "effect": effect, "dedupScope": "all", "aim": aim.Microseconds(),
			"hardLimit": limit.Microseconds(), "keyTtl": ttl.Microseconds(), "worth": worth}
	}
	raw, err := json.Marshal(object{
		"instances": s.Routers, "discovery": discovery, "weights": "live",
		"categories": []object{class(readClass, "read_like", 600*time.Millisecond, readLimit, 5*time.Second, 5),
			class(writeClass, "idempotency_key", 1200*time.Millisecond, writeLimit, 8*time.Second, 10)},
		"limits": object{"cancel": true, "probes": s.Probes, "secondCopies": true, "retryAfter": true, "maxAttempts": 3,
			"maxRetryAfter": 2_000_000, "maxOpen": 20_000, "dialTimeout": us(s.Dial, 250*time.Millisecond), "keepalive": keepalive.Microseconds()},
		"rules": object{"askEvery": 10_000_000, "cold": 9_000_000, "drainGrace": us(s.DrainGrace, 1500*time.Millisecond),
			"fall": 1_500_000, "startCapacity": .31, "tipMultiple": 3},
		"report":    object{"fields": []string{"fail_rate", "rate", "busy"}, "via": "answers"},
		"penalties": object{"probe": .0074, "handshake": .02, "connection": 0},
	})
	if err != nil {
		panic(err) // of constants alone
	}
	return raw
}
