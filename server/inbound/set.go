package inbound

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cowsliptiller/coord/connlimit"
)

// Reason is why this process closes a connection.
type Reason string

// Reasons.
const (
	Idle  Reason = "idle"  // idle for longer than its limit
	Drain Reason = "drain" // idle in a process that stops
	Stop  Reason = "stop"  // the process ends
	// Header: a header that has begun is not complete in time.
	Header Reason = "header"
	// Full: the process has as many connections, or as many bytes of headers, as it may.
	Full Reason = "full"
)

// Cut describes a connection that this process closed although it held a request without a
// complete answer.
type Cut struct {
	Reason Reason
	Held   Held
	Idle   time.Duration // since its last answer, or since it was opened
	Limit  time.Duration // that applied; 0: none
}

// Limits of connections.
type Limits struct {
	Idle   time.Duration // since the last answer, if nothing has arrived
	Header time.Duration // since the first bytes of a request, for its header
}

// HeaderLimits are the limits of a request's header.
type HeaderLimits struct {
	Timeout time.Duration // since its first bytes
	Bytes   int64         // 0: the server's own limit
}

// Options of a Set.
type Options struct {
	Now func() time.Time
	// IdleLimit returns the idle limit in force, for which callers may reuse a connection.
	IdleLimit func() time.Duration
	// IdleMargin is added to an idle limit: a request sent just before the limit must not race
	// with the close.
	IdleMargin time.Duration
	// HeaderLimits returns the limits of a header in force.
	HeaderLimits func() HeaderLimits
	// MaxConnections bounds the connections; those beyond replace others, or wait to be accepted. 0: no limit.
	MaxConnections int
	// MaxHeaderBytes bounds the bytes of all headers that are not whole. 0: no limit.
	MaxHeaderBytes int64
	// OnFull is called, if it is not nil, while a connection waits and no other one without a request can
	// be closed. It may end requests, at most n. It must not block.
	OnFull func(n int)
	// OnReplaced is called, if it is not nil, with the number of connections that were closed for others.
	// It must not block.
	OnReplaced func(n int)
	// OnCut is called for each Cut. It must not block.
	OnCut func(Cut)
}

// Set is the connections of a server's callers. It is safe for concurrent use.
type Set struct {
	options Options
	slots   chan struct{} // one element for each connection; nil: no limit
	headers atomic.Int64  // bytes of headers that are not whole
	// replacing says that connections are closed for the bytes of their headers.
	replacing atomic.Bool

	mu    sync.Mutex // no other lock is acquired while it is held
	conns map[*conn]struct{}
}

// NewSet returns an empty Set.
func NewSet(o Options) *Set {
	s := &Set{options: o, conns: map[*conn]struct{}{}}
	if o.MaxConnections > 0 {
		s.slots = make(chan struct{}, o.MaxConnections)
	}
	return s
}

// add returns the connection as one of the set.
func (s *Set) add(accepted net.Conn) (net.Conn, error) {
	withSocket, ok := accepted.(syscall.Conn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("a connection of type %T has no socket", accepted), accepted.Close())
	}
	raw, err := withSocket.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, accepted.Close())
	}
	c := &conn{Conn: accepted, raw: raw, set: s, state: http.StateNew, since: s.options.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

func (s *Set) remove(c *conn) {
	s.mu.Lock()
	_, open := s.conns[c]
	delete(s.conns, c)
	s.mu.Unlock()
	if open {
		s.release()
	}
}

// acquire waits until the set may have another connection. It reports false if closed is closed
// before.
func (s *Set) acquire(closed <-chan struct{}) bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	for {
		s.makeRoom()
		select {
		case s.slots <- struct{}{}:
			return true
		case <-closed:
			return false
		case <-ticker.C:
		}
	}
}

// roomInterval is how often a connection that waits looks for others that may be closed.
const roomInterval = 50 * time.Millisecond

// makeRoom closes connections for one that waits.
func (s *Set) makeRoom() {
	n := connlimit.Batch(s.options.MaxConnections)
	if s.replace(n, connlimit.Silent, connlimit.Header, connlimit.Idle) == 0 && s.options.OnFull != nil {
		s.options.OnFull(n)
	}
}

// replace closes at most n connections of some phases. It returns how many.
func (s *Set) replace(n int, phases ...connlimit.Phase) (closed int) {
	var conns []*conn
	var described []connlimit.Connection
	for _, c := range s.all() {
		if d := c.describe(); slices.Contains(phases, d.Phase) {
			conns, described = append(conns, c), append(described, d)
		}
	}
	for _, i := range connlimit.Replaceable(described, n, connlimit.MinAge, s.options.Now()) {
		if s.closeExpired(conns[i], Full, Limits{}) {
			closed++
		}
	}
	if closed > 0 && s.options.OnReplaced != nil {
		s.options.OnReplaced(closed)
	}
	return closed
}

// addHeaderBytes counts bytes of headers that are not whole. Beyond the limit the oldest such headers are
// ended.
func (s *Set) addHeaderBytes(n int64) {
	total := s.headers.Add(n)
	if n > 0 && s.options.MaxHeaderBytes > 0 && total > s.options.MaxHeaderBytes && s.replacing.CompareAndSwap(false, true) {
		go func() {
			defer s.replacing.Store(false)
			s.replace(connlimit.Batch(int(s.options.MaxHeaderBytes/readAhead)), connlimit.Header)
		}()
	}
}

func (s *Set) release() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Set) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// TrackState records a connection's state; it is the server's ConnState hook.
func (s *Set) TrackState(accepted net.Conn, state http.ConnState) {
	if c, ok := accepted.(*conn); ok {
		c.enter(state)
	}
}

// CloseIdle closes the connections that are idle for longer than their limit: the longest one
// in force since their last answer. Callers that have not heard of a shorter one reuse them.
func (s *Set) CloseIdle() {
	limit, header := s.options.IdleLimit(), s.options.HeaderLimits().Timeout
	for _, c := range s.all() {
		idle := c.extendIdleLimit(limit) + s.options.IdleMargin
		s.closeExpired(c, Idle, Limits{Idle: idle, Header: header})
	}
}

// CloseDrained closes connections of a process that stops, also new ones.
func (s *Set) CloseDrained(limits Limits) {
	for _, c := range s.all() {
		s.closeExpired(c, Drain, limits)
	}
}

// Empty reports whether no connection is open, so that the server can be closed without an end to
// a request. net/http drops also a request that it has read whole if its server is closed.
func (s *Set) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// closeExpired closes a connection that is idle, or reads a header, for longer than limits. One
// with unread bytes, or with a request that the server has not begun to handle, is neither.
func (s *Set) closeExpired(c *conn, reason Reason, limits Limits) (closed bool) {
	expired, cut := c.expire(s.options.Now(), reason, limits)
	if !expired {
		return false
	}
	_ = c.Close()
	s.report(cut)
	return true
}

// Stopping reports the requests that end with the process. The server is closed after it.
func (s *Set) Stopping() {
	now := s.options.Now()
	for _, c := range s.all() {
		s.report(c.stop(now))
	}
}

func (s *Set) report(cut Cut) {
	if cut.Held != Nothing && s.options.OnCut != nil {
		s.options.OnCut(cut)
	}
}
