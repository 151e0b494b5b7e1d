package router

import (
	"errors"
	"strings"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
	"marlstage/policy"
)

const (
	maxVerbSize     = 32      // bytes of a command's name that are compared
	maxQueuedEcho   = 240     // bytes of the text of a PING behind several replies; its echo is part of the reply slot
	requestOverhead = 3 << 10 // memory in bytes of a request and a short reply, in addition to that of its command
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
		return c.replyToPing(args)
	case resp.VerbQuit:
		c.reader.last.afterQuit = true
		c.reader.endAfterCurrent() // commands after QUIT that have been read are answered as well
		return c.reply([]byte(resp.OKReply))
	case resp.VerbGet, resp.VerbSet:
		return c.handleRequest(len(raw), raw[0] == redcon.Array, arrivedAt)
	default:
		return c.reply([]byte(unknownCommandReply))
	}
}

// replyToPing replies to PING, which tells whether the router can serve requests.
func (c *clientConn) replyToPing(args [][]byte) connState {
	switch {
	case !c.srv.loop.ready.Load():
		return c.reply([]byte(notReadyReply))
	case len(args) > 1:
		return c.replyToEcho(args[1])
	default:
		return c.reply([]byte(resp.PongReply))
	}
}

// replyToEcho replies with the given text, or with an error if it is long and several earlier replies are pending: it
// would hold memory for as long as the client reads nothing. One that has just been written may still count as pending.
func (c *clientConn) replyToEcho(text []byte) connState {
	if len(text) > maxQueuedEcho && c.pendingReplies.Load() > 1 {
		return c.reply([]byte(resp.FailedReply))
	}
	return c.reply(redcon.AppendBulk(nil, text))
}

// handleRequest passes a C.GET or C.SET of the given size to the event loop, or rejects it. No attempt may begin for a
// client that had closed its side before the connection was accepted.
func (c *clientConn) handleRequest(size int, isArray bool, arrivedAt policy.Time) connState {
	if c.closedEarly {
		c.srv.loop.noteRejectedUnparsed(c, rejectDisconnected)
		return c.reply([]byte(resp.BusyReply))
	}
	if reply := c.srv.loop.limiter.admitOrReject(&c.reader.requests, c.srv.loop.clock()); reply != nil {
		c.srv.loop.noteRejectedUnparsed(c, rejectOverloaded)
		return c.reply(reply)
	}
	slot := newReplySlot(c.srv.memory)
	if !c.acquireRequestMemory(slot, size) {
		c.srv.loop.noteRejectedUnparsed(c, rejectMemory)
		return c.reply([]byte(resp.BusyReply))
	}
	cmd, err := c.takeRequest(slot, isArray)
	if err != nil {
		slot.release()
		c.srv.loop.statistics.commandErrors.Add(1)
		return c.reply(resp.AppendError(nil, err.Error()))
	}
	if result := c.enqueue(slot); result != enqueued {
		slot.release()
		if result == enqueueDisconnected {
			return connDisconnected
		}
		c.srv.loop.noteRejected(c, cmd, rejectPipelined)
		return connOpen
	}
	if c.pendingReplies.Load() <= maxRefundedPipeline {
		c.reader.work.refundRequest(size)
	}
	c.srv.loop.postRequest(func() { c.srv.loop.acceptRequest(c, slot, cmd, arrivedAt) })
	return connOpen
}

// acquireRequestMemory acquires the memory of a request, in addition to that of the read buffer, which the request
// may take over. Memory for one short request of each connection is reserved (clientConnMemory). While memory is
// scarce, a client that does not read its replies gets no more.
func (c *clientConn) acquireRequestMemory(slot *replySlot, size int) bool {
	need := int64(requestOverhead)
	if !c.reader.buf.handsOver(size) {
		need += int64(size)
	}
	switch {
	case c.pendingReplies.Load() == 0 && size <= minReadBuffer:
		slot.request.grow(need)
		return true
	case c.isWriteBlocked() && c.srv.memory.isScarce():
		return false
	default:
		return slot.request.tryGrow(need)
	}
}

// takeRequest takes the request that is being handled from the read buffer, which it outlives, and parses it.
func (c *clientConn) takeRequest(slot *replySlot, isArray bool) (resp.Command, error) {
	raw := c.reader.takeCommand(&slot.request)
	args, _, err := resp.NextCommand(raw)
	if err != nil {
		return resp.Command{}, err
	}
	cmd, err := resp.ParseCommand(args, len(raw))
	if err != nil {
		return cmd, err
	}
	return cmd, c.srv.validate(isArray, cmd)
}

// validate returns an error for a command that can be parsed but is invalid. Such a command must not be
// forwarded: a cache would serve it as if it were valid, or the router would retry it without the
// idempotency key by which caches drop duplicates.
func (s *Server) validate(isArray bool, cmd resp.Command) error {
	if !isArray {
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
