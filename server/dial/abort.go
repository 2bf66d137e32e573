package dial

import (
	"context"
	"net"
)

// Abort closes a connection with a TCP reset. The kernel drops bytes that the peer has not
// acknowledged. After Close it would keep sending them, and deliver a canceled request to a
// peer that was suspended or unreachable for seconds.
func Abort(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that is closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ResettingOnClose returns a Func whose connections are closed with Abort, for clients that
// close a connection when it is idle or its request is canceled.
func ResettingOnClose(d Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return resettingConn{c}, nil
	}
}

type resettingConn struct{ net.Conn }

// Close resets the connection.
func (c resettingConn) Close() error {
	Abort(c.Conn)
	return nil
}
