package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"cowsliptiller/coord/connlimit"
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
	// waiting says that the server waits for bytes of a header and none has come. The connection
	// is closed only then: at other times the server's buffer may hold a request.
	waiting  bool
	closing  bool      // nothing is read any more
	deadline time.Time // of reads
	// idleLimit is the longest idle limit in force since the last answer.
	idleLimit   time.Duration
	headerBytes int64 // of a header that is not whole
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	header := c.beginWait()
	if header {
		c.awaitBytes()
	}
	if c.endWait() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.headerArrived() {
		n, err = c.readPastDeadline(b)
	}
	if header && n > 0 && !c.addHeader(n) {
		return 0, c.rejectHeader()
	}
	return n, err
}

// readAhead is how much of a body net/http reads with a header.
const readAhead = 4 << 10

// addHeader counts bytes of a header. It returns false if the header is too large.
func (c *conn) addHeader(n int) bool {
	limit := c.set.options.HeaderLimits().Bytes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBytes += int64(n)
	c.set.addHeaderBytes(int64(n))
	return limit <= 0 || c.headerBytes <= limit+readAhead
}

// endHeader ends the count of a header's bytes. c.mu is held.
func (c *conn) endHeader() {
	c.set.addHeaderBytes(-c.headerBytes)
	c.headerBytes = 0
}

// Response to a header that is too large.
const (
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// rejectTimeout bounds the write of the response.
	rejectTimeout = time.Second
	// resetDelay lets the client read the response: a connection with unread bytes is reset when it is
	// closed. Meanwhile at most discardBytes are read, which would otherwise take memory of the kernel.
	resetDelay   = 500 * time.Millisecond
	discardBytes = 256 << 10
)

// rejectHeader responds to a header that is too large. net/http writes no response of its own after the
// error that it returns.
func (c *conn) rejectHeader() error {
	rejected := &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the header is too large")}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout)); err != nil {
		return rejected
	}
	if _, err := io.WriteString(c.Conn, headerTooLarge); err != nil {
		return rejected
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(resetDelay)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, discardBytes) // until the client closes, or the deadline
	}
	return rejected
}

// headerArrived reports whether bytes of a header are unread.
func (c *conn) headerArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.state == http.StateActive || socket.Look(c.Conn) != socket.Unread {
		return false
	}
	if c.begun.IsZero() {
		c.begun = c.set.options.Now()
	}
	return true
}

// readPastDeadline reads bytes that are unread. After a pause of the process a deadline has passed
// before the bytes that arrived in time are read. It does not wait for more, so that the deadline
// still ends a header that comes slowly.
func (c *conn) readPastDeadline(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	return n, c.Conn.SetReadDeadline(c.readDeadline())
}

// beginWait reports whether the next bytes are of a header.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = c.state != http.StateActive
	return c.waiting
}

// endWait reports whether the connection is being closed. If not, it stays open until the next wait.
func (c *conn) endWait() (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	return c.closing
}

// SetReadDeadline implements net.Conn. net/http sets one on an idle connection when it begins to
// read a header, of which its buffer has the first bytes.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) noteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !t.IsZero() && c.state == http.StateIdle && c.begun.IsZero() {
		c.begun = c.set.options.Now()
	}
}

func (c *conn) readDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
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
	if c.begun.IsZero() {
		c.begun = c.set.options.Now()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.set.remove(c)
	c.mu.Lock()
	c.endHeader()
	c.mu.Unlock()
	return c.Conn.Close()
}

// enter records net/http's state of the connection.
func (c *conn) enter(s http.ConnState) {
	limit := c.set.options.IdleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, c.set.options.Now()
	c.endHeader()
	if s == http.StateIdle {
		c.begun, c.idleLimit = time.Time{}, limit
	}
}

// extendIdleLimit returns the connection's idle limit while limit is in force.
func (c *conn) extendIdleLimit(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = max(c.idleLimit, limit)
	return c.idleLimit
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

// expire reports whether the connection is to be closed, and what it holds. Nothing is read
// from it then. The connection is closed without the lock: Close waits for the reader, which may
// wait for the lock.
func (c *conn) expire(now time.Time, reason Reason, limits Limits) (expired bool, cut Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Until the first byte a new connection has net/http's ReadHeaderTimeout.
	if c.state != http.StateIdle && (c.state != http.StateNew || reason == Idle && c.begun.IsZero()) {
		return false, Cut{}
	}
	cut = Cut{Reason: reason, Idle: now.Sub(c.since), Limit: limits.Idle}
	lasts := cut.Idle
	if !c.begun.IsZero() {
		cut.Limit, lasts = limits.Header, now.Sub(c.begun)
		if reason != Full {
			cut.Reason = Header
		}
	}
	if !c.waiting || lasts <= cut.Limit {
		return false, Cut{}
	}
	cut.Held = c.held()
	c.closing = cut.Held != Unread
	return c.closing, cut
}

// describe returns the connection for connlimit.Replaceable.
func (c *conn) describe() connlimit.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != http.StateNew && c.state != http.StateIdle:
		return connlimit.Connection{Phase: connlimit.Busy, Since: c.since}
	case !c.begun.IsZero():
		return connlimit.Connection{Phase: connlimit.Header, Since: c.begun}
	case c.state == http.StateNew:
		return connlimit.Connection{Phase: connlimit.Silent, Since: c.since}
	}
	return connlimit.Connection{Phase: connlimit.Idle, Since: c.since}
}

// stop returns what the connection holds at the process's end.
func (c *conn) stop(now time.Time) Cut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Cut{Reason: Stop, Held: c.held(), Idle: now.Sub(c.since)}
}
