// Package simprotocol translates between the simulator's line protocol and the
// policy. Each line from the simulator is a batch of messages; the reply to it
// is a line with the actions that the policy takes. The package checks the
// form of what it reads and makes no decisions.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"marlstage/internal/settings"
	"marlstage/policy"
)

// bufferSize is the initial size of the buffers for lines, in bytes.
const bufferSize = 1 << 20

// Adapter runs the routers of one process. They share nothing but the process
// and the endpoint lists that the simulator defines.
type Adapter struct {
	engines       map[int64]*policy.Engine    // by instance
	endpointLists map[int64][]policy.Endpoint // by the simulator's number
	lines         int                         // read so far
}

// NewAdapter returns an Adapter without routers.
func NewAdapter() *Adapter {
	return &Adapter{engines: map[int64]*policy.Engine{}, endpointLists: map[int64][]policy.Endpoint{}}
}

// Run replies to each line of in with one line on out, until in ends. A line
// that is malformed ends it with a *LineError.
func (a *Adapter) Run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	for {
		line, readErr := r.ReadBytes('\n')
		if err := a.replyTo(line, w); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// replyTo handles a line and writes the reply, which the simulator waits for.
// The end of the input reads as a line of no bytes.
func (a *Adapter) replyTo(line []byte, w *bufio.Writer) error {
	if len(line) == 0 {
		return nil
	}
	a.lines++
	if len(bytes.TrimSpace(line)) == 0 {
		return &LineError{Line: a.lines, Err: errEmptyLine}
	}
	reply, err := a.handleBatch(line)
	if err != nil {
		return &LineError{Line: a.lines, Err: err}
	}
	if _, err := w.Write(reply); err != nil {
		return err
	}
	return w.Flush()
}

// batch is the form of a line from the simulator.
type batch struct {
	Now      *int64              `json:"now"`
	Number   *int64              `json:"batch"`
	Messages *[]*json.RawMessage `json:"msgs"`
}

// handleBatch decodes one line, handles its messages in order and encodes the
// actions of all of them.
func (a *Adapter) handleBatch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, decodeError(err)
	}
	if b.Now == nil || b.Number == nil || b.Messages == nil {
		return nil, errIncompleteBatch
	}
	reply := newReply(*b.Number)
	for i, raw := range *b.Messages {
		if raw == nil {
			return nil, fmt.Errorf("message %d is null", i)
		}
		instance, actions, err := a.handleMessage(*b.Now, *raw)
		if err != nil {
			return nil, &MessageError{Index: i, Err: err}
		}
		for _, action := range actions {
			reply.appendAction(instance, action)
		}
	}
	return reply.finish(), nil
}

// handleMessage handles one message and returns the instance that it is for
// and the actions to take.
func (a *Adapter) handleMessage(now int64, raw []byte) (instance int64, actions []policy.Action, err error) {
	name, body, err := splitMessage(raw)
	if err != nil {
		return 0, nil, err
	}
	if name == defineListMessage {
		err = a.defineList(body)
	} else {
		instance, actions, err = a.handleInstanceMessage(now, name, body)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", name, err)
	}
	return instance, actions, nil
}

// handleInstanceMessage handles a message to an instance.
func (a *Adapter) handleInstanceMessage(now int64, name string, body []byte) (int64, []policy.Action, error) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return 0, nil, decodeError(err)
	}
	if m.Instance == nil {
		return 0, nil, &FieldError{Field: "i", Reason: "no instance"}
	}
	instance := *m.Instance
	if name == newInstanceMessage {
		return instance, nil, a.startInstance(instance, &m)
	}
	engine := a.engines[instance]
	if engine == nil {
		return 0, nil, fmt.Errorf("instance %d was never started", instance)
	}
	if name == exitMessage {
		delete(a.engines, instance)
		return instance, nil, nil
	}
	event, err := eventDecoders[name](a, &m)
	if err != nil {
		return 0, nil, err
	}
	return instance, handleEvent(engine, now, event), nil
}

// startInstance starts a router. It replaces one that runs as the same instance.
func (a *Adapter) startInstance(instance int64, m *message) error {
	set, _, err := settings.Parse(m.Info)
	if err != nil {
		return fmt.Errorf("info: %w", err)
	}
	engine, err := policy.New(set, m.Seed)
	if err != nil {
		return err
	}
	a.engines[instance] = engine
	return nil
}

// handleEvent hands an event to the policy. A panic there becomes an action,
// so that the simulator can report it.
func handleEvent(engine *policy.Engine, now policy.Time, event policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = []policy.Action{exception{text: fmt.Sprint(p)}}
		}
	}()
	return engine.Handle(now, event)
}

// splitMessage takes a message apart: an object whose only key is its name.
func splitMessage(raw []byte) (name string, body json.RawMessage, err error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return "", nil, decodeError(err)
	}
	if len(m) != 1 {
		return "", nil, fmt.Errorf("want an object with one key, got %d", len(m))
	}
	for key := range m {
		name = key
	}
	body = m[name]
	if len(body) == 0 || body[0] != '{' {
		return "", nil, fmt.Errorf("%s: want an object", name)
	}
	if !isKnownMessage(name) {
		return "", nil, fmt.Errorf("unknown message %q", name)
	}
	return name, body, nil
}
