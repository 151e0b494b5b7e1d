package callback

import "testing"

// TestEachFunctionIsCalledOnce guards against a function that is called again when its token is used twice,
// also while another function is being called.
func TestEachFunctionIsCalledOnce(t *testing.T) {
	var registry Registry
	calls := map[string]int{}
	registry.Call(1) // before any is added
	first := registry.Add(func() { calls["first"]++ })
	second := registry.Add(func() {
		calls["second"]++
		registry.Add(func() { calls["nested"]++ })
	})
	if first != 1 || second != 2 {
		t.Errorf("tokens %d and %d, want 1 and 2", first, second)
	}
	for _, token := range []int64{second, second, first, first, 3, 3, 99} {
		registry.Call(token)
	}
	for _, name := range []string{"first", "second", "nested"} {
		if calls[name] != 1 {
			t.Errorf("%s was called %d times, want once", name, calls[name])
		}
	}
	if len(registry.functions) != 0 {
		t.Errorf("%d functions are still registered after their calls", len(registry.functions))
	}
}

// TestRemovedFunctionIsNotCalled checks that a removed function is neither called nor retained.
func TestRemovedFunctionIsNotCalled(t *testing.T) {
	var registry Registry
	removed := registry.Add(func() { t.Error("a removed function was called") })
	if !registry.Contains(removed) {
		t.Error("a registered function is not contained")
	}
	registry.Remove(removed)
	registry.Remove(removed)
	registry.Call(removed)
	if registry.Contains(removed) || len(registry.functions) != 0 {
		t.Error("a removed function is still registered")
	}
}
