// Package settings parses the settings of a deployment. The simulator's protocol
// and the router's configuration use the same JSON form.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"marlstage/policy"
)

// ErrMissing reports that the settings are missing altogether.
var ErrMissing = errors.New("no settings")

// FieldError reports a setting whose value has the wrong JSON type.
type FieldError struct {
	Field string // path of the setting
	Got   string // JSON type of the value, as encoding/json describes it
}

// Error describes the setting and the type of its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("wrong shape: %s where %q is read", e.Got, e.Field)
}

// Transport holds the settings for executing the actions of the policy. The
// simulator applies them by itself; a router with real sockets has to apply
// them. The zero value of a field means that the setting was omitted.
type Transport struct {
	MaxOpen     int         // limit on the number of open requests of a router
	DialTimeout policy.Time // time limit for connecting to a cache server
	Keepalive   policy.Time // time after which a cache server closes an idle connection
}

// Parse parses the settings. An omitted setting gets the value that puts the
// least load on the cache servers: no retries, no hedging, no health checks.
func Parse(raw json.RawMessage) (policy.Settings, Transport, error) {
	if len(raw) == 0 {
		return policy.Settings{}, Transport{}, ErrMissing
	}
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return policy.Settings{}, Transport{}, decodeError(err)
	}
	return doc.policySettings(), doc.transport(), nil
}

// decodeError converts an error of the JSON decoder into one that contains no Go
// types.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{Field: typeError.Field, Got: typeError.Value}
	}
	return fmt.Errorf("not JSON: %w", err)
}
