package scaletest

// This file defines the settings of the fleet and their JSON form.

import (
	"encoding/json"
	"time"
)

// The classes of requests and their timeouts.
const (
	readClass    = "page-view"
	readTimeout  = 2 * time.Second
	writeClass   = "annotate"
	writeTimeout = 4 * time.Second
)

// tenant is the tenant of all requests.
const tenant = "all"

// keepalive is the time for which a cache server keeps an idle connection open.
const keepalive = time.Minute

// The defaults of Settings.
const (
	defaultDrainGrace  = 1500 * time.Millisecond
	defaultDialTimeout = 250 * time.Millisecond
)

// Settings holds the settings that the routers of the fleet are given.
type Settings struct {
	Routers       int
	WatchRequired bool // routers get the endpoint list only by starting a watch
	HealthChecks  bool
	DrainGrace    time.Duration // time after which a draining cache server must get no request; 0 for 1.5 s
	DialTimeout   time.Duration // timeout of a new connection; 0 for 250 ms
}

// The settings as JSON. Times are in microseconds. The keys are those of the router's configuration file.
type (
	wireSettings struct {
		Routers   int           `json:"instances"`
		Discovery string        `json:"discovery"`
		Weights   string        `json:"weights"`
		Classes   []wireClass   `json:"categories"`
		Limits    wireLimits    `json:"limits"`
		Rules     wireRules     `json:"rules"`
		Report    wireReport    `json:"report"`
		Penalties wirePenalties `json:"penalties"`
	}

	wireClass struct {
		Name             string `json:"name"`
		Effect           string `json:"effect"`
		DedupScope       string `json:"dedupScope"`
		LatencyObjective int64  `json:"aim"`
		Timeout          int64  `json:"hardLimit"`
		KeyTTL           int64  `json:"keyTtl"`
		PriorityWeight   int    `json:"worth"`
	}

	wireLimits struct {
		Cancel        bool  `json:"cancel"`
		HealthChecks  bool  `json:"probes"`
		Hedging       bool  `json:"secondCopies"`
		RetryAfter    bool  `json:"retryAfter"`
		MaxAttempts   int   `json:"maxAttempts"`
		MaxRetryAfter int64 `json:"maxRetryAfter"`
		MaxOpen       int   `json:"maxOpen"`
		DialTimeout   int64 `json:"dialTimeout"`
		Keepalive     int64 `json:"keepalive"`
	}

	wireRules struct {
		PollInterval     int64   `json:"askEvery"`
		WarmupTime       int64   `json:"cold"`
		DrainGrace       int64   `json:"drainGrace"`
		OverloadTime     int64   `json:"fall"`
		WarmupStartShare float64 `json:"startCapacity"`
		OverloadMultiple float64 `json:"tipMultiple"`
	}

	wireReport struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	}

	wirePenalties struct {
		HealthCheck float64 `json:"probe"`
		Handshake   float64 `json:"handshake"`
		Connection  float64 `json:"connection"`
	}
)

// JSON returns the settings as JSON.
func (s Settings) JSON() json.RawMessage {
	raw, err := json.Marshal(s.wire())
	if err != nil {
		panic(err) // cannot happen: every field can be encoded
	}
	return raw
}

func (s Settings) wire() wireSettings {
	discovery := "automatic"
	if s.WatchRequired {
		discovery = "subscribe"
	}
	return wireSettings{
		Routers:   s.Routers,
		Discovery: discovery,
		Weights:   "live",
		Classes:   wireClasses(),
		Limits: wireLimits{
			Cancel:        true,
			HealthChecks:  s.HealthChecks,
			Hedging:       true,
			RetryAfter:    true,
			MaxAttempts:   3,
			MaxRetryAfter: (2 * time.Second).Microseconds(),
			MaxOpen:       20_000,
			DialTimeout:   microsecondsOr(s.DialTimeout, defaultDialTimeout),
			Keepalive:     keepalive.Microseconds(),
		},
		Rules: wireRules{
			PollInterval:     (10 * time.Second).Microseconds(),
			WarmupTime:       (9 * time.Second).Microseconds(),
			DrainGrace:       microsecondsOr(s.DrainGrace, defaultDrainGrace),
			OverloadTime:     (1500 * time.Millisecond).Microseconds(),
			WarmupStartShare: .31,
			OverloadMultiple: 3,
		},
		Report:    wireReport{Fields: []string{"fail_rate", "rate", "busy"}, Via: "answers"},
		Penalties: wirePenalties{HealthCheck: .0074, Handshake: .02},
	}
}

func wireClasses() []wireClass {
	return []wireClass{
		{
			Name:             readClass,
			Effect:           "read_like",
			DedupScope:       "all",
			LatencyObjective: (600 * time.Millisecond).Microseconds(),
			Timeout:          readTimeout.Microseconds(),
			KeyTTL:           (5 * time.Second).Microseconds(),
			PriorityWeight:   5,
		},
		{
			Name:             writeClass,
			Effect:           "idempotency_key",
			DedupScope:       "all",
			LatencyObjective: (1200 * time.Millisecond).Microseconds(),
			Timeout:          writeTimeout.Microseconds(),
			KeyTTL:           (8 * time.Second).Microseconds(),
			PriorityWeight:   10,
		},
	}
}

func microsecondsOr(d, fallback time.Duration) int64 {
	if d == 0 {
		d = fallback
	}
	return d.Microseconds()
}
