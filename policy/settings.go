package policy

import (
	"errors"
	"fmt"
	"math"
)

// Effect says whether a request may be carried out more than once.
type Effect uint8

// The effects of a class.
const (
	NonIdempotent     Effect = iota // must not run twice; applies to classes that are not in the settings, too
	Idempotent                      // may be repeated freely
	IdempotentWithKey               // caches in DedupScope drop repeats for KeyTTL
)

// DedupScope says which caches drop repeats of a request with an idempotency key.
type DedupScope uint8

// The scopes, from the smallest.
const (
	ScopeGroup DedupScope = iota // caches in the group of the first attempt's cache
	ScopeZone                    // caches in the zone of the first attempt's cache
	ScopeAll                     // all caches
)

// Class describes one kind of request.
type Class struct {
	Name             string
	Effect           Effect
	DedupScope       DedupScope // for IdempotentWithKey
	KeyTTL           Time       // for IdempotentWithKey, from the first attempt that may have run
	LatencyObjective Time       // latency up to which an answer earns the full PriorityWeight
	Timeout          Time       // timeout of the client, over all attempts
	PriorityWeight   float64    // priority weight of an answer within the latency objective
	LateWeight       float64    // share of PriorityWeight that a later answer earns
}

// Settings are the settings of an engine. They do not change after its start.
type Settings struct {
	Routers       int // number of routers that share the load
	Classes       []Class
	WatchRequired bool // the endpoint list is sent only to routers that watch it
	LiveWeights   bool // Endpoint.Weight is lowered by the current load

	MaxAttempts         int
	HedgingAllowed      bool    // a request may have up to MaxAttempts pending attempts, not only one
	CancelAllowed       bool    // Cancel may be used
	HealthChecksAllowed bool    // HealthCheck may be used
	MaxRetryAfter       Time    // longest RetryAfter that clients honour; 0 if it is not passed on to them
	DrainGrace          Time    // time until a draining or removed cache must get no more requests; 0 means the default
	WarmupTime          Time    // time after its start when a cache is warm at the latest
	WarmupStartShare    float64 // least share of its capacity that a cache has at its start
	OverloadMultiple    float64 // load, as a multiple of its capacity, that makes a cache collapse
	OverloadTime        Time    // duration of such a load after which a cache collapses
	PollInterval        Time    // time after which a router without a watch counts as notified
	HealthCheckCost     float64 // cost, in points, of one health check per request
	ConnectionCost      float64 // cost, in points, of 100 open connections per cache
	HandshakeCost       float64 // cost, in points, of one new connection per request

	// MaxTrackedKeys bounds the keys of which the engine keeps counts in one window, and in another sum over all
	// caches those that these have served. 0 means no bound.
	MaxTrackedKeys int
}

// ErrNoClasses is returned for settings without classes.
var ErrNoClasses = errors.New("policy: Classes is empty")

// SettingsError is returned for settings with a field that is out of range.
type SettingsError struct {
	Field string // for example Routers, or Classes[1].KeyTTL
	Value float64
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("policy: %s is %v, out of range", e.Field, e.Value)
}

// settingsField is a numeric field of the settings with its valid range.
type settingsField struct {
	name             string
	value            float64
	minimum, maximum float64
}

func (f settingsField) valid() bool { return f.value >= f.minimum && f.value <= f.maximum } // false for NaN

// validate returns ErrNoClasses, or a SettingsError for the first field that is out of range.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return ErrNoClasses
	}
	for _, field := range s.fields() {
		if !field.valid() {
			return &SettingsError{Field: field.name, Value: field.value}
		}
	}
	return nil
}

func (s *Settings) fields() []settingsField {
	const unlimited = math.MaxFloat64
	fields := []settingsField{
		{"Routers", float64(s.Routers), 0, unlimited},
		{"MaxAttempts", float64(s.MaxAttempts), 1, unlimited},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), 0, unlimited},
		{"DrainGrace", float64(s.DrainGrace), 0, unlimited},
		{"WarmupTime", float64(s.WarmupTime), 0, unlimited},
		{"WarmupStartShare", s.WarmupStartShare, 0, 1},
		{"OverloadTime", float64(s.OverloadTime), 0, unlimited},
		{"OverloadMultiple", s.OverloadMultiple, 0, unlimited},
		{"PollInterval", float64(s.PollInterval), 0, unlimited},
		{"HealthCheckCost", s.HealthCheckCost, 0, unlimited},
		{"ConnectionCost", s.ConnectionCost, 0, unlimited},
		{"HandshakeCost", s.HandshakeCost, 0, unlimited},
	}
	for i := range s.Classes {
		fields = append(fields, s.Classes[i].fields(fmt.Sprintf("Classes[%d].", i))...)
	}
	return fields
}

func (c *Class) fields(prefix string) []settingsField {
	const unlimited = math.MaxFloat64
	return []settingsField{
		{prefix + "LatencyObjective", float64(c.LatencyObjective), 0, unlimited},
		{prefix + "Timeout", float64(c.Timeout), 0, unlimited},
		{prefix + "KeyTTL", float64(c.KeyTTL), 0, unlimited},
		{prefix + "PriorityWeight", c.PriorityWeight, 0, unlimited},
		{prefix + "LateWeight", c.LateWeight, 0, 1},
	}
}
