package router

import (
	"errors"
	"time"
)

// interruptRead has the pending read and further ones time out at once.
func (c *clientConn) interruptRead() { c.nc.SetReadDeadline(time.Now()) }

// hungUp reports whether the client has closed its side of the connection or reset it, even if
// bytes that were sent before are not read yet. It is false as well if that cannot be told.
func (c *clientConn) hungUp() bool {
	hungUp, err := c.checkHangup()
	return err == nil && hungUp
}

// maxUnreadBeforeEnd is the number of unread bytes from which on a client's end may wait in its own machine
// until the router's machine can take more. The receive window is larger on any system.
const maxUnreadBeforeEnd = 16 << 10

// errEndHidden reports that a client's end can't be seen behind bytes that are about to be read.
var errEndHidden = errors.New("the end of the connection would be hidden behind unread bytes")

// errEndUnknown reports that a client's end can't be seen behind bytes that stay unread.
var errEndUnknown = errors.New("the end of the connection can't be seen, as nothing more is read")

// checkHangup is like hungUp, but fails if it cannot be told whether the client has disconnected.
func (c *clientConn) checkHangup() (bool, error) {
	if c.nc == nil {
		return false, nil // a request without a client, as in tests
	}
	peer, err := c.nc.PeerState()
	switch {
	case err != nil || peer.HungUp || !peer.Readable:
		return peer.HungUp, err
	case c.readingStopped.Load():
		return false, errEndUnknown
	}
	unread, err := c.nc.UnreadBytes()
	if err == nil && unread >= maxUnreadBeforeEnd {
		err = errEndHidden
	}
	return false, err
}
