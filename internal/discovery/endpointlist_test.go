package discovery

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"marlstage/policy"
)

func TestParseEndpointList(t *testing.T) {
	list, err := ParseEndpointList([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s1","address":"127.0.0.1:6379","zone":"z","group":3,"status":"terminating","weight":2.5,"since_ms":17},
		{"name":"s2","address":"","zone":"z","group":3,"status":"terminated"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Endpoint{{ID: "s1", Zone: "z", Group: 3, Weight: 2.5, StartedAt: 17000, State: policy.Draining},
		{ID: "s2", Zone: "z", Group: 3, Weight: 1, State: policy.Removed}}
	if list.Version != 43 || list.Kind() != policy.UpdateDelta || len(list.Endpoints) != 2 ||
		list.Endpoints[0] != want[0] || list.Endpoints[1] != want[1] {
		t.Errorf("got %+v", list)
	}
}

// TestParseErrorNamesField checks that the error for an invalid list names the field and the endpoint's
// position.
func TestParseErrorNamesField(t *testing.T) {
	const good = `{"index":43,"snapshot":true,"endpoints":[
		{"name":"s1","address":"127.0.0.1:1","status":"in_service"},
		{"name":"s2","address":"127.0.0.1:2","status":"in_service","weight":1,"since_ms":0}]}`
	for _, c := range []struct{ old, new, field, path string }{
		{`"index":43`, `"index":-1`, "index", "index"},
		{`"endpoints":[`, `"others":[`, "endpoints", "endpoints"},
		{`"s2"`, `"s1"`, "name", "endpoints[1].name"},
		{`"s2"`, `"` + strings.Repeat("s", maxNameLength+1) + `"`, "name", "endpoints[1].name"},
		{`"127.0.0.1:2"`, `"127.0.0.1"`, "address", "endpoints[1].address"},
		{`"status":"in_service","weight"`, `"status":"odd","weight"`, "status", "endpoints[1].status"},
		{`"weight":1`, `"weight":-1`, "weight", "endpoints[1].weight"},
		{`"since_ms":0`, `"since_ms":-1`, "since_ms", "endpoints[1].since_ms"},
	} {
		_, err := ParseEndpointList([]byte(strings.Replace(good, c.old, c.new, 1)))
		if fieldErr := (*FieldError)(nil); !errors.As(err, &fieldErr) || fieldErr.Field != c.field {
			t.Errorf("%s: error %v, want a FieldError of %s", c.new, err, c.field)
		}
		if err == nil || !strings.Contains(err.Error(), c.path+": ") {
			t.Errorf("%s: error %v, want one that names %s", c.new, err, c.path)
		}
	}
}

// TestEndpointListDecodingIsBounded guards against a service whose short list makes the router use many times its size: a
// list of hundreds of thousands of empty objects is refused at the first one.
func TestEndpointListDecodingIsBounded(t *testing.T) {
	const elements = 300_000
	raw := []byte(`{"index":1,"snapshot":true,"endpoints":[` + strings.Repeat("{},", elements) + "{}]}")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := ParseEndpointList(raw)
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Error("a list of empty objects was accepted")
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(4*len(raw)) {
		t.Errorf("%d bytes allocated for a list of %d", allocated, len(raw))
	}
}
