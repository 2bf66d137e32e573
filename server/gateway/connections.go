package gateway

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cowsliptiller/server/events"
	"cowsliptiller/server/inbound"
)

// idleMargin is added to the limit that a deployment sets.
const idleMargin = 2 * time.Second

// connections holds the listeners, their servers and the callers' connections. Idle ones are
// closed after the idle limit of the deployment that their last answer was sent under; one with a request in progress is never closed.
type connections struct {
	callers *inbound.Set

	mu        sync.Mutex
	servers   []*http.Server
	listeners []*inbound.Listener // of callers
}

func newConnections(o inbound.Options) *connections {
	return &connections{callers: inbound.NewSet(o)}
}

func (c *connections) add(s *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, s)
}

// addCallers adds the listener of callers. Its connections are those of the returned one.
func (c *connections) addCallers(l net.Listener) net.Listener {
	tracked := c.callers.Listener(l)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, tracked)
	return tracked
}

// trackState records a connection's state; it is the servers' ConnState hook.
func (c *connections) trackState(conn net.Conn, s http.ConnState) { c.callers.TrackState(conn, s) }

// closeListeners stops accepting connections from callers, once those that wait to be accepted
// are. It reports whether that is so. The readiness listener stays open.
func (c *connections) closeListeners() (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed = true
	for _, l := range c.listeners {
		closed = l.Stop() && closed
	}
	return closed
}

// close closes all servers. The lock is not held meanwhile: Server.Close waits for the
// accept loop, which may be waiting in trackState for a lock with a new connection;
// holding it would deadlock.
func (c *connections) close() {
	c.mu.Lock()
	servers := slices.Clone(c.servers)
	c.mu.Unlock()
	c.callers.Stopping()
	for _, s := range servers {
		_ = s.Close()
	}
}

// connectionCut logs and counts a connection that was closed with a request without an answer.
func (g *Gateway) connectionCut(cut inbound.Cut) {
	g.config.Events.ConnectionCut(events.ConnectionCut{
		Reason: string(cut.Reason), Held: string(cut.Held), Idle: cut.Idle, Limit: cut.Limit, Version: g.deploymentVersion(),
	})
	g.config.Metrics.connectionCut(cut)
}

func (g *Gateway) deploymentVersion() uint64 {
	if s := g.config.Source.Current(); s != nil && s.Deployment != nil {
		return s.Deployment.Version
	}
	return 0
}
