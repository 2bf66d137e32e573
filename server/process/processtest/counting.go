// Package processtest provides test helpers for connections between processes.
package processtest

import (
	"net"
	"sync/atomic"
)

// CountingListener adds the bytes read and written on its accepted connections to Bytes.
type CountingListener struct {
	net.Listener
	Bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.Bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
