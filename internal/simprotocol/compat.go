package simprotocol

import (
	"encoding/json"

	"marlstage/internal/settings"
	"marlstage/policy"
)

// Transport holds the settings that bind whoever carries out the actions.
//
// Deprecated: use settings.Transport. It goes once internal/scaletest does so.
type Transport = settings.Transport

// ParseSettings reads the settings.
//
// Deprecated: use settings.Parse. It goes once internal/scaletest does so.
func ParseSettings(raw json.RawMessage) (policy.Settings, Transport, error) {
	return settings.Parse(raw)
}
