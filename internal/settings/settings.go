// Package settings reads the settings of a deployment in the form that the
// simulator's protocol and the router's configuration share.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"marlstage/policy"
)

// ErrMissing reports that there are no settings at all.
var ErrMissing = errors.New("no settings")

// FieldError reports a setting whose value has the wrong JSON type.
type FieldError struct {
	Field string // path of the setting
	Got   string // JSON type of the value
}

// Error names the setting and the type of its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("wrong shape: %s where %q is read", e.Got, e.Field)
}

// Transport holds the settings that bind whoever carries out the actions of
// the policy. The simulator does so by itself; a router on real sockets has to
// apply them. The zero value of a field means that the setting was left out.
type Transport struct {
	MaxOpen     int         // limit on the requests that a router has open
	DialTimeout policy.Time // after which an attempt to connect has failed
	Keepalive   policy.Time // after which a cache server closes an idle connection
}

// Parse reads the settings. A setting that is left out gets the value that
// asks least of the fleet.
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

// decodeError describes an error of the JSON decoder without naming Go types.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{Field: typeError.Field, Got: typeError.Value}
	}
	return fmt.Errorf("not JSON: %w", err)
}
