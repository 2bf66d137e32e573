package framing

import (
	"bytes"
	"io"
	"strings"
)

// EventScanner finds the boundaries of server-sent events while a stream arrives. Lines end with
// LF, CR LF or CR, an empty line ends an event, and a line that begins with a colon is a comment
// (HTML standard, section 9.2.6). The zero value is at the start of a stream.
type EventScanner struct {
	events  int  // complete events
	open    bool // the current event has a field
	line    line // what the current line has so far
	afterCR bool // the last byte was a CR, whose LF may follow
}

// line is the kind of an unfinished line.
type line int

const (
	emptyLine line = iota
	commentLine
	fieldLine
)

// Next scans up to and including the next empty line. It returns how many bytes of p it has
// scanned, and whether it stopped after an empty line.
func (s *EventScanner) Next(p []byte) (n int, boundary bool) {
	for n < len(p) {
		if s.afterCR && p[n] == '\n' {
			n++
		}
		s.afterCR = false
		length := bytes.IndexAny(p[n:], "\r\n")
		if length < 0 {
			s.extendLine(p[n:])
			return len(p), false
		}
		s.extendLine(p[n : n+length])
		n += length + 1
		s.afterCR = p[n-1] == '\r'
		if !s.endLine() {
			continue
		}
		if s.afterCR && n < len(p) && p[n] == '\n' {
			n++
			s.afterCR = false
		}
		return n, true
	}
	return n, false
}

// Write scans all of p. It never fails.
func (s *EventScanner) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		n, _ := s.Next(rest)
		rest = rest[n:]
	}
	return len(p), nil
}

func (s *EventScanner) extendLine(p []byte) {
	if len(p) == 0 || s.line != emptyLine {
		return
	}
	s.line = fieldLine
	if p[0] == ':' {
		s.line = commentLine
	}
}

// endLine ends the current line and reports whether it was empty.
func (s *EventScanner) endLine() (empty bool) {
	kind := s.line
	s.line = emptyLine
	switch kind {
	case fieldLine:
		s.open = true
	case emptyLine:
		if s.open {
			s.events++
		}
		s.open = false
	}
	return kind == emptyLine
}

// Events returns the number of complete events so far.
func (s *EventScanner) Events() int { return s.events }

// InsideEvent reports whether an event has begun and not ended. It includes an unfinished line,
// which may be the beginning of one.
func (s *EventScanner) InsideEvent() bool { return s.open || s.line != emptyLine }

// End returns how the stream ended, given its framing, its Content-Type (empty: none) and the error
// of its last read. An intact framing does not make up for an unfinished event: clients discard
// that event.
//
// A stream without any event that ends with its connection counts as truncated: its caller
// could not detect the loss, but can retry after a failure.
func (s *EventScanner) End(f Framing, contentType string, err error) End {
	switch {
	case err != io.EOF:
		return Interrupted
	case !isEvents(f, contentType):
		return Complete
	case s.InsideEvent():
		return InsideEvent
	case f == UntilClose && s.events == 0:
		return NoEvent
	}
	return Complete
}

// isEvents reports whether a body is to be judged as a stream of events. Servers fill in a text type
// if the handler sets none, so a text type exempts a body only if its framing marks the end.
func isEvents(f Framing, contentType string) bool {
	if contentType == "" || IsEventStream(contentType) {
		return true
	}
	return f == UntilClose && strings.HasPrefix(strings.ToLower(contentType), "text/")
}
