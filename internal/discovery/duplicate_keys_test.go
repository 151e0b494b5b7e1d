package discovery

import (
	"errors"
	"testing"
)

// TestRepeatedKeyIsRejected guards against a list with a repeated key, of which the decoder would silently use the
// last value.
func TestRepeatedKeyIsRejected(t *testing.T) {
	endpoints := `"endpoints":[` + endpointJSON("c1", "127.0.0.1:1", "in_service") + `]`
	for _, raw := range []string{
		`{"index":9,"snapshot":true,` + endpoints + `,"endpoints":[]}`,
		`{"index":9,"snapshot":true,` + endpoints + `,"Endpoints" : []}`,
		`{"index":9,"snapshot":false,"snapshot":true,` + endpoints + `}`,
		`{"index":9,"snapshot":true,` + endpoints + `,"index":10}`,
	} {
		list, err := ParseEndpointList([]byte(raw))
		if fieldErr := (*FieldError)(nil); !errors.As(err, &fieldErr) {
			t.Errorf("%s: accepted as %+v, error %v", raw, list, err)
		}
	}
}

// TestStringsThatLookLikeKeys checks that values, keys of other objects and text with quotes are not taken for
// repeated keys.
func TestStringsThatLookLikeKeys(t *testing.T) {
	for _, raw := range []string{
		`{"index":9,"snapshot":true,"endpoints":[]}`,
		`{"note":"index","note":"endpoints","index":9,"snapshot":true,"other":{"index":1,"endpoints":2},"endpoints":[]}`,
		`{"index":9,"note":"\"endpoints\":","\"index\"":1,"endpoints":[` + endpointJSON("endpoints", "127.0.0.1:1", "in_service") + `]}`,
	} {
		if _, err := ParseEndpointList([]byte(raw)); err != nil {
			t.Errorf("%s: %v", raw, err)
		}
	}
}
