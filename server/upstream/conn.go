package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cowsliptiller/server/dial"
)

// readBuffer holds an answer's header and several events of a stream.
const readBuffer = 4 << 10

// silentTimeout is how long sent bytes may stay unacknowledged: behind a partition
// a connection gives no error by itself, and a write waits for minutes.
const silentTimeout = 3 * time.Second

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration // told by the target; 0: not told
}

var (
	dialer      = net.Dialer{KeepAlive: -1, Control: setSilentTimeout}
	dialTargets = dial.Again(dialer.DialContext, DialTimeout)
)

func open(ctx context.Context, address string) (*conn, error) {
	c, err := dialTargets(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

func setSilentTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet reports whether nothing has come on an idle connection. A target that
// closed or reset it, or sent bytes that belong to no request, makes it unusable:
// whatever is sent next is lost, or is answered by those bytes.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
