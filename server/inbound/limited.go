package inbound

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/connlimit"
)

// limitedListener is a listener whose connections replace others beyond a limit.
type limitedListener struct {
	net.Listener
	limit int

	mu    sync.Mutex // no other lock is acquired while it is held
	conns map[*limitedConn]struct{}
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	used     atomic.Bool // bytes were read since the listener looked last
	exempt   atomic.Bool // see Exempt

	// Guarded by the listener's mu.
	since time.Time // when it was opened, or found to be used
	idle  bool      // bytes were read from it
}

// Limited returns a listener with at most limit connections, for servers whose clients do not rely on idle
// connections, or are exempt: operators, probes and other processes of the fleet. A new connection replaces
// those from which nothing was read for longest; it is closed if all of them were read from just before.
// 0: no limit.
func Limited(l net.Listener, limit int) net.Listener {
	if limit == 0 {
		return l
	}
	return &limitedListener{Listener: l, limit: limit, conns: map[*limitedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: accepted, listener: l, since: time.Now()}
		if l.add(c) {
			return c, nil
		}
		_ = accepted.Close() // nothing was read from it
	}
}

// add adds a connection. It returns false if there is no room for it.
func (l *limitedListener) add(c *limitedConn) bool {
	for _, old := range l.replaced() {
		_ = old.Close() // its server reads the error
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// replaced returns the connections to close for a new one.
func (l *limitedListener) replaced() []*limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		return nil
	}
	conns, described := make([]*limitedConn, 0, len(l.conns)), make([]connlimit.Connection, 0, len(l.conns))
	now := time.Now()
	for c := range l.conns {
		conns, described = append(conns, c), append(described, c.describe(now))
	}
	var out []*limitedConn
	for _, i := range connlimit.Replaceable(described, connlimit.Batch(l.limit), connlimit.MinOtherAge, now) {
		out = append(out, conns[i])
	}
	return out
}

// describe returns the connection for connlimit.Replaceable. A read counts from the next call of describe:
// reading the clock at each read would cost more than the rest of the bookkeeping. The caller holds mu.
func (c *limitedConn) describe(now time.Time) connlimit.Connection {
	if c.used.Swap(false) {
		c.since, c.idle = now, true
	}
	if c.idle {
		return connlimit.Connection{Phase: connlimit.Idle, Since: c.since}
	}
	return connlimit.Connection{Phase: connlimit.Silent, Since: c.since}
}

// limitedKey is the key of a connection in the contexts of its requests.
type limitedKey struct{}

// LimitedContext is an http.Server's ConnContext for Exempt.
func LimitedContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, limitedKey{}, conn)
}

// Exempt ends the limit for the connection of a request with that context: its client has proved who it is.
// It has no effect on connections of other listeners.
func Exempt(ctx context.Context) {
	if c, ok := ctx.Value(limitedKey{}).(*limitedConn); ok && !c.exempt.Swap(true) {
		c.listener.remove(c)
	}
}

func (l *limitedListener) remove(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.used.Load() {
		c.used.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
