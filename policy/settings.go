package policy

import (
	"errors"
	"fmt"
	"math"
)

// Effect says what may happen when a request is carried out twice.
type Effect uint8

// The effects of a class.
const (
	NonIdempotent     Effect = iota // must never run twice; also any class that is not in the settings
	Idempotent                      // may be repeated freely
	IdempotentWithKey               // repeats are dropped inside DedupScope for KeyTTL
)

// DedupScope names the caches that drop repeats of a request with an idempotency key.
type DedupScope uint8

// The scopes, from the smallest.
const (
	ScopeGroup DedupScope = iota // the caches of the first cache's group
	ScopeZone                    // the caches of its zone
	ScopeAll                     // every cache
)

// Class describes one kind of request.
type Class struct {
	Name             string
	Effect           Effect
	DedupScope       DedupScope // for IdempotentWithKey
	KeyTTL           Time       // for IdempotentWithKey, from the first attempt that may have run
	LatencyObjective Time       // the full priority weight is earned up to here
	Timeout          Time       // of the client, over all attempts
	PriorityWeight   float64    // of an answer within the latency objective
	LateWeight       float64    // share of PriorityWeight that a later answer earns
}

// Settings is what an engine is given once, at its start.
type Settings struct {
	Routers       int // how many routers share the load
	Classes       []Class
	WatchRequired bool // the endpoint list is sent only to those that watch it
	LiveWeights   bool // Endpoint.Weight is lowered by the current load

	MaxAttempts         int
	HedgingAllowed      bool    // two attempts of a request may be pending at once
	CancelAllowed       bool    // Cancel may be used
	HealthChecksAllowed bool    // HealthCheck may be used
	MaxRetryAfter       Time    // longest RetryAfter that clients honour; 0 where it is not passed on
	DrainGrace          Time    // a draining or removed cache must get no request after this; 0 is a default
	WarmupTime          Time    // a started cache is warm after this at the latest
	WarmupStartShare    float64 // least share of its capacity that a started cache has
	OverloadMultiple    float64 // sent this multiple of its capacity ...
	OverloadTime        Time    // ... for this long, a cache collapses
	PollInterval        Time    // without a watch, a router counts as notified after this
	HealthCheckCost     float64 // points lost at one health check per request
	ConnectionCost      float64 // points lost at 100 open connections per cache
	HandshakeCost       float64 // points lost at one new connection per request
}

// ErrNoClasses is the error for settings without classes.
var ErrNoClasses = errors.New("policy: Classes is empty")

// SettingsError is the error for settings with a field that is out of range.
type SettingsError struct {
	Field string // for example Routers, or Classes[1].KeyTTL
	Value float64
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("policy: %s is %v, out of range", e.Field, e.Value)
}

// settingsField is one number in the settings, and its range.
type settingsField struct {
	name             string
	value            float64
	minimum, maximum float64
}

func (f settingsField) valid() bool { return f.value >= f.minimum && f.value <= f.maximum } // not so for NaN

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
