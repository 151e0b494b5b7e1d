package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

var (
	errEmptyLine       = errors.New("empty line, want a batch")
	errIncompleteBatch = errors.New("a batch needs now, batch and msgs")
)

// LineError reports a line that cannot be handled.
type LineError struct {
	Line int // line number, counted from 1
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// MessageError reports a message that cannot be handled.
type MessageError struct {
	Index int // index in its batch, counted from 0
	Err   error
}

// Error returns the index of the message and the cause.
func (e *MessageError) Error() string { return fmt.Sprintf("message %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// FieldError reports a field that is missing or invalid.
type FieldError struct {
	Field  string // JSON key
	Reason string
}

// Error returns the field's key and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// EndpointError reports an endpoint without an ID or with an unknown state.
type EndpointError struct {
	ID, State string
}

// Error describes the endpoint.
func (e *EndpointError) Error() string {
	return fmt.Sprintf("bad entry %q with condition %q", e.ID, e.State)
}

// TypeError reports a field with the wrong JSON type.
type TypeError struct {
	Field string // path of the field
	Got   string // JSON type of the value, as encoding/json describes it
}

// Error describes the field and the type of its value.
func (e *TypeError) Error() string {
	return fmt.Sprintf("wrong shape: %s where %q is read", e.Got, e.Field)
}

// decodeError converts an error of the JSON decoder into one that contains no Go
// types.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &TypeError{Field: typeError.Field, Got: typeError.Value}
	}
	return fmt.Errorf("not JSON: %w", err)
}
