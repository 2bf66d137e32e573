package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: clients open more connections than the process may have, and send nothing, a part of a
// header, or no further request.
// Without it: they keep all others out until their timeouts, or the process has no descriptor for its
// files and its own calls.
// Rule: a new connection replaces those without a request, by phase and then by age: without a byte, with an
// incomplete header, idle. Idle ones, which clients may be about to reuse, are replaced only if there are
// few others.

// Phase is what a connection does. Connections in an earlier phase are closed first.
type Phase int

// Phases.
const (
	Silent Phase = iota // no byte has arrived since it was opened
	Header              // a part of a header has arrived
	Idle                // its last request was answered
	Busy                // it has a request, and is not closed
)

// How long a connection is kept in its phase, however many others there are: the first request of a new one
// is on its way.
const (
	// MinAge is for callers, whose connections beyond the limit wait.
	MinAge = time.Second
	// MinOtherAge is for other listeners, which close connections beyond the limit: with a longer one a
	// crowd would leave little room for each second's new connections of others.
	MinOtherAge = 100 * time.Millisecond
)

// Connection describes an open connection.
type Connection struct {
	Phase Phase
	Since time.Time // when the phase began
}

// Replaceable returns the indices of at most n connections to close, those to close first at the front. None
// of them has been in its phase for less than minAge.
func Replaceable(connections []Connection, n int, minAge time.Duration, now time.Time) []int {
	var out, idle []int
	young := 0 // without a request that are replaced soon
	for i, c := range connections {
		old := now.Sub(c.Since) >= minAge
		switch {
		case c.Phase == Busy:
		case c.Phase == Idle && old:
			idle = append(idle, i)
		case c.Phase != Idle && old:
			out = append(out, i)
		case c.Phase != Idle:
			young++
		}
	}
	if len(out)+young < n {
		out = append(out, idle...)
	}
	slices.SortFunc(out, func(i, j int) int {
		x, y := connections[i], connections[j]
		return cmp.Or(cmp.Compare(x.Phase, y.Phase), x.Since.Compare(y.Since))
	})
	return out[:min(n, len(out))]
}

// batchDivisor is the part of all connections that are closed at once, so that the choice is not made
// for each new connection.
const batchDivisor = 16

// Batch returns how many connections are closed at once where at most limit are open.
func Batch(limit int) int { return max(1, limit/batchDivisor) }

// Shares of a process's descriptors. The rest are for files and for connections that the process opens.
const (
	callersDivisor = 2
	otherDivisor   = 32
	minOther       = 16
)

// Bounds of receive buffers, in bytes, and of the connections that are not accepted yet.
const (
	unreadDivisor    = 4 // of the memory is for unread bytes of all callers' connections
	minReceiveBuffer = 16 << 10
	// From ampleReceiveBuffer on the kernel sizes the buffers.
	ampleReceiveBuffer = 1 << 20
	// backlogDivisor of the accepted connections may wait.
	backlogDivisor = 2
	minBacklog     = 64
)

// Sockets are limits of the kernel's part of a listener and its connections. 0: the kernel's own.
type Sockets struct {
	ReceiveBuffer int // of each connection, in bytes
	Backlog       int // connections that are not accepted yet
}

// SocketsFor returns the limits for at most limit accepted connections of a process with that much memory,
// in bytes. Bytes that arrive and are not read are memory of the process's host, also those of connections
// that are not accepted, and a process that lacks processor time reads late.
func SocketsFor(memory int64, limit int) Sockets {
	if limit == 0 {
		return Sockets{}
	}
	s := Sockets{Backlog: max(minBacklog, limit/backlogDivisor)}
	size := max(minReceiveBuffer, memory/unreadDivisor/int64(limit+s.Backlog))
	if size < ampleReceiveBuffer {
		s.ReceiveBuffer = int(size)
	}
	return s
}

// Shares are the connections that the listeners of a process may have.
type Shares struct {
	Callers int
	// Other is for each listener of operators, of readiness and of metrics, and for clients of the internal
	// listener without a proof of their identity.
	Other int
}

// SharesOf returns the shares of a process with that many descriptors; 0: no limits.
func SharesOf(files int) Shares {
	if files == 0 {
		return Shares{}
	}
	return Shares{Callers: max(minOther, files/callersDivisor), Other: max(minOther, files/otherDivisor)}
}
