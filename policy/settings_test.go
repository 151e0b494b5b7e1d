package policy

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// Callers find the field that is out of range by the type of the error.
func TestSettingsErrorIsTyped(t *testing.T) {
	s := testSettings()
	s.Routers = -3
	_, err := New(s, 1)
	var settingsErr *SettingsError
	if !errors.As(err, &settingsErr) || *settingsErr != (SettingsError{Field: "Routers", Value: -3}) {
		t.Errorf("got %#v, want a SettingsError for Routers", err)
	}
	if want := "policy: Routers is -3, out of range"; err == nil || err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}

// Callers recognise settings without classes by ErrNoClasses.
func TestErrNoClassesIsSentinel(t *testing.T) {
	s := testSettings()
	s.Classes = nil
	if _, err := New(s, 1); !errors.Is(err, ErrNoClasses) || err.Error() != "policy: Classes is empty" {
		t.Errorf("got %v, want %v", err, ErrNoClasses)
	}
}

// A SettingsError names a field that exists in Settings or Class.
func TestSettingsErrorsNameExistingFields(t *testing.T) {
	s := testSettings()
	for _, field := range s.fields() {
		owner, name := reflect.TypeFor[Settings](), field.name
		if _, inClass, ok := strings.Cut(name, "]."); ok {
			owner, name = reflect.TypeFor[Class](), inClass
		}
		if _, ok := owner.FieldByName(name); !ok {
			t.Errorf("%s is not a field of %s", field.name, owner)
		}
	}
}
