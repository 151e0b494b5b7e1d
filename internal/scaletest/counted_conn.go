package scaletest

// This file implements connections that count the bytes they carry.

import (
	"net"
	"sync/atomic"
)

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	bytesIn, bytesOut *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: nc, bytesIn: l.bytesIn, bytesOut: l.bytesOut}, nil
}

// countedConn adds the bytes that it reads and writes to the given counters.
type countedConn struct {
	net.Conn
	bytesIn, bytesOut *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesIn.Add(int64(n))
	return n, err
}

// Write counts the bytes before it sends them, so that the peer never holds bytes that are not counted yet.
// It corrects the count if not all were written.
func (c countedConn) Write(b []byte) (int, error) {
	c.bytesOut.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.bytesOut.Add(int64(n - len(b)))
	return n, err
}
