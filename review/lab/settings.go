//go:build review

package lab

import "strings"

// Settings returns the settings of a small deployment, with the figures of the site quito-norte.
func Settings(routers int) map[string]any {
	return map[string]any{
		"instances": routers, "discovery": "automatic", "weights": "live",
		"categories": []map[string]any{
			{"name": "page-view", "effect": "read_like", "aim": 600000, "hardLimit": 2000000, "worth": 5},
			{"name": "annotate", "effect": "idempotency_key", "dedupScope": "all", "keyTtl": 8000000,
				"aim": 1200000, "hardLimit": 4000000, "worth": 10},
			{"name": "order", "effect": "non_idempotent", "aim": 1200000, "hardLimit": 4000000, "worth": 10},
		},
		"limits": map[string]any{"cancel": true, "probes": true, "secondCopies": true, "retryAfter": true,
			"maxAttempts": 3, "maxRetryAfter": 2000000, "maxOpen": 20000, "dialTimeout": 250000, "keepalive": 60000000},
		"rules": map[string]any{"askEvery": 10000000, "cold": 9000000, "drainGrace": 1500000, "fall": 1500000,
			"graceToAnswer": 20000, "startCapacity": 0.31, "tipMultiple": 3.0},
		"penalties": map[string]any{"probe": 0.0074, "connection": 0.0, "handshake": 0.02},
	}
}

// Tail returns the last lines of a text.
func Tail(text string, count int) []string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[max(0, len(lines)-count):]
}
