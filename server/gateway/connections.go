package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// idleMargin is added to the limit that a deployment sets: a caller that uses the
// connection at the last moment must not cross its close.
const idleMargin = 2 * time.Second

// connections keeps the callers' connections. An idle one is closed once it is over
// the deployment's limit; one with a request never is.
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

// trackState follows the states of a connection.
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
// a request that was sent before its caller saw the last answer's announcement
// has come by then.
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

// closeListeners ends the taking of new connections from callers. The listener that
// tells whether this host is ready, which was added first, goes on.
func (c *connections) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners[min(1, len(c.listeners)):] {
		_ = l.Close()
	}
}

// close ends all servers. The lock is not held meanwhile: a server waits in Close for
// its accepting loop, and that may be waiting in note for the lock, with a connection
// that has just come. The process would never end.
func (c *connections) close() {
	c.mu.Lock()
	servers := slices.Clone(c.servers)
	c.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}
