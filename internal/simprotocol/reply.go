package simprotocol

import (
	"encoding/json"
	"fmt"
	"strconv"

	"marlstage/policy"
)

// exception is an action that reports a panic of the engine to the simulator.
type exception struct {
	policy.Action
	text string
}

// reply builds the reply line to a batch.
type reply struct {
	buf      []byte
	hasEntry bool // whether a decision has been appended
}

func newReply(batch int64) *reply {
	buf := strconv.AppendInt([]byte(`{"batch":`), batch, 10)
	return &reply{buf: append(buf, `,"decisions":[`...)}
}

// finish returns the complete line. No more actions may be appended after it.
func (r *reply) finish() []byte { return append(r.buf, "]}\n"...) }

// appendAction appends an action of an instance, which the protocol calls a decision.
func (r *reply) appendAction(instance int64, action policy.Action) {
	switch a := action.(type) {
	case policy.Send:
		r.appendSend(instance, a)
	case policy.Cancel:
		r.open("StopAttempt", instance)
		r.number("tid", a.ID)
		r.number("sendNo", int64(a.Attempt))
	case policy.Reject:
		r.appendReject(instance, a)
	case policy.Fail:
		r.open("Lose", instance)
		r.number("tid", a.ID)
	case policy.SetTimer:
		r.open("Arm", instance)
		r.number("cookie", a.Token)
		r.number("time", a.At)
	case policy.HealthCheck:
		r.open("Sample", instance)
		r.text("server", a.Cache)
	case policy.CloseIdleConnections:
		r.open("DropConns", instance)
		r.text("server", a.Cache)
	case policy.Watch:
		r.open("Follow", instance)
		r.flag("enable", true)
	case policy.Log:
		r.open("JournalLine", instance)
		r.text("reasonText", a.Text)
	case exception:
		r.appendException(instance, a.text)
	default:
		r.appendException(instance, fmt.Sprintf("no wire form for %T", a))
	}
	r.close()
}

func (r *reply) appendSend(instance int64, a policy.Send) {
	r.open("CallOut", instance)
	r.number("tid", a.ID)
	r.text("server", a.Cache)
	if a.Deadline != 0 {
		r.number("stopAt", a.Deadline)
	}
}

func (r *reply) appendReject(instance int64, a policy.Reject) {
	r.open("Bounce", instance)
	r.number("tid", a.ID)
	if a.RetryAfter > 0 {
		r.number("notBeforeFor", a.RetryAfter)
	}
}

func (r *reply) appendException(instance int64, text string) {
	r.open("Exception", instance)
	r.text("reasonText", text)
}

// open begins a decision with its name and its instance.
func (r *reply) open(name string, instance int64) {
	if r.hasEntry {
		r.buf = append(r.buf, ',')
	}
	r.hasEntry = true
	r.buf = append(r.buf, `{"`...)
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, `":{"i":`...)
	r.buf = strconv.AppendInt(r.buf, instance, 10)
}

// close ends the decision that open has begun.
func (r *reply) close() { r.buf = append(r.buf, "}}"...) }

// key appends the key of a field of the current decision. Its value has to follow.
func (r *reply) key(name string) {
	r.buf = append(r.buf, `,"`...)
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, `":`...)
}

func (r *reply) number(name string, value int64) {
	r.key(name)
	r.buf = strconv.AppendInt(r.buf, value, 10)
}

func (r *reply) text(name, value string) {
	r.key(name)
	quoted, _ := json.Marshal(value) // never fails for a string
	r.buf = append(r.buf, quoted...)
}

func (r *reply) flag(name string, value bool) {
	r.key(name)
	r.buf = strconv.AppendBool(r.buf, value)
}
