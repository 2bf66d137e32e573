package inbound

import (
	"net"
	"sync/atomic"

	"cowsliptiller/server/socket"
)

// Listener is a listener whose connections belong to a Set.
type Listener struct {
	net.Listener
	set   *Set
	ended atomic.Bool // the last Accept returned an error
}

// Listener returns a listener whose connections belong to the set. The server that
// accepts them must have TrackState as its ConnState hook, a ReadHeaderTimeout, and no
// IdleTimeout or ReadTimeout.
func (s *Set) Listener(l net.Listener) *Listener { return &Listener{Listener: l, set: s} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.ended.Store(false) // the server repeats after a temporary error
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.ended.Store(true)
		return nil, err
	}
	return l.set.add(accepted), nil
}

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
