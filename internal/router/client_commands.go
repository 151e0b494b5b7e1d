package router

import (
	"bytes"
	"errors"
	"strings"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	maxVerbSize     = 32      // bytes of a command's name that are compared
	requestOverhead = 1 << 10 // bytes charged for a request in addition to those of its command
)

// Replies to commands that are not requests.
const (
	notReadyReply       = "-LOADING no caches are known yet\r\n"
	unknownCommandReply = "-ERR unknown command\r\n"
)

// Errors of commands that can be parsed but are invalid. Their texts are sent to clients.
var (
	errInlineCommand         = errors.New("a command is an array of bulk strings")
	errMissingIdempotencyKey = errors.New("k is needed")
	errUnknownClass          = errors.New("c names no class")
)

// handleCommand executes one command. raw holds the command's bytes as received; arrivedAt is the time at
// which its last byte arrived.
func (c *clientConn) handleCommand(args [][]byte, raw []byte, arrivedAt policy.Time) connState {
	if len(args) == 0 {
		return connOpen
	}
	verb := args[0][:min(len(args[0]), maxVerbSize)]
	switch strings.ToUpper(string(verb)) {
	case resp.VerbPing:
		return c.reply(c.pingReply(args))
	case resp.VerbQuit:
		c.reader.last.afterQuit = true
		c.reader.endAfterCurrent() // commands after QUIT that have been read are answered as well
		return c.reply([]byte(resp.OKReply))
	case resp.VerbGet, resp.VerbSet:
		return c.handleRequest(raw, arrivedAt)
	default:
		return c.reply([]byte(unknownCommandReply))
	}
}

// pingReply returns the reply to PING, which tells whether the router can serve requests.
func (c *clientConn) pingReply(args [][]byte) []byte {
	switch {
	case !c.srv.loop.ready.Load():
		return []byte(notReadyReply)
	case len(args) > 1:
		return redcon.AppendBulk(nil, args[1])
	default:
		return []byte(resp.PongReply)
	}
}

// handleRequest passes a C.GET or C.SET to the event loop, or rejects it.
func (c *clientConn) handleRequest(raw []byte, arrivedAt policy.Time) connState {
	if reply := c.srv.loop.limiter.admitOrReject(); reply != nil {
		c.srv.loop.noteRejectedUnparsed(c, rejectOverloaded)
		return c.reply(reply)
	}
	// The request outlives the read buffer, so its arguments are parsed from a copy.
	args, _, err := resp.NextCommand(bytes.Clone(raw))
	if err != nil {
		return connClosing
	}
	cmd, err := resp.ParseCommand(args, len(raw))
	if err == nil {
		err = c.srv.validate(raw, cmd)
	}
	if err != nil {
		c.srv.loop.statistics.commandErrors.Add(1)
		return c.reply(resp.AppendError(nil, err.Error()))
	}
	slot := newReplySlot(c.srv.memory)
	// A short command takes several times its size in memory, hence the overhead.
	charge := int64(len(raw) + requestOverhead)
	if !slot.memory.tryAcquire(charge) {
		c.srv.loop.noteRejected(c, cmd, rejectMemory)
		return c.reply([]byte(resp.BusyReply))
	}
	slot.charge = charge
	if result := c.enqueue(slot); result != enqueued {
		slot.memory.release(slot.charge)
		if result == enqueueDisconnected {
			return connDisconnected
		}
		c.srv.loop.noteRejected(c, cmd, rejectPipelined)
		return connOpen
	}
	c.srv.loop.postRequest(func() { c.srv.loop.acceptRequest(c, slot, cmd, arrivedAt) })
	return connOpen
}

// validate returns an error for a command that can be parsed but is invalid. Such a command must not be
// forwarded: a cache would serve it as if it were valid, or the router would retry it without the
// idempotency key by which caches drop duplicates.
func (s *Server) validate(raw []byte, cmd resp.Command) error {
	if raw[0] != redcon.Array {
		return errInlineCommand
	}
	for _, class := range s.cfg.Settings.Classes {
		if class.Name != cmd.Class {
			continue
		}
		if class.Effect == policy.IdempotentWithKey && cmd.Write && !cmd.HasIdempotencyKey {
			return errMissingIdempotencyKey
		}
		return nil
	}
	return errUnknownClass
}
