package inbound

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cowsliptiller/server/socket"
)

// Held is what a connection holds of a request that has no complete answer.
type Held string

// What a connection holds.
const (
	Nothing   Held = ""
	Unread    Held = "unread"    // bytes in the socket
	Read      Held = "read"      // bytes that were read, not a whole header
	Answering Held = "answering" // the request is being handled
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	raw syscall.RawConn
	set *Set

	mu    sync.Mutex
	state http.ConnState
	since time.Time // of the state
	begun time.Time // when the first bytes of the next request were noticed; zero: none were
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if !c.hasBegun() {
		c.awaitBytes()
	}
	return c.Conn.Read(b)
}

func (c *conn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun.IsZero()
}

// awaitBytes waits for bytes and notes them before they are read: at any time a request that
// has arrived is in the socket or noted.
func (c *conn) awaitBytes() {
	// An error, also that of a deadline, is the one that the following Read returns.
	_ = c.raw.Read(func(fd uintptr) bool {
		state := socket.Peek(fd)
		if state == socket.Unread {
			c.noteBytes()
		}
		return state != socket.Empty
	})
}

func (c *conn) noteBytes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.set.options.Now()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// enter records net/http's state of the connection.
func (c *conn) enter(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, c.set.options.Now()
	if s == http.StateIdle {
		c.begun = time.Time{}
	}
}

// held returns what the connection holds of a request. c.mu is held.
func (c *conn) held() Held {
	switch {
	case c.state == http.StateActive:
		return Answering
	case socket.Look(c.Conn) == socket.Unread:
		return Unread
	case !c.begun.IsZero():
		return Read
	}
	return Nothing
}

// expire reports whether the connection is idle for longer than limit, and what it holds.
func (c *conn) expire(now time.Time, limit time.Duration) (expired bool, cut Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateIdle || now.Sub(c.since) <= limit {
		return false, Cut{}
	}
	return true, Cut{Held: c.held(), Idle: now.Sub(c.since), Limit: limit}
}

// stop returns what the connection holds at the process's end.
func (c *conn) stop(now time.Time) Cut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Cut{Reason: Stop, Held: c.held(), Idle: now.Sub(c.since)}
}
