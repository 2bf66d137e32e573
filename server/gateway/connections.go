package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// idleMargin is added to the limit that a deployment sets: a request sent just
// before the limit must not race with the close.
const idleMargin = 2 * time.Second

// connections tracks the callers' connections. Idle ones are closed after the
// deployment's idle limit; one with a request in progress is never closed.
type connections struct {
	now func() time.Time

	mu        sync.Mutex
	idle      map[net.Conn]time.Time // since when
	servers   []*http.Server
	listeners []net.Listener
}

func newConnections(now func() time.Time) *connections {
	return &connections{now: now, idle: map[net.Conn]time.Time{}}
}

func (c *connections) add(s *http.Server, l net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers, c.listeners = append(c.servers, s), append(c.listeners, l)
}

// trackState records a connection's state; it is the servers' ConnState hook.
func (c *connections) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = c.now()
		return
	}
	delete(c.idle, conn)
}

// sweep closes connections that were idle for longer than a limit.
func (c *connections) sweep(limit time.Duration) { c.closeIdleFor(limit + idleMargin) }

// drainIdleTimeout is how long a connection is idle before a stopping process closes it:
// a request that was sent before its caller saw "Connection: close" has arrived by
// then.
const drainIdleTimeout = 300 * time.Millisecond

// closeDrained closes idle connections of a process that stops.
func (c *connections) closeDrained() { c.closeIdleFor(drainIdleTimeout) }

func (c *connections) closeIdleFor(limit time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
}

// closeListeners stops accepting connections from callers. The readiness listener,
// which was added first, stays open.
func (c *connections) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners[min(1, len(c.listeners)):] {
		_ = l.Close()
	}
}

// close closes all servers. The lock is not held meanwhile: Server.Close waits for the
// accept loop, which may be waiting in trackState for the lock with a new connection;
// holding it would deadlock.
func (c *connections) close() {
	c.mu.Lock()
	servers := slices.Clone(c.servers)
	c.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}
