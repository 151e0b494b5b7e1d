package policy

import (
	"errors"
	"testing"
)

func TestSettingsErrorIsTyped(t *testing.T) {
	s := settings()
	s.Routers = -3
	_, err := New(s, 1)
	var wrong *SettingsError
	if !errors.As(err, &wrong) || *wrong != (SettingsError{Field: "Routers", Value: -3}) {
		t.Errorf("got %#v, want a SettingsError for Routers", err)
	}
	if want := "policy: Routers is -3, out of range"; err == nil || err.Error() != want {
		t.Errorf("got %q, want %q", err, want)
	}
}

func TestNoClassesIsASentinel(t *testing.T) {
	s := settings()
	s.Classes = nil
	if _, err := New(s, 1); !errors.Is(err, ErrNoClasses) || err.Error() != "policy: Classes is empty" {
		t.Errorf("got %v, want %v", err, ErrNoClasses)
	}
}
