// Package socket looks at sockets without reading from them.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a socket holds for its reader.
type State int

// States of a socket.
const (
	Empty   State = iota // open, no unread bytes
	Unread               // unread bytes
	Ended                // closed or reset, by the peer or here
	Unknown              // not a socket
)

// Look returns the state of a connection's socket. It neither blocks nor waits for a
// concurrent Read, and ignores deadlines.
func Look(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	if err := raw.Control(func(fd uintptr) { state = Peek(fd) }); err != nil {
		return Ended
	}
	return state
}

// Pending reports whether a connection to a listener waits to be accepted.
func Pending(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) { pending = readable(fd) })
	return err == nil && pending
}

func readable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		_, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && fds[0].Revents&unix.POLLIN != 0
		}
	}
}

// Peek is Look for a file descriptor.
func Peek(fd uintptr) State {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return Empty
		case err == nil && n > 0:
			return Unread
		}
		return Ended
	}
}
