package framing

import (
	"io"
	"mime"
	"slices"
)

// Framing is how a response marks the end of its body (RFC 9112, section 6.3).
type Framing string

// The framings. UntilClose has no end mark of its own: an orderly close and a crashed sender
// look the same.
const (
	Length     Framing = "length"
	Chunked    Framing = "chunked"
	UntilClose Framing = "until_close"
)

// Of returns the framing of a response: its Content-Length in bytes, negative if it has none,
// and its transfer encodings.
func Of(length int64, transferEncoding []string) Framing {
	switch {
	case slices.Contains(transferEncoding, "chunked"):
		return Chunked
	case length >= 0:
		return Length
	}
	return UntilClose
}

// End is how a body ended.
type End string

// How bodies end. All but Complete are truncated.
const (
	Complete    End = "complete"
	Interrupted End = "interrupted"  // the connection failed, or closed before the end that the framing announced
	InsideEvent End = "inside_event" // the framing is intact, but the last event is not
	NoEvent     End = "no_event"     // the connection closed before the first event, and nothing else marks the end
	SenderEnded End = "sender_ended" // the connection closed in order, nothing else marks the end, and the sender's process has ended
	// SenderSilent is SenderEnded where the sender had announced that it leaves, and its host no longer responds.
	SenderSilent End = "sender_silent"
)

// EndOfBody returns how a body other than a stream of events ended, given the error of its last
// read. A body that ends with its connection is complete unless the connection was reset.
func EndOfBody(err error) End {
	if err == io.EOF {
		return Complete
	}
	return Interrupted
}

// Liveness is the state of a process, as probed after it closed a connection.
type Liveness string

// The states of a process.
const (
	Running      Liveness = "running"      // it accepts connections
	Ended        Liveness = "ended"        // its host responds, and the process has ended
	Unresponsive Liveness = "unresponsive" // neither it nor its host responds
)

// Sender describes the process that sent an answer, as of after the connection was closed.
type Sender struct {
	Liveness Liveness
	Leaving  bool // it had announced its shutdown
}

// Confirm returns how an answer that looks complete has ended. The kernel closes the connections of a process
// in order when the process crashes or is killed, so a close-delimited answer is complete only if its sender is
// still running. An announced shutdown is no substitute: the process may be killed while it sends. A sender
// that does not respond counts as overloaded, unless it was about to leave. sender is called for close-delimited
// answers only.
func Confirm(f Framing, sender func() Sender) End {
	if f != UntilClose {
		return Complete
	}
	s := sender()
	switch {
	case s.Liveness == Ended:
		return SenderEnded
	case s.Liveness == Unresponsive && s.Leaving:
		return SenderSilent
	}
	return Complete
}

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// IsEventStream reports whether a Content-Type is that of server-sent events.
func IsEventStream(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && kind == eventStream
}
