package settings

import "marlstage/policy"

// document is the JSON form of the settings. Unknown keys are ignored.
type document struct {
	Routers   int               `json:"instances"`
	Discovery string            `json:"discovery"`
	Weights   string            `json:"weights"`
	Classes   []classDocument   `json:"categories"`
	Limits    limitsDocument    `json:"limits"`
	Rules     rulesDocument     `json:"rules"`
	Penalties penaltiesDocument `json:"penalties"`
}

// classDocument is the JSON form of a class of requests.
type classDocument struct {
	Name             string  `json:"name"`
	Effect           string  `json:"effect"`
	DedupScope       string  `json:"dedupScope"`
	KeyTTL           int64   `json:"keyTtl"`
	LatencyObjective int64   `json:"aim"`
	Timeout          int64   `json:"hardLimit"`
	PriorityWeight   float64 `json:"worth"`
	LateWeight       float64 `json:"lateWorth"`
}

// limitsDocument is the JSON form of what a router is allowed to do.
type limitsDocument struct {
	Cancel        bool  `json:"cancel"`
	HealthChecks  bool  `json:"probes"`
	Hedging       bool  `json:"secondCopies"`
	RetryAfter    bool  `json:"retryAfter"`
	MaxAttempts   *int  `json:"maxAttempts"`
	MaxRetryAfter int64 `json:"maxRetryAfter"`
	MaxOpen       int   `json:"maxOpen"`
	DialTimeout   int64 `json:"dialTimeout"`
	Keepalive     int64 `json:"keepalive"`
}

// rulesDocument is the JSON form of the properties of the cache servers and of discovery.
type rulesDocument struct {
	PollInterval     int64   `json:"askEvery"`
	WarmupTime       int64   `json:"cold"`
	DrainGrace       int64   `json:"drainGrace"`
	OverloadTime     int64   `json:"fall"`
	WarmupStartShare float64 `json:"startCapacity"`
	OverloadMultiple float64 `json:"tipMultiple"`
}

// penaltiesDocument is the JSON form of the penalties for health checks and connections to cache servers.
type penaltiesDocument struct {
	HealthCheck float64 `json:"probe"`
	Connection  float64 `json:"connection"`
	Handshake   float64 `json:"handshake"`
}

// Values of the keys "discovery" and "weights" that change the behaviour of the policy.
const (
	discoverySubscribe = "subscribe" // endpoint lists are sent only to routers that watch
	weightsLive        = "live"      // weights depend on the current load
)

var effects = map[string]policy.Effect{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotentWithKey,
	"non_idempotent":  policy.NonIdempotent,
}

var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeGroup,
}

// defaultMaxAttempts is the number of attempts if the settings omit the limit. It allows no retries.
const defaultMaxAttempts = 1

// policySettings returns the settings of the policy.
func (d *document) policySettings() policy.Settings {
	s := policy.Settings{
		Routers:             d.Routers,
		WatchRequired:       d.Discovery == discoverySubscribe,
		LiveWeights:         d.Weights == weightsLive,
		MaxAttempts:         defaultMaxAttempts,
		HedgingAllowed:      d.Limits.Hedging,
		CancelAllowed:       d.Limits.Cancel,
		HealthChecksAllowed: d.Limits.HealthChecks,
		DrainGrace:          d.Rules.DrainGrace,
		WarmupTime:          d.Rules.WarmupTime,
		WarmupStartShare:    d.Rules.WarmupStartShare,
		OverloadMultiple:    d.Rules.OverloadMultiple,
		OverloadTime:        d.Rules.OverloadTime,
		PollInterval:        d.Rules.PollInterval,
		HealthCheckCost:     d.Penalties.HealthCheck,
		ConnectionCost:      d.Penalties.Connection,
		HandshakeCost:       d.Penalties.Handshake,
	}
	if d.Limits.MaxAttempts != nil {
		s.MaxAttempts = *d.Limits.MaxAttempts
	}
	if d.Limits.RetryAfter {
		s.MaxRetryAfter = d.Limits.MaxRetryAfter
	}
	for _, class := range d.Classes {
		s.Classes = append(s.Classes, class.policyClass())
	}
	return s
}

// policyClass converts a class. An unknown effect or scope becomes the zero value
// of its type, which is the most restrictive one.
func (c classDocument) policyClass() policy.Class {
	return policy.Class{
		Name:             c.Name,
		Effect:           effects[c.Effect],
		DedupScope:       dedupScopes[c.DedupScope],
		KeyTTL:           c.KeyTTL,
		LatencyObjective: c.LatencyObjective,
		Timeout:          c.Timeout,
		PriorityWeight:   c.PriorityWeight,
		LateWeight:       c.LateWeight,
	}
}

// transport returns the settings of the transport.
func (d *document) transport() Transport {
	return Transport{
		MaxOpen:     d.Limits.MaxOpen,
		DialTimeout: d.Limits.DialTimeout,
		Keepalive:   d.Limits.Keepalive,
	}
}
