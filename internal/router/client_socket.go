package router

import "time"

// interruptRead has the pending read and further ones time out at once.
func (c *clientConn) interruptRead() { c.nc.SetReadDeadline(time.Now()) }

// hungUp reports whether the client has closed its side of the connection or reset it, even if
// bytes that were sent before are not read yet.
func (c *clientConn) hungUp() bool {
	if c.nc == nil {
		return false // a request without a client, as in tests
	}
	return c.nc.HungUp()
}
