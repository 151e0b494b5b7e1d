// Package simprotocol translates between the simulator's line protocol and the
// policy. Each line from the simulator is a batch of messages. The reply is one
// line with the policy's actions. The package validates the form of the
// messages and makes no decisions.
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

// Adapter runs the engines of all simulated routers in one process. The engines
// share only the endpoint lists that the simulator defines.
type Adapter struct {
	engines       map[int64]*policy.Engine    // by instance
	endpointLists map[int64][]policy.Endpoint // by the ID that the simulator assigned
	lines         int                         // number of lines read so far
}

// NewAdapter returns an Adapter without engines.
func NewAdapter() *Adapter {
	return &Adapter{engines: map[int64]*policy.Engine{}, endpointLists: map[int64][]policy.Endpoint{}}
}

// Run reads lines from in until its end and writes one line to out in reply to
// each. For a malformed line, it returns a *LineError.
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

// replyTo handles a line and writes the reply. It flushes the reply because the
// simulator waits for it. A line without any bytes, not even a newline, is the
// end of the input and gets no reply.
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

// batch is the JSON form of a line from the simulator.
type batch struct {
	Now      *int64              `json:"now"`
	Number   *int64              `json:"batch"`
	Messages *[]*json.RawMessage `json:"msgs"`
}

// handleBatch decodes one line, handles its messages in order and returns the
// reply line with the resulting actions.
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

// handleMessage handles one message. It returns the instance that the message
// is for and the resulting actions.
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

// handleInstanceMessage handles a message to an instance. It returns the
// instance and the resulting actions.
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

// startInstance starts an engine. It replaces the engine that runs as the same
// instance, if there is one.
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

// handleEvent passes an event to the engine. It converts a panic of the engine
// into an action so that the simulator can report it.
func handleEvent(engine *policy.Engine, now policy.Time, event policy.Event) (actions []policy.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = []policy.Action{exception{text: fmt.Sprint(p)}}
		}
	}()
	return engine.Handle(now, event)
}

// splitMessage returns the name and the body of a message. A message is a JSON
// object whose only key is the name and whose value is the body.
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
