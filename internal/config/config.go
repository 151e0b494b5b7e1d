// Package config reads the configuration of a router.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"marlstage/internal/discovery"
	"marlstage/internal/settings"
	"marlstage/policy"
)

// Config is the configuration of a router.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of the discovery service
	Seed           uint64 // of the policy's random choices
	Limits         Limits
	KnownEndpoints discovery.EndpointList // last known list, possibly out of date
	Settings       policy.Settings
	Transport      settings.Transport
}

// Defaults of the transport settings, in microseconds.
const (
	defaultDialTimeout policy.Time = 250_000
	defaultKeepalive   policy.Time = 15_000_000
)

// FieldError reports an invalid field of the configuration.
type FieldError struct {
	Field  string // path of the field
	Reason error
}

// Error returns the field's path and the reason in one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Reason }

// document is the JSON form of the configuration.
type document struct {
	Name           string          `json:"name"`
	Listen         string          `json:"listen"`
	Discovery      string          `json:"discovery"`
	Seed           string          `json:"seed"`
	Limits         Limits          `json:"limits"`
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// Parse reads a configuration and fills in its defaults. It reports an invalid
// field as a *FieldError.
func Parse(raw []byte) (*Config, error) {
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return nil, decodeError(err)
	}
	cfg, err := doc.config()
	if err != nil {
		return nil, err
	}
	cfg.setDefaults()
	return cfg, nil
}

// decodeError converts an error of the JSON decoder. A value of the wrong JSON
// type becomes a *FieldError.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		reason := fmt.Errorf("got a JSON %s, want %s", typeError.Value, typeError.Type.Kind())
		return &FieldError{Field: typeError.Field, Reason: reason}
	}
	return fmt.Errorf("not JSON: %w", err)
}

// config validates the document and converts it.
func (d *document) config() (*Config, error) {
	if err := checkAddress("listen", d.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", d.Discovery); err != nil {
		return nil, err
	}
	seed, err := parseSeed(d.Seed)
	if err != nil {
		return nil, err
	}
	if err := d.Limits.validate(); err != nil {
		return nil, err
	}
	known, err := parseKnownEndpoints(d.KnownEndpoints)
	if err != nil {
		return nil, err
	}
	policySettings, transport, err := settings.Parse(d.Settings)
	if err != nil {
		return nil, &FieldError{Field: "settings", Reason: err}
	}
	return &Config{
		Name:           d.Name,
		Listen:         d.Listen,
		Discovery:      d.Discovery,
		Seed:           seed,
		Limits:         d.Limits,
		KnownEndpoints: known,
		Settings:       policySettings,
		Transport:      transport,
	}, nil
}

// checkAddress returns a *FieldError for an address that is not an IP address
// with a port.
func checkAddress(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &FieldError{Field: field, Reason: err}
	}
	return nil
}

// parseSeed parses a hexadecimal seed. An empty text stands for the seed 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &FieldError{Field: "seed", Reason: fmt.Errorf("%q is not a hexadecimal number of 64 bits", text)}
	}
	return seed, nil
}

// parseKnownEndpoints parses the last known endpoint list. If the configuration has none,
// the list is empty and its version is discovery.NoVersion.
func parseKnownEndpoints(raw json.RawMessage) (discovery.EndpointList, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return discovery.EndpointList{Version: discovery.NoVersion}, nil
	}
	list, err := discovery.ParseEndpointList(raw)
	if err != nil {
		return discovery.EndpointList{}, &FieldError{Field: "known", Reason: err}
	}
	return list, nil
}

// setDefaults sets the fields that the configuration omits.
func (c *Config) setDefaults() {
	c.Limits.setDefaults()
	c.Settings.MaxTrackedKeys = c.Limits.MaxTrackedKeys()
	if c.Transport.DialTimeout <= 0 {
		c.Transport.DialTimeout = defaultDialTimeout
	}
	if c.Transport.Keepalive <= 0 {
		c.Transport.Keepalive = defaultKeepalive
	}
}
