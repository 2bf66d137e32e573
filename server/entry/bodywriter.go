package entry

import "cowsliptiller/coord/framing"

// bodyWriter writes an answer's body to a caller. Of a stream it writes complete events and holds
// the rest: an error event that follows a partial event would be read as a part of it. Of an
// event that is longer than maxWhole, parts go out as they come.
type bodyWriter struct {
	out         *callerWriter
	stream      bool // the body is a stream of events
	scanner     framing.EventScanner
	held        []byte // of an unfinished event
	insideEvent bool   // a part of an unfinished event has gone out
}

func (b *bodyWriter) write(p []byte) bool {
	if !b.stream {
		return b.out.write(p)
	}
	complete := b.scan(p)
	if complete > 0 {
		b.held = append(b.held, p[:complete]...)
		if !b.flush() {
			return false
		}
		b.insideEvent = false
	}
	b.held = append(b.held, p[complete:]...)
	if len(b.held) <= maxWhole {
		return true
	}
	b.insideEvent = true
	return b.flush()
}

// scan returns how many bytes of p end with a complete event.
func (b *bodyWriter) scan(p []byte) (complete int) {
	for scanned := 0; scanned < len(p); {
		n, boundary := b.scanner.Next(p[scanned:])
		scanned += n
		if boundary {
			complete = scanned
		}
	}
	return complete
}

// flush writes what is held.
func (b *bodyWriter) flush() bool {
	if len(b.held) == 0 {
		return true
	}
	ok := b.out.write(b.held)
	b.held = b.held[:0]
	return ok
}
