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

// errDisconnectHidden reports that a disconnect of the client may be hidden until the router has read more.
var errDisconnectHidden = errors.New("a disconnect of the client may be hidden")

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
	case err != nil || peer.HungUp:
		return peer.HungUp, err
	case peer.Readable && c.readingStopped.Load():
		return false, errDisconnectUndetectable
	case peer.Readable:
		err = c.checkUnread()
	}
	if err == nil && c.windowWasShort() {
		err = errDisconnectHidden
	}
	return false, err
}
