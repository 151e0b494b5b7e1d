package settings

import (
	"errors"
	"testing"

	"marlstage/policy"
)

// TestParseWarmupRules guards against a rule for warming up or overload that is not read, for which the policy
// would silently use its default.
func TestParseWarmupRules(t *testing.T) {
	s, _, err := Parse([]byte(`{"rules":{"cold":9,"fall":4,"startCapacity":0.3,"tipMultiple":2.5}}`))
	if err != nil || s.WarmupTime != 9 || s.OverloadTime != 4 || s.WarmupStartShare != .3 || s.OverloadMultiple != 2.5 {
		t.Errorf("the rules are read as %d, %d, %v, %v (%v)", s.WarmupTime, s.OverloadTime, s.WarmupStartShare, s.OverloadMultiple, err)
	}
}

// TestParseTransport checks that all settings of the transport are read.
func TestParseTransport(t *testing.T) {
	_, got, err := Parse([]byte(`{"limits":{"maxOpen":7,"dialTimeout":8,"keepalive":9}}`))
	want := Transport{MaxOpen: 7, DialTimeout: 8, Keepalive: 9}
	if err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// TestParseDefaults checks that omitted settings and unknown values become the most restrictive ones.
func TestParseDefaults(t *testing.T) {
	s, _, err := Parse([]byte(`{"limits":{"maxRetryAfter":5},"categories":[{"effect":"odd","dedupScope":"odd"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.MaxAttempts != 1 || s.MaxRetryAfter != 0 || s.HedgingAllowed || s.HealthChecksAllowed {
		t.Errorf("got %+v", s)
	}
	if class := s.Classes[0]; class.Effect != policy.NonIdempotent || class.DedupScope != policy.ScopeGroup {
		t.Errorf("got class %+v", class)
	}
}

func TestParseErrors(t *testing.T) {
	if _, _, err := Parse(nil); !errors.Is(err, ErrMissing) {
		t.Errorf("no settings: %v", err)
	}
	var fieldErr *FieldError
	if _, _, err := Parse([]byte(`{"rules":{"cold":"x"}}`)); !errors.As(err, &fieldErr) || fieldErr.Field != "rules.cold" {
		t.Errorf("wrong type: %v", err)
	}
	if _, _, err := Parse([]byte(`{`)); err == nil || errors.As(err, &fieldErr) {
		t.Errorf("not JSON: %v", err)
	}
}
