package inbound

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/server/socket"
)

// DrainLimits are the limits of connections of a process that stops. A request that was sent
// before its caller saw "Connection: close" has arrived by then.
var DrainLimits = Limits{Idle: 300 * time.Millisecond, Header: time.Second}

// Listener is a listener whose connections belong to a Set.
type Listener struct {
	net.Listener
	set    *Set
	ended  atomic.Bool // the last Accept returned an error
	closed chan struct{}
	close  func() error
}

// Listener returns a listener whose connections belong to the set. The server that
// accepts them must have TrackState as its ConnState hook, a ReadHeaderTimeout, and no
// IdleTimeout or ReadTimeout.
func (s *Set) Listener(l net.Listener) *Listener {
	closed := make(chan struct{})
	closeOnce := sync.OnceValue(func() error {
		close(closed)
		return l.Close()
	})
	return &Listener{Listener: l, set: s, closed: closed, close: closeOnce}
}

// Accept implements net.Listener. It waits while the set has as many connections as it may.
func (l *Listener) Accept() (net.Conn, error) {
	l.ended.Store(false) // the server repeats after a temporary error
	accepted, err := l.accept()
	if err != nil {
		l.ended.Store(true)
		return nil, err
	}
	return accepted, nil
}

func (l *Listener) accept() (net.Conn, error) {
	if !l.set.acquire(l.closed) {
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.set.release()
		return nil, err
	}
	return l.set.add(accepted)
}

// Close implements net.Listener.
func (l *Listener) Close() error { return l.close() }

// Stop closes the listener, unless connections wait to be accepted: the kernel would reset them,
// with the requests in them. It reports whether the listener is closed and all that were accepted
// belong to the set; if not, Stop is to be called again.
func (l *Listener) Stop() (stopped bool) {
	if socket.Pending(l.Listener) {
		return false
	}
	_ = l.Close()
	return l.ended.Load()
}
