package dial

import "net"

// Abort closes a connection with a TCP reset. The kernel drops bytes that the peer has not
// acknowledged. After Close it would keep sending them, and deliver a canceled request to a
// peer that was suspended or unreachable for seconds.
func Abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// It fails only on a connection that is closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
