package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cowsliptiller/server/dial"
	"cowsliptiller/server/socket"
)

// readBufferSize, in bytes, fits a response header and several events of a stream.
const readBufferSize = 4 << 10

// userTimeout is the TCP_USER_TIMEOUT of connections: how long sent bytes may stay
// unacknowledged. Without it a connection across a network partition reports no
// error, and a write blocks for minutes.
const userTimeout = 3 * time.Second

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader          *bufio.Reader
	heads           headReader // between the connection and reader
	idleSince       time.Time
	targetIdleLimit time.Duration // announced by the target; 0: none announced
}

var (
	dialer     = net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	dialTarget = dial.WithRetry(dial.KeepingErrors(dialer.DialContext), DialTimeout)
)

func openConn(ctx context.Context, address string) (*conn, error) {
	c, err := dialTarget(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	opened := &conn{Conn: c, heads: headReader{reader: c}}
	opened.reader = bufio.NewReaderSize(&opened.heads, readBufferSize)
	return opened, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// reusable reports whether an idle connection is still open and has no unread bytes.
// If the target closed or reset it, the next request would be lost. If the target
// sent bytes outside a response, they would be read as the next response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := socket.Look(c.Conn)
	return state == socket.Empty || state == socket.Unknown
}

// unacknowledged returns how many written bytes the target has not acknowledged; -1 if the
// kernel does not report it.
func (c *conn) unacknowledged() int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	bytes := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return -1
	}
	return bytes
}
