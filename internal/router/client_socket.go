package router

import "time"

// interruptRead has the pending read and further ones time out at once.
func (c *clientConn) interruptRead() { c.nc.SetReadDeadline(time.Now()) }

// hungUp reports whether the client has closed its side of the connection or reset it, even if
// bytes that were sent before are not read yet. It is false as well if that cannot be told.
func (c *clientConn) hungUp() bool {
	hungUp, err := c.checkHangup()
	return err == nil && hungUp
}

// checkHangup is like hungUp, but fails if it cannot be told whether the client has disconnected.
func (c *clientConn) checkHangup() (bool, error) {
	if c.nc == nil {
		return false, nil // a request without a client, as in tests
	}
	return c.nc.HungUp()
}
