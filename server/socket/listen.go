package socket

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"cowsliptiller/coord/connlimit"
)

// Listen listens for TCP connections within limits.
func Listen(network, address string, limits connlimit.Sockets) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if limits.ReceiveBuffer == 0 {
			return nil
		}
		// Connections inherit the size from their listener.
		return control(c, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, limits.ReceiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), network, address)
	if err != nil || limits.Backlog == 0 {
		return l, err
	}
	if err := setBacklog(l, limits.Backlog); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// setBacklog changes the backlog of a listener, which the net package sets to the system's maximum.
func setBacklog(l net.Listener, n int) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, func(fd int) error { return unix.Listen(fd, n) })
}

// control calls f with the descriptor of c and returns its error.
func control(c syscall.RawConn, f func(fd int) error) (failed error) {
	err := c.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}
