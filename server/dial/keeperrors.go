package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// KeepingErrors returns a Func whose TCP connections keep the first error of their socket: after a reset or a
// timeout, a read returns that error instead of io.EOF. The kernel reports the error only once. If a write gets it,
// reads return io.EOF, and a body that ends with its connection would look complete.
func KeepingErrors(d Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return nil, errors.Join(err, c.Close())
		}
		return &keepingConn{Conn: c, tcp: tcp, raw: raw}, nil
	}
}

type keepingConn struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	// mu guards failure. It is held during each system call that writes: a read that finds the end of the
	// connection because of such a call then waits until its error is recorded. It is taken alone.
	mu      sync.Mutex
	failure error // the first error of the socket; nil: none
}

// SyscallConn implements syscall.Conn.
func (c *keepingConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger is that of net.TCPConn.
func (c *keepingConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// Read returns io.EOF only if the peer has closed the connection in order.
func (c *keepingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == io.EOF && c.failure != nil {
		return n, c.failure
	}
	c.record(err)
	return n, err
}

// Write implements net.Conn.
func (c *keepingConn) Write(p []byte) (n int, err error) {
	var failed error
	err = c.raw.Write(func(fd uintptr) (done bool) {
		for n < len(p) && failed == nil {
			written, err := c.writeOnce(int(fd), p[n:])
			n += written
			if err == unix.EAGAIN {
				return false
			}
			failed = err
		}
		return true
	})
	if failed != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", failed)}
	}
	return n, err
}

// writeOnce writes without blocking and records an error of the socket.
func (c *keepingConn) writeOnce(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := unix.Write(fd, p)
	switch err {
	case nil:
		return n, nil
	case unix.EINTR:
		return 0, nil
	case unix.EAGAIN:
		return 0, err
	}
	c.record(err)
	return 0, err
}

// record keeps the first error of the socket. The caller holds mu.
func (c *keepingConn) record(err error) {
	var errno syscall.Errno
	if c.failure != nil || !errors.As(err, &errno) {
		return // not an error of the socket, such as a deadline
	}
	if errno == unix.EPIPE {
		return // the peer had closed the connection in order before
	}
	c.failure = err
}
