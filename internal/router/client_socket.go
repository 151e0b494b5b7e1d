package router

import (
	"errors"
	"time"
)

// interruptRead makes the pending read and all further ones time out immediately.
func (c *clientConn) interruptRead() { c.nc.SetReadDeadline(time.Now()) }

// hungUp reports whether the client has closed its side of the connection or reset it, even if bytes that
// it sent before are still unread. It returns false if that can't be determined.
func (c *clientConn) hungUp() bool {
	hungUp, err := c.checkHangup()
	return err == nil && hungUp
}

// minUnreadHidingDisconnect is the number of unread bytes from which on the receive window may be full. A
// client's FIN is then not sent until the router reads. The receive window is larger than this on any system.
const minUnreadHidingDisconnect = 16 << 10

// errDisconnectHidden reports that unread bytes, which will be read, may hide a disconnect of the client.
var errDisconnectHidden = errors.New("unread bytes may hide a disconnect of the client")

// errDisconnectUndetectable reports that a disconnect of the client can't be detected, because bytes that will
// not be read are in front of it.
var errDisconnectUndetectable = errors.New("can't detect a disconnect of the client: nothing more is read")

// checkHangup is like hungUp, but returns an error if it can't determine whether the client has disconnected.
func (c *clientConn) checkHangup() (bool, error) {
	if c.nc == nil {
		return false, nil // a request without a client, as in tests
	}
	peer, err := c.nc.PeerState()
	switch {
	case err != nil || peer.HungUp || !peer.Readable:
		return peer.HungUp, err
	case c.readingStopped.Load():
		return false, errDisconnectUndetectable
	}
	unread, err := c.nc.UnreadBytes()
	if err == nil && unread >= minUnreadHidingDisconnect {
		err = errDisconnectHidden
	}
	return false, err
}
