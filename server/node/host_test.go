package node_test

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/process"
)

// newHost listens on a free loopback port until it is closed.
func newHost(id uint64) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	folder, err := os.MkdirTemp("", "member")
	Expect(err).NotTo(HaveOccurred())
	h := &host{
		member: &coordpb.Member{Id: id, Address: listener.Addr().String()},
		folder: folder, machine: &register{},
		secret: process.NewSecret([]byte("a secret of the tests"), time.Now),
		fatal:  make(chan error, 1),
	}
	h.server = process.InternalServer(h.secret, h)
	go func() { _ = h.server.Serve(countingListener{Listener: listener, bytes: &h.bytes}) }()
	return h
}

func (h *host) close() {
	h.stop()
	_ = h.server.Close()
	_ = os.RemoveAll(h.folder)
}

// countingListener counts what passes over its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
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
